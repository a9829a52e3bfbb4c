package directory_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/directory"
	"redwinghall/fleet"
)

// applied returns a cache to which the words of an endpoint came one after the other, each 1.2 s after the one before.
func applied(begun time.Time, words ...fleet.Endpoint) (*directory.Cache, time.Time) {
	cache, now := directory.NewCache(), begun
	for _, word := range words {
		now = now.Add(1200 * time.Millisecond)
		cache.Apply(now, directory.Change{Endpoint: &word})
		cache.Expire(now)
	}
	return cache, now
}

// A write of workers' entries that the store did late made the members of a group that served look free.
func TestEntryThatIsWrittenLateUndoesNothing(t *testing.T) {
	begun := time.Unix(1000, 0)
	word := func(started, sequence int64, group string, state fleet.EndpointState) fleet.Endpoint {
		return fleet.Endpoint{ID: "e", Service: "s", State: state, StartedMillis: started, Sequence: sequence, Member: fleet.Membership{Group: group, State: fleet.Open}}
	}
	ready := fleet.EndpointReady
	for name, c := range map[string]struct {
		words []fleet.Endpoint
		group string
		state fleet.EndpointState
	}{
		"before it joined":                {[]fleet.Endpoint{word(5, 2, "", ready), word(5, 4, "g", ready), word(5, 3, "", ready)}, "g", ready},
		"of an earlier process":           {[]fleet.Endpoint{word(5, 9, "old", ready), word(6, 1, "", ready), word(5, 10, "old", ready)}, "", ready},
		"before it drained":               {[]fleet.Endpoint{word(5, 9, "", ready), word(5, 11, "", fleet.EndpointDraining), word(5, 10, "", ready)}, "", fleet.EndpointDraining},
		"twice, and a newer one":          {[]fleet.Endpoint{word(5, 4, "g", ready), word(5, 2, "", ready), word(5, 3, "", ready), word(5, 5, "h", ready)}, "h", ready},
		"a restart counts from the start": {[]fleet.Endpoint{word(5, 400, "g", ready), word(6, 1, "", ready)}, "", ready},
		"without starts":                  {[]fleet.Endpoint{word(0, 400, "g", ready), word(0, 1, "", ready)}, "", ready},
	} {
		t.Run(name, func(t *testing.T) {
			cache, _ := applied(begun, c.words...)
			known := cache.View().Endpoints["e"]
			require.Equal(t, c.group, known.Member.Group)
			require.Equal(t, c.state, known.State)
		})
	}
}

// An endpoint that starts again after its clock was put back isn't taken for the one before for ever.
func TestEndpointWhoseClockWasPutBackIsKnownInTime(t *testing.T) {
	begun := time.Unix(1000, 0)
	before := fleet.Endpoint{ID: "e", Address: "10.0.0.1:1", State: fleet.EndpointReady, StartedMillis: 9_000, Sequence: 50}
	after := fleet.Endpoint{ID: "e", Address: "10.0.0.1:2", State: fleet.EndpointReady, StartedMillis: 4_000, Sequence: 1}
	cache, now := applied(begun, before, after)
	cache.Expire(now.Add(directory.OlderGrace - time.Millisecond))
	require.Equal(t, "10.0.0.1:1", cache.View().Endpoints["e"].Address)
	cache.Expire(now.Add(directory.OlderGrace))
	require.Equal(t, "10.0.0.1:2", cache.View().Endpoints["e"].Address)
	after.Sequence = 2
	cache.Apply(now.Add(directory.OlderGrace+time.Second), directory.Change{Endpoint: &after})
	require.Equal(t, int64(2), cache.View().Endpoints["e"].Sequence)

	cache, now = applied(begun, before, after)
	cache.Apply(now, directory.Change{Gone: "e"})
	cache.Apply(now, directory.Change{Endpoint: &after})
	require.Equal(t, "10.0.0.1:2", cache.View().Endpoints["e"].Address, "its entry was removed in between")
}
