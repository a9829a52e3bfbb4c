package members_test

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"k8s.io/klog/v2"

	"redwinghall/fleet"
	"redwinghall/members"
)

// panickingLog panics at the first line about a change of the members.
type panickingLog struct {
	slog.Handler
	panicked *bool
}

// Enabled implements slog.Handler.
func (l panickingLog) Enabled(context.Context, slog.Level) bool { return true }

// Handle implements slog.Handler.
func (l panickingLog) Handle(_ context.Context, record slog.Record) error {
	if record.Message == "members_changed" && !*l.panicked {
		*l.panicked = true
		panic("members")
	}
	return nil
}

// A node that takes itself for the only one issues the whole of the limits that all nodes share.
func TestNodesAreNotKnownAfterAListThatPanicked(t *testing.T) {
	t.Cleanup(klog.CaptureState().Restore)
	klog.SetSlogLogger(slog.New(panickingLog{slog.DiscardHandler, new(bool)}))
	stored, now := newStore(), time.Unix(1000, 0)
	stored.rows["node/n2"] = fleet.Row{Key: "node/n2", Value: []byte(`{"name":"n2","zone":"a","address":"n2"}`), Version: 1}
	table := members.NewTable(members.Config{
		Self: members.Node{Name: "n1", Zone: "a", Address: "n1"}, Zones: []string{"a"}, Now: func() time.Time { return now },
	}, view{stored, "n1"})
	require.Panics(t, func() { table.Step(context.Background(), now) })
	require.False(t, isKnown(table))
	for range 50 {
		now = now.Add(100 * time.Millisecond)
		table.Step(context.Background(), now)
	}
	require.True(t, isKnown(table), "the table is read again")
	require.Len(t, table.Nodes(), 2)
}

func isKnown(table *members.Table) bool {
	select {
	case <-table.Known():
		return true
	default:
		return false
	}
}
