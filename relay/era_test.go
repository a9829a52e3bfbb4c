package relay_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall"
	"redwinghall/fleet"
	"redwinghall/relay"
)

// A store that was restored from an older copy assigns versions again. A mirror that kept
// its higher version would never see the rows that are written below it.
func TestMirrorReplacesRowsOfEarlierEra(t *testing.T) {
	m := relay.NewMirror(nil)
	m.ApplyList(time.Now(), fleet.Rows{At: fleet.Position{Era: 1, Version: 90}, Rows: []fleet.Row{row("a", 3), row("lost", 80)}})
	m.ApplyList(time.Now(), fleet.Rows{At: fleet.Position{Era: 2, Version: 50}, Rows: []fleet.Row{row("a", 3)}})
	list, err := m.List(context.Background())
	require.NoError(t, err)
	require.Equal(t, fleet.Position{Era: 2, Version: 50}, list.Rows.At)
	require.Len(t, list.Rows.Rows, 1)

	m.ApplyChanges(time.Now(), fleet.Position{Era: 2, Version: 50}, fleet.Rows{At: fleet.Position{Era: 2, Version: 51}, Rows: []fleet.Row{row("b", 51)}})
	changes, err := m.Changes(context.Background(), fleet.Position{Era: 2, Version: 50}, time.Second)
	require.NoError(t, err)
	require.Equal(t, []string{"b"}, keys(changes.Rows.Rows))
	_, err = m.Changes(context.Background(), fleet.Position{Era: 1, Version: 90}, time.Second)
	require.Equal(t, fleet.StoreHistoryGone, redwinghall.KindOf[fleet.StoreKind](err), "a position of the old era requires a new list")
	_, err = m.Changes(context.Background(), fleet.Position{Era: 3, Version: 1}, time.Second)
	require.Equal(t, fleet.StoreUnreachable, redwinghall.KindOf[fleet.StoreKind](err), "a position of a newer era is not served from this copy")

	m.ApplyList(time.Now(), fleet.Rows{At: fleet.Position{Era: 1, Version: 95}, Rows: []fleet.Row{row("lost", 80)}})
	list, err = m.List(context.Background())
	require.NoError(t, err)
	require.Equal(t, int64(2), list.Rows.At.Era)
	require.Equal(t, []string{"a", "b"}, keys(list.Rows.Rows), "a list of an earlier era is ignored")
}

// A reader whose store answers that the history is gone does reach the store. If its mirror
// were marked unreachable, the other nodes would turn to nodes with older copies.
func TestHistoryGoneDoesNotMarkStoreUnreachable(t *testing.T) {
	_, sources, stores := zone("n1")
	_, err := sources["n1"].List(context.Background(), "t")
	require.NoError(t, err)
	stores["n1"].historyGone = true
	_, err = sources["n1"].Changes(context.Background(), "t", fleet.Position{Version: 5}, time.Millisecond)
	require.Equal(t, fleet.StoreHistoryGone, redwinghall.KindOf[fleet.StoreKind](err))
	_, err = sources["n1"].Mirror("t").List(context.Background())
	require.NoError(t, err)
}

// The reader of a zone still holds rows from before the store was restored. A node that
// knows the newer era must not accept them as current.
func TestReaderOfAnEarlierEraIsSkipped(t *testing.T) {
	_, sources, stores := zone("n1", "n2", "n3", "n4")
	rowsAt := func(era, version int64) fleet.Rows {
		return fleet.Rows{At: fleet.Position{Era: era, Version: version}, Rows: []fleet.Row{row("a", version)}}
	}
	for name, s := range sources {
		stores[name].rows = rowsAt(2, 4)
		s.Mirror("t").ApplyList(time.Now(), rowsAt(1, 9))
	}
	for name, s := range sources {
		_, err := s.Commit(context.Background(), fleet.Txn{}) // the commit response carries the era
		require.NoError(t, err)
		s.Mirror("other").ApplyList(time.Now(), rowsAt(2, 4))
		rows, err := s.List(context.Background(), "t")
		require.NoError(t, err, name)
		require.Equal(t, int64(2), rows.At.Era, name)
	}
}

// Once the versions of the restored store have passed the position that was read, its
// answer looks valid, but lacks rows that were written again at lower versions.
func TestChangesOfAnotherEraRequireANewList(t *testing.T) {
	_, sources, stores := zone("n1")
	stores["n1"].rows = fleet.Rows{At: fleet.Position{Era: 1, Version: 5}, Rows: []fleet.Row{row("a", 5)}}
	_, err := sources["n1"].List(context.Background(), "t")
	require.NoError(t, err)
	stores["n1"].rows = fleet.Rows{At: fleet.Position{Era: 2, Version: 8}, Rows: []fleet.Row{row("b", 8)}}
	_, err = sources["n1"].Changes(context.Background(), "t", fleet.Position{Era: 1, Version: 5}, time.Millisecond)
	require.Equal(t, fleet.StoreHistoryGone, redwinghall.KindOf[fleet.StoreKind](err))
	rows, err := sources["n1"].List(context.Background(), "t")
	require.NoError(t, err)
	require.Equal(t, []string{"b"}, keys(rows.Rows))
}
