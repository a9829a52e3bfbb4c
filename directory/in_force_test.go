package directory_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/directory"
	"redwinghall/fleet"
	"redwinghall/rwhtest/logtest"
)

// A version that was read may be older than the one in force, or the same again. The log must show when
// requests are handled by another one.
func TestLogShowsWhichVersionIsInForce(t *testing.T) {
	cache, log := directory.NewCache(), logtest.Open(t)
	now := time.Unix(1000, 0)
	for _, version := range []int64{3, 3, 2, 7} {
		cache.Apply(now, directory.Change{Config: &fleet.Configuration{
			Version: version, Routes: []fleet.Route{{Name: "r"}}, Services: map[string]fleet.Service{"s": {Name: "s"}},
		}})
		cache.Apply(now, directory.Change{Endpoint: &fleet.Endpoint{ID: "e1"}})
	}
	lines := log.Lines("configuration_in_force")
	require.Len(t, lines, 2)
	require.Contains(t, lines[0], "configuration=3 before=0")
	require.Contains(t, lines[1], "configuration=7 before=3")
}
