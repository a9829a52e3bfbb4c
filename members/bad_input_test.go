package members_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"redwinghall/fleet"
	"redwinghall/members"
	"redwinghall/platform/platformtest/badinput"
	_ "redwinghall/rwhtest/fixedseed"
)

// A row that names no node must not count as one: all nodes would use a smaller share of what
// they have together, and its class could make it the zone's reader.
func TestRowsThatNameNoNodeAreNotCounted(t *testing.T) {
	f := newFleet(t, map[string]string{"n1": "a", "n2": "a"})
	for key, value := range map[string]string{
		"node/null": `null`, "node/empty": `{}`, "node/text": `"x"`, "node/cut": `{"name":"cut","zo`, "node/no_bytes": ``,
		"node/other": `{"name":"n1","zone":"a","address":"elsewhere","capacity":9}`, "node/": `{"name":"","zone":"a","address":"x"}`,
		"node/no_zone": `{"name":"no_zone","address":"x"}`,
		"lease/b":      `{"holder":7}`, "fence/b": `null`,
	} {
		f.store.version++
		f.store.rows[key] = fleet.Row{Key: key, Value: []byte(value), Version: f.store.version}
	}
	f.run(10 * time.Second)
	for name, table := range f.nodes {
		require.Len(t, table.Nodes(), 2, name)
	}
	held := f.nodes["n1"].HoldsLease("a", f.now) || f.nodes["n2"].HoldsLease("a", f.now)
	require.True(t, held, "the zone's lease is held")
}

// All nodes read the same rows of nodes and leases; none of them may panic.
func TestNodesGoOnWithAnyRowsOfNodesAndLeases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stored, now := newStore(), time.Unix(1000, 0)
		for key, value := range map[string]string{
			"node/n2": badinput.Node("n2", "a", "n2").Draw(t, "node"), "lease/a": badinput.Lease("n2").Draw(t, "lease"),
			"fence/a": badinput.Lease("n2").Draw(t, "fence"),
		} {
			stored.version++
			stored.rows[key] = fleet.Row{Key: key, Value: []byte(value), Version: stored.version}
		}
		table := members.NewTable(members.Config{
			Self: members.Node{Name: "n1", Zone: "a", Address: "n1"}, Zones: []string{"a", "b"}, Now: func() time.Time { return now },
		}, view{stored, "n1"})
		for range 300 {
			now = now.Add(100 * time.Millisecond)
			table.Step(context.Background(), now)
		}
		if nodes := table.Nodes(); len(nodes) == 0 || len(nodes) > 2 || nodes[0].Name != "n1" {
			t.Fatalf("nodes %v", nodes)
		}
	})
}
