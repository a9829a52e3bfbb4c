package members_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/fleet"
	"redwinghall/members"
	"redwinghall/rwhtest/logtest"
)

// startAgain starts a node anew, reads the table, and returns the line on the process before.
func (f *testFleet) startAgain(config members.Config) string {
	f.t.Helper()
	log := logtest.Open(f.t)
	f.startAs(config)
	f.run(2 * time.Second)
	lines := log.Lines("previous_end", fmt.Sprintf("node=%q", config.Self.Name))
	require.Len(f.t, lines, 1)
	return lines[0]
}

func selfConfig(name string) members.Config {
	return members.Config{Self: members.Node{Name: name, Zone: "a", Address: name + ":1"}}
}

// A node that was killed writes nothing. The process that starts after it must say so, and since when
// nothing was heard of it.
func TestStartTellsAKillFromAPlannedStop(t *testing.T) {
	f := newFleet(t, nil)
	f.startAs(selfConfig("a1"))
	f.run(12 * time.Second) // announced at once, and each 5 s
	f.dead["a1"] = true
	f.run(3 * time.Second)
	lists := f.store.lists
	line := f.startAgain(selfConfig("a1"))
	require.Contains(t, line, `end="unannounced"`)
	require.Regexp(t, `last_heard="4\.[0-9]+s" ran_for="10\.[0-9]+s"`, line)
	require.Contains(t, line, `address="a1:1"`)
	require.Equal(t, lists+1, f.store.lists, "the line costs no call of the store")
	f.nodes["a1"].Leave(context.Background())
	line = f.startAgain(selfConfig("a1"))
	require.Contains(t, line, `end="planned_or_new"`)
	require.Contains(t, line, `last_heard="-1ns"`)
}

func TestFirstStartOfADeploymentIsNoEnd(t *testing.T) {
	f := newFleet(t, nil)
	config := selfConfig("a1")
	config.FirstStart = true
	require.Contains(t, f.startAgain(config), `end="first_start"`)
}

// During a rolling update nodes of two versions read each other's rows.
func TestRowsOfThePreviousVersionAreRead(t *testing.T) {
	f := newFleet(t, map[string]string{"a2": "a"})
	f.run(time.Second)
	f.store.version++
	f.store.rows["node/a1"] = fleet.Row{Table: "redwinghall", Key: "node/a1", Version: f.store.version, Value: []byte(`{"name":"a1","zone":"a","address":"a1"}`)}
	f.run(3 * time.Second)
	require.Len(t, f.nodes["a2"].Nodes(), 2)
	line := f.startAgain(selfConfig("a1"))
	require.Contains(t, line, `end="unannounced" last_heard="-1ns" ran_for="-1ns"`)
	require.Contains(t, line, `oom_kills=-1`)
}

func TestRowsAreReadByThePreviousVersion(t *testing.T) {
	f := newFleet(t, nil)
	config := selfConfig("a1")
	config.Self.Capacity, config.OOMKills = 2, func() (int64, bool) { return 0, true }
	f.startAs(config)
	f.run(time.Second)
	var row struct { // as the previous version declares it
		Name     string `json:"name"`
		Zone     string `json:"zone"`
		Address  string `json:"address"`
		Capacity int    `json:"capacity,omitempty"`
	}
	require.NoError(t, json.Unmarshal(f.store.rows["node/a1"].Value, &row))
	require.Equal(t, config.Self, members.Node(row))
}

// A row that can't be read says nothing of how the process ended.
func TestUnreadableRowIsNoEnd(t *testing.T) {
	f := newFleet(t, nil)
	f.store.rows["node/a1"] = fleet.Row{Table: "redwinghall", Key: "node/a1", Version: 1, Value: []byte(`{`)}
	require.Contains(t, f.startAgain(selfConfig("a1")), `end="unknown"`)
}

// The kernel ends a process for lack of memory without a line in its log.
func TestStartTellsAKillForLackOfMemory(t *testing.T) {
	for name, c := range map[string]struct {
		before, now int64
		want        string
	}{
		"killed":           {2, 3, "oom_kills=1"},
		"not killed":       {2, 2, "oom_kills=0"},
		"VM started since": {2, 1, "oom_kills=1"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, nil)
			config := selfConfig("a1")
			config.OOMKills = func() (int64, bool) { return c.before, true }
			f.startAs(config)
			f.run(time.Second)
			config.OOMKills = func() (int64, bool) { return c.now, true }
			require.Contains(t, f.startAgain(config), c.want)
		})
	}
}

// All nodes of a deployment are started anew within seconds. The log of one node must show that it
// was not the only one.
func TestStartsOfManyNodesAreCounted(t *testing.T) {
	for name, c := range map[string]struct {
		apart time.Duration
		want  []string
	}{
		"all at once": {200 * time.Millisecond, []string{"others=3 known=3"}},
		"rolling":     {10 * time.Second, nil},
	} {
		t.Run(name, func(t *testing.T) {
			f, log := newFleet(t, map[string]string{"a1": "a", "a2": "a", "a3": "a", "a4": "a"}), logtest.Open(t)
			f.run(20 * time.Second)
			require.Len(t, log.Lines("nodes_started_together", "others=3"), 4, "they started together the first time")
			f.run(10 * time.Second)
			again := logtest.Open(t)
			for _, name := range []string{"a1", "a2", "a3", "a4"} {
				f.startAs(selfConfig(name))
				f.run(c.apart)
			}
			f.run(15 * time.Second)
			lines := again.Lines("nodes_started_together")
			require.Len(t, lines, 4*len(c.want))
			for _, line := range lines {
				require.Contains(t, line, c.want[0])
			}
		})
	}
}
