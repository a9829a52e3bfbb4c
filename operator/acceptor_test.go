package operator_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"redwinghall"
	"redwinghall/operator"
	_ "redwinghall/rwhtest/fixedseed"
	"redwinghall/standin/table"
	"redwinghall/tablehttp"
)

func manifest(name string) redwinghall.Manifest {
	return redwinghall.Manifest{Name: name}.WithDefaults()
}

func acceptor(t *table.Table) *operator.Acceptor {
	a := operator.NewAcceptor(t)
	a.RetryInterval = time.Millisecond
	return a
}

func head(t require.TestingT, tab *table.Table) tablehttp.Head {
	rows, err := tab.Read(context.Background(), tablehttp.KeyHead)
	require.NoError(t, err)
	h, err := tablehttp.ParseHead(rows[0])
	require.NoError(t, err)
	return h
}

func code(err error) redwinghall.Code { return redwinghall.KindOf[redwinghall.Code](err) }

// Two operators submit manifests that replace the same generation. Only one may
// be accepted, and the other must be refused with CodeManifestRace.
func TestRaceHasOneWinner(t *testing.T) {
	tab := table.New()
	a := acceptor(tab)
	first, err := a.SubmitManifest(t.Context(), operator.Submission{SubmitID: "a"}, manifest("a"))
	require.NoError(t, err)
	require.Equal(t, uint64(1), first.Number)
	_, err = a.SubmitManifest(t.Context(), operator.Submission{SubmitID: "b"}, manifest("b"))
	require.Equal(t, redwinghall.CodeManifestRace, code(err))
	again, err := a.SubmitManifest(t.Context(), operator.Submission{SubmitID: "a"}, manifest("a"))
	require.NoError(t, err, "a repeated submission is accepted once and returns the same result")
	require.Equal(t, first.Number, again.Number)
	require.Equal(t, uint64(1), head(t, tab).Generation)
}

// The transaction is carried out, its response is lost, and the controller submits
// again. It must recognize its own write; otherwise it would report that the
// manifest lost a race although it is in force.
func TestLostAnswerIsNoRace(t *testing.T) {
	tab := table.New()
	tab.SetFaults(table.Faults{LoseResponses: 1})
	got, err := acceptor(tab).SubmitManifest(t.Context(), operator.Submission{SubmitID: "a"}, manifest("a"))
	require.NoError(t, err)
	require.Equal(t, uint64(1), got.Number)
}

// A transaction is delayed, the controller retries it successfully, and another
// manifest is accepted before the delayed transaction arrives. It must not be
// carried out, or the first manifest would be in force again.
func TestLateSubmissionNeverReverts(t *testing.T) {
	tab := table.New()
	a := acceptor(tab)
	tab.SetFaults(table.Faults{LateWrites: 1})
	_, err := a.SubmitManifest(t.Context(), operator.Submission{SubmitID: "a"}, manifest("a"))
	require.NoError(t, err)
	_, err = a.SubmitManifest(t.Context(), operator.Submission{SubmitID: "b", Replaces: 1}, manifest("b"))
	require.NoError(t, err)
	require.Zero(t, tab.ApplyLate())
	require.Equal(t, "b", head(t, tab).SubmitID)
}

func TestTableDownChangesNothing(t *testing.T) {
	tab := table.New()
	tab.SetFaults(table.Faults{Down: true})
	_, err := acceptor(tab).SubmitManifest(t.Context(), operator.Submission{SubmitID: "a"}, manifest("a"))
	require.Equal(t, redwinghall.CodeTableUnavailable, code(err))
	tab.SetFaults(table.Faults{})
	require.Zero(t, head(t, tab).Generation)
}

func TestZoneRace(t *testing.T) {
	tab := table.New()
	a := acceptor(tab)
	_, err := a.SetZone(t.Context(), operator.Submission{SubmitID: "1"}, "tartu", redwinghall.ZoneOut)
	require.NoError(t, err)
	_, err = a.SetZone(t.Context(), operator.Submission{SubmitID: "2"}, "tartu", redwinghall.ZoneIn)
	require.Equal(t, redwinghall.CodeZoneRace, code(err))
	_, err = a.SetZone(t.Context(), operator.Submission{SubmitID: "3", Replaces: 1}, "tartu", redwinghall.ZoneIn)
	require.NoError(t, err)
	require.Equal(t, redwinghall.AvailabilityZone{ID: "tartu", State: redwinghall.ZoneIn, Number: 2}, head(t, tab).Zones["tartu"])
}

// Submissions of several operators under random lost responses and delayed writes:
// each accepted one has its own generation, the generation never decreases, a
// submission that was refused as a race is not in force, and the last accepted
// manifest is in force.
func TestGenerationsOverRandomFailures(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		tab := table.New()
		a := acceptor(tab)
		a.RetryInterval = 0
		accepted := map[uint64]string{}
		highest := uint64(0)
		for i := range rapid.IntRange(1, 25).Draw(rt, "submissions") {
			switch rapid.IntRange(0, 4).Draw(rt, "failure") {
			case 0:
				tab.SetFaults(table.Faults{LoseResponses: rapid.IntRange(1, 5).Draw(rt, "lost")})
			case 1:
				tab.SetFaults(table.Faults{LateWrites: rapid.IntRange(1, 5).Draw(rt, "late")})
			case 2:
				tab.ApplyLate()
			default:
				tab.SetFaults(table.Faults{})
			}
			id := fmt.Sprint("s", i)
			replaces := head(rt, tab).Generation
			if rapid.IntRange(0, 3).Draw(rt, "stale") == 0 && replaces > 0 {
				replaces--
			}
			got, err := a.SubmitManifest(context.Background(), operator.Submission{SubmitID: id, Replaces: replaces}, manifest(id))
			if err == nil {
				require.Empty(rt, accepted[got.Number])
				accepted[got.Number] = id
			}
			now := head(rt, tab)
			require.GreaterOrEqual(rt, now.Generation, highest)
			highest = now.Generation
			if code(err) == redwinghall.CodeManifestRace {
				require.NotEqual(rt, id, now.SubmitID)
			}
			if err == nil && got.Number == now.Generation {
				require.Equal(rt, id, now.SubmitID)
			}
		}
	})
}
