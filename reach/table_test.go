package reach_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/reach"
)

var start = time.Unix(1_000_000, 0)

func after(d time.Duration) time.Time { return start.Add(d) }

// lose makes a node unable to connect to an endpoint that another node reaches.
func lose(t *reach.Table, at time.Time, id string) {
	t.Failed(at, "desk", id)
	t.ReachedByPeer(at, "desk", id)
}

// One endpoint is dead. If its failure alone started a detour, other nodes would be asked to
// carry requests that nobody can serve.
func TestDeadEndpointStartsNoDetour(t *testing.T) {
	table := reach.NewTable()
	table.Failed(start, "desk", "e1")
	require.True(t, table.Direct(after(time.Second), "desk", "e1"))
	require.False(t, table.Parted())
}

// A node is parted from the endpoints of one zone only. If it took all for unreached, the ones
// that it reaches would be used through other nodes too.
func TestOnlyUnreachedEndpointsAreIndirect(t *testing.T) {
	table := reach.NewTable()
	lose(table, start, "far-1")
	lose(table, start, "far-2")
	table.Responded(after(10*time.Millisecond), "desk", "near-1")
	require.False(t, table.Direct(after(20*time.Millisecond), "desk", "far-1"))
	require.True(t, table.Direct(after(20*time.Millisecond), "desk", "near-1"))
	require.True(t, table.Direct(after(20*time.Millisecond), "other", "other-1"), "another service is reached")
}

// A node is parted from all endpoints of a service. If it tried each by itself, callers would
// wait for a connection timeout at each.
func TestPartedNodeDoesNotTryEachEndpoint(t *testing.T) {
	table := reach.NewTable()
	table.Responded(start, "desk", "e3")
	lose(table, after(time.Second), "e1")
	lose(table, after(time.Second), "e2")
	require.True(t, table.Parted())
	require.False(t, table.Direct(after(1100*time.Millisecond), "desk", "e3"))
	require.False(t, table.Direct(after(1100*time.Millisecond), "desk", "never-used"))
	table.Connected(after(1200*time.Millisecond), "desk", "e3")
	require.True(t, table.Direct(after(1200*time.Millisecond), "desk", "e3"), "nobody had tried it")
	require.False(t, table.Parted())
}

// A path that comes and goes every second costs the requests that meet each change. It must be
// used again only after longer and longer times.
func TestFlappingPathIsHeldOff(t *testing.T) {
	table := reach.NewTable()
	changes, direct := 0, true
	for now := time.Duration(0); now < 60*time.Second; now += 100 * time.Millisecond {
		up := (now/time.Second)%2 == 1
		if table.Direct(after(now), "desk", "e1") && !up {
			lose(table, after(now), "e1")
		}
		for range table.ProbesDue(after(now), 1) {
			if up {
				table.Connected(after(now), "desk", "e1")
			}
		}
		if is := table.Direct(after(now), "desk", "e1"); is != direct {
			changes, direct = changes+1, is
		}
	}
	require.LessOrEqual(t, changes, 24)
	require.Positive(t, changes)
}

// The partition ends. The node must use its own paths again within seconds, whatever the number
// of endpoints, and must not connect to all of them at once.
func TestPathsReturn(t *testing.T) {
	for _, endpoints := range []int{3, 8, 74, 300} {
		t.Run(fmt.Sprint(endpoints), func(t *testing.T) {
			table := reach.NewTable()
			for i := range endpoints {
				lose(table, start, fmt.Sprint("e", i))
			}
			const healed = 5 * time.Second
			probes, now := 0, time.Duration(0)
			for ; table.Indirect() > 0 && now < time.Minute; now += 100 * time.Millisecond {
				due := table.ProbesDue(after(now), 2)
				require.LessOrEqual(t, len(due), 2)
				probes += len(due)
				for _, id := range due {
					if now >= healed {
						table.Connected(after(now), "desk", id)
					}
				}
			}
			require.LessOrEqual(t, now, healed+2*time.Second+time.Duration(endpoints/2)*100*time.Millisecond)
			require.LessOrEqual(t, probes, 2*int(now/(100*time.Millisecond)))
		})
	}
}

// A connection just broke. A booking that is written to another open connection may be lost in
// it, and its outcome would be unknown.
func TestOpenConnectionsAreDoubtedAfterAFailure(t *testing.T) {
	table := reach.NewTable()
	table.Responded(start, "desk", "e1")
	require.False(t, table.Doubtful(after(time.Second), "desk", "e1"))
	table.Broke(after(time.Second), "desk", "e2")
	require.True(t, table.Doubtful(after(1100*time.Millisecond), "desk", "e1"))
	table.Responded(after(1200*time.Millisecond), "desk", "e1")
	require.False(t, table.Doubtful(after(1300*time.Millisecond), "desk", "e1"))
	require.False(t, table.Doubtful(after(10*time.Second), "desk", "e3"))
}

// A whole domain goes dark. If that alone made a node distrust its connections, each failure would
// cost the endpoints that go on a new connection for each request.
func TestDarkDomainIsNoPartition(t *testing.T) {
	table := reach.NewTable()
	for i := range 11 {
		table.Failed(after(time.Second), "llm", fmt.Sprint("dark-", i))
	}
	table.Responded(after(1100*time.Millisecond), "llm", "sound")
	require.False(t, table.SeemsParted(after(1200*time.Millisecond)))
	require.False(t, table.Doubtful(after(1200*time.Millisecond), "desk", "desk-1"))
	require.True(t, table.SeemsParted(after(1500*time.Millisecond)), "nothing comes any more")
}

// A path works again and is held off, as it failed twice. Nodes that reach nothing must be helped
// over it at once, until it fails again.
func TestHeldOffPathHelpsOthers(t *testing.T) {
	table := reach.NewTable()
	lose(table, start, "e1")
	require.False(t, table.Reaches(after(100*time.Millisecond), "desk", "e1"))
	require.True(t, table.Connected(after(time.Second), "desk", "e1"))
	require.True(t, table.Reaches(after(time.Second), "desk", "e1"))
	lose(table, after(2*time.Second), "e1")
	require.False(t, table.Reaches(after(2*time.Second), "desk", "e1"))
	require.False(t, table.Connected(after(3*time.Second), "desk", "e1"), "held off for longer")
	require.False(t, table.Direct(after(3*time.Second), "desk", "e1"))
	require.True(t, table.Reaches(after(3*time.Second), "desk", "e1"))
	table.Failed(after(3500*time.Millisecond), "desk", "e1")
	require.False(t, table.Reaches(after(3500*time.Millisecond), "desk", "e1"))
}

// A parted node that last reached an endpoint before its partition must not offer to help others.
func TestPartedNodeReachesNothing(t *testing.T) {
	table := reach.NewTable()
	table.Responded(start, "desk", "e3")
	lose(table, after(time.Second), "e1")
	lose(table, after(time.Second), "e2")
	require.False(t, table.Reaches(after(1100*time.Millisecond), "desk", "e3"))
	require.False(t, table.Reaches(after(1100*time.Millisecond), "desk", "never-used"))
}
