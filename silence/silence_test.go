package silence_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/silence"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	stillAfter = 300 * time.Millisecond
	groups     = 12
	lostGroup  = "g-00"
)

// play is the streams of some nodes at some groups, in virtual time.
type play struct {
	table   *silence.Table
	runTime func(from, to time.Time) time.Duration
	// lastEvent returns when a node's streams at a group last got an event, as of now.
	lastEvent func(node int, group string, now time.Time) time.Time
	// paused reports whether a node stands still.
	paused func(node int, now time.Time) bool
	// streams holds the groups at which each node has streams that have begun.
	streams [][]string
	// found holds when each group was first found silent, lastFound when it was last.
	found, lastFound map[string]time.Duration
}

// newPlay returns a play in which each group has 30 streams, spread over the nodes, and sends an event
// every 80 ms.
func newPlay(nodes int) *play {
	p := &play{
		runTime: func(from, to time.Time) time.Duration { return to.Sub(from) },
		paused:  func(int, time.Time) bool { return false },
		streams: make([][]string, nodes), found: map[string]time.Duration{}, lastFound: map[string]time.Duration{},
	}
	random := rand.New(rand.NewPCG(1, 2)) //nolint:gosec // a seeded play
	for g := range groups {
		for range 30 {
			node := random.IntN(nodes)
			p.streams[node] = append(p.streams[node], fmt.Sprintf("g-%02d", g))
		}
	}
	p.lastEvent = func(_ int, _ string, now time.Time) time.Time { return lastPass(now, 80*time.Millisecond) }
	return p
}

// lastPass returns the end of the last pass of a group whose passes take some time.
func lastPass(now time.Time, pass time.Duration) time.Time {
	return start.Add(now.Sub(start).Truncate(pass))
}

// run plays for a while. Nodes report every 60 ms, one after the other.
func (p *play) run(lasts time.Duration) {
	p.table = silence.NewTable(func(from, to time.Time) time.Duration { return p.runTime(from, to) })
	for at := time.Duration(0); at < lasts; at += 10 * time.Millisecond {
		now := start.Add(at)
		for node := range p.streams {
			if (int(at/(10*time.Millisecond))+node)%6 == 0 && !p.paused(node, now) {
				p.table.Set(now, fmt.Sprint(node), p.report(node, now))
			}
		}
		for _, head := range p.table.Silent(now) {
			if _, known := p.found[head.Endpoint]; !known {
				p.found[head.Endpoint] = at
			}
			p.lastFound[head.Endpoint] = at
		}
	}
}

func (p *play) report(node int, now time.Time) silence.Report {
	r := silence.Report{Still: map[string]time.Duration{}}
	for _, group := range p.streams[node] {
		if still := now.Sub(p.lastEvent(node, group, now)); still >= stillAfter {
			r.Still[group] = still
			continue
		}
		r.Moving = append(r.Moving, group)
	}
	return r
}

// silentFrom stops the events of some groups at a time.
func (p *play) silentFrom(from time.Duration, silent func(node int, group string) bool) {
	before := p.lastEvent
	p.lastEvent = func(node int, group string, now time.Time) time.Time {
		if silent(node, group) && now.After(start.Add(from)) {
			now = start.Add(from)
		}
		return before(node, group, now)
	}
}

// A group of 30 streams over 36 nodes loses a member at 1 s.
func TestLostMemberIsFoundByAllNodesTogether(t *testing.T) {
	p := newPlay(36)
	p.silentFrom(time.Second, func(_ int, group string) bool { return group == lostGroup })
	p.run(3 * time.Second)
	require.Len(t, p.found, 1)
	require.LessOrEqual(t, p.found[lostGroup], time.Second+300*time.Millisecond)
}

// Beside a group that lost a member another one is slow: its passes take 240 ms, and it goes on.
func TestSlowGroupIsNotSilent(t *testing.T) {
	p := newPlay(36)
	fast := p.lastEvent
	p.lastEvent = func(node int, group string, now time.Time) time.Time {
		if group == "g-01" {
			return lastPass(now, 240*time.Millisecond)
		}
		return fast(node, group, now)
	}
	p.silentFrom(time.Second, func(_ int, group string) bool { return group == lostGroup })
	p.run(3 * time.Second)
	require.Contains(t, p.found, lostGroup)
	require.Len(t, p.found, 1)
}

// Passes that read prompts at every step take 270 ms in all groups.
func TestReadingPassesAreNotSilent(t *testing.T) {
	p := newPlay(36)
	p.lastEvent = func(_ int, _ string, now time.Time) time.Time { return lastPass(now, 270*time.Millisecond) }
	p.run(3 * time.Second)
	require.Empty(t, p.found)
}

