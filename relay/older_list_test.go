package relay_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall"
	"redwinghall/fleet"
	"redwinghall/relay"
)

func listAt(version int64, rows ...fleet.Row) fleet.Rows {
	return fleet.Rows{At: fleet.Position{Version: version}, Rows: rows}
}

// A list that is older than what a node has read would take rows away from it for good: changes after the newer
// position don't bring them back.
func TestOlderListTakesNothingAway(t *testing.T) {
	m := relay.NewMirror(nil)
	m.ApplyList(time.Now(), listAt(10, row("a", 3)))
	m.ApplyChanges(time.Now(), fleet.Position{Version: 10}, listAt(20, row("b", 20)))
	m.ApplyList(time.Now(), listAt(15, row("a", 3)))
	list, err := m.List(context.Background())
	require.NoError(t, err)
	require.Equal(t, []string{"a", "b"}, keys(list.Rows.Rows))
	require.Equal(t, int64(20), list.Rows.At.Version)
}

// The reader is behind a node that has read from the store meanwhile, or the store answers from an older copy.
func TestNodeTakesNoListOlderThanItsOwnCopy(t *testing.T) {
	for name, behind := range map[string]string{"the reader is behind": "n4", "the store is behind": "n1"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, sources, stores := zone("n1", "n2", "n3", "n4")
				sources["n4"].Mirror("t").ApplyList(time.Now(), listAt(15, row("a", 3)))
				sources["n1"].Mirror("t").ApplyList(time.Now(), listAt(20, row("a", 3), row("b", 20)))
				stores["n1"].rows = listAt(21, row("a", 3), row("b", 20))
				if behind == "n1" {
					stores["n1"].rows = listAt(16, row("a", 3))
				}
				rows, err := sources["n1"].List(context.Background(), "t")
				if behind == "n1" {
					require.Equal(t, fleet.StoreUnavailable, redwinghall.KindOf[fleet.StoreKind](err))
				} else {
					require.NoError(t, err)
					require.Equal(t, int64(21), rows.At.Version)
				}
				list, err := sources["n1"].Mirror("t").List(context.Background())
				require.NoError(t, err)
				require.Equal(t, []string{"a", "b"}, keys(list.Rows.Rows))
			})
		})
	}
}

// A node starts, or lists anew, while the reader has lost the store: it would go by a version that the newest one has
// long replaced.
func TestListIsAsFreshAsChanges(t *testing.T) {
	const lost = 2 * time.Second
	for name, c := range map[string]struct {
		table string
		want  int64
	}{"a table that is followed": {"t", 9}, "a table that is only listed": {"polled", 5}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, sources, stores := zone("n1", "n2", "n3", "n4")
				sources["n4"].Mirror(c.table).ApplyList(time.Now(), listAt(5, row("a", 5)))
				stores["n1"].rows = listAt(9, row("a", 9))
				time.Sleep(lost)
				rows, err := sources["n1"].List(context.Background(), c.table)
				require.NoError(t, err)
				require.Equal(t, c.want, rows.At.Version)
			})
		})
	}
}