// A slow group sends an event to some of its streams only: those of the other nodes stand still.
func TestGroupThatMovesForOneNodeIsNotSilent(t *testing.T) {
	p := newPlay(36)
	served := -1
	for node, at := range p.streams {
		for _, group := range at {
			if group == lostGroup {
				served = node
			}
		}
	}
	p.silentFrom(time.Second, func(node int, group string) bool { return group == lostGroup && node != served })
	p.run(3 * time.Second)
	require.Empty(t, p.found)
}

// One node is parted from all groups.
func TestPartedNodeSaysNothing(t *testing.T) {
	p := newPlay(36)
	p.silentFrom(time.Second, func(node int, _ string) bool { return node == 3 })
	p.run(3 * time.Second)
	require.Empty(t, p.found)
}

// Only one node has streams at a group, and it is parted from it.
func TestOneNodesViewSaysNothing(t *testing.T) {
	p := newPlay(6)
	p.streams[2] = append(p.streams[2], "g-alone")
	p.silentFrom(time.Second, func(_ int, group string) bool { return group == "g-alone" })
	p.run(3 * time.Second)
	require.Empty(t, p.found)
}

// A node stands still for a second: its last report is old, and so is what it saw.
func TestPausedNodeSaysNothing(t *testing.T) {
	p := newPlay(36)
	p.paused = func(node int, now time.Time) bool { return node%4 == 0 && now.After(start.Add(time.Second)) }
	p.run(3 * time.Second)
	require.Empty(t, p.found)
}

// This process stands still for a second, and has not read the later reports when it goes on.
func TestOwnPauseSaysNothing(t *testing.T) {
	table := silence.NewTable(func(time.Time, time.Time) time.Duration { return 0 })
	for node := range 4 {
		table.Set(start, fmt.Sprint(node), silence.Report{Still: map[string]time.Duration{"a": stillAfter}, Moving: []string{"b", "c"}})
	}
	require.Empty(t, table.Silent(start.Add(200*time.Millisecond)))
}

// All groups fall silent within 0.2 s and go on a second later.
func TestSilenceOfAllSaysNothing(t *testing.T) {
	p := newPlay(36)
	p.silentFrom(time.Second, func(int, string) bool { return true })
	p.run(3 * time.Second)
	require.Empty(t, p.found)
}

// All groups of the zone fall silent, while streams of its nodes at groups of another zone go on.
func TestStreamsAtOtherZonesSayNothing(t *testing.T) {
	still := map[string]time.Duration{"own-1": stillAfter, "own-2": stillAfter}
	report := silence.Report{Still: still, Moving: []string{"other-1", "other-2", "other-3"}}
	own := func(id string) bool { return strings.HasPrefix(id, "own-") }
	silent, most := silence.Decide([]silence.Report{report.Of(own), report.Of(own), report.Of(own)})
	require.Empty(t, silent)
	require.True(t, most)
}

// All groups fall silent within 0.2 s, and go on within 0.2 s.
func TestReturnOfAllSaysNothing(t *testing.T) {
	for _, lasts := range []time.Duration{400, 500, 600, 800, 1200} {
		t.Run(fmt.Sprint(lasts), func(t *testing.T) {
			p := newPlay(36)
			steady := p.lastEvent
			p.lastEvent = func(node int, group string, now time.Time) time.Time {
				later := time.Duration(group[3]-'0') * 20 * time.Millisecond
				from, to := start.Add(time.Second+later), start.Add(time.Second+later+lasts*time.Millisecond)
				if now.After(from) && now.Before(to) {
					now = from
				}
				return steady(node, group, now)
			}
			p.run(4 * time.Second)
			for group, at := range p.lastFound {
				require.Less(t, at, time.Second+lasts*time.Millisecond, group) // before any goes on
			}
		})
	}
}

// Most groups fall silent.
func TestSilenceOfMostSaysNothing(t *testing.T) {
	p := newPlay(36)
	p.silentFrom(time.Second, func(_ int, group string) bool { return group > "g-03" })
	p.run(3 * time.Second)
	require.Empty(t, p.found)
}

// Two groups lose a member at the same moment.
func TestTwoLostGroupsAreFound(t *testing.T) {
	p := newPlay(61)
	p.silentFrom(time.Second, func(_ int, group string) bool { return group == lostGroup || group == "g-07" })
	p.run(3 * time.Second)
	require.Len(t, p.found, 2)
}
