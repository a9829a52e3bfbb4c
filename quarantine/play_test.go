package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/quarantine"
)

// Delays of a play without a network.
const (
	playStep    = time.Millisecond
	ownZoneHop  = 3 * time.Millisecond // one way, within a zone
	otherHop    = 40 * time.Millisecond
	playPrefill = 60 * time.Millisecond // until an endpoint begins to answer
	playCheck   = 3 * time.Millisecond  // until a node has found out that a process ended
)

// play is a number of nodes that tell each other of ends as real ones do: a zone's first node tells the others of
// its zone and the first nodes of the others.
type play struct {
	random *rand.Rand
	now    time.Time
	zones  [][]*playNode
	cut    map[int]bool // zones that are cut off
	events map[int64][]func()
	ends   []time.Time
	// refusedSound counts sound requests that were refused or not allowed a trial for too long.
	sound, refusedSound int
	told                int // messages of nodes to each other
	serial              int
}

type playNode struct {
	table *quarantine.Table
	zone  int
	sent  uint64
	known bool
}

func newPlay(seed uint64, zones, perZone int) *play {
	p := &play{random: rand.New(rand.NewPCG(seed, 1)), now: start, cut: map[int]bool{}, events: map[int64][]func(){}}
	for z := range zones {
		var nodes []*playNode
		for range perZone {
			nodes = append(nodes, &playNode{table: quarantine.NewTable(), zone: z, known: true})
		}
		p.zones = append(p.zones, nodes)
	}
	return p
}

func (p *play) after(d time.Duration, fn func()) {
	at := p.now.Add(d).UnixMilli()
	p.events[at] = append(p.events[at], fn)
}

// run steps until the end and calls each at each step.
func (p *play) run(length time.Duration, each func()) {
	for end := p.now.Add(length); p.now.Before(end); p.now = p.now.Add(playStep) {
		at := p.now.UnixMilli()
		for len(p.events[at]) > 0 {
			due := p.events[at]
			delete(p.events, at)
			for _, fn := range due {
				fn()
			}
		}
		each()
	}
}

func (p *play) node() *playNode {
	zone := p.zones[p.random.IntN(len(p.zones))]
	return zone[p.random.IntN(len(zone))]
}

// hop returns how long a message takes, and false if it is lost.
func (p *play) hop(from, to *playNode) (time.Duration, bool) {
	if from.zone == to.zone {
		return ownZoneHop, true
	}
	return otherHop, !p.cut[from.zone] && !p.cut[to.zone]
}

// tell sends a node's news on, as node.tellQuarantine does.
func (p *play) tell(n *playNode) {
	first := p.zones[n.zone][0] == n
	report, seq := n.table.News(p.now, n.sent, !first)
	n.sent = seq
	if report.IsEmpty() {
		return
	}
	var to []*playNode
	if !first {
		to = append(to, p.zones[n.zone][0])
	} else {
		to = append(to, p.zones[n.zone][1:]...)
		for z, zone := range p.zones {
			if z != n.zone {
				to = append(to, zone[0])
			}
		}
	}
	for _, other := range to {
		p.told++
		if delay, ok := p.hop(n, other); ok {
			p.after(delay, func() {
				other.table.Merge(p.now, report)
				p.after(0, func() { p.tell(other) })
			})
		}
	}
}

// host returns the node that grants trials to another one.
func (p *play) host(n *playNode) *playNode {
	for _, zone := range p.zones {
		if _, ok := p.hop(n, zone[0]); ok {
			return zone[0]
		}
	}
	return n
}

// request sends a request, which ends its endpoint if bad. waited is how long it waits for a trial.
func (p *play) request(n *playNode, bad bool, waited time.Duration, parts ...string) {
	p.serial++
	id := fmt.Sprint("r", p.serial)
	switch n.table.Check(p.now, service, parts).Verdict {
	case quarantine.Send:
		p.serve(n, id, bad, false, parts)
		return
	case quarantine.Refuse:
		p.refused(bad)
		return
	}
	host := p.host(n)
	delay, _ := p.hop(n, host)
	known := n.table.About(p.now, service, parts)
	p.after(delay, func() {
		host.table.Merge(p.now, known)
		answer := host.table.RequestTrial(p.now, id, service, parts)
		about := host.table.About(p.now, service, parts)
		p.after(delay, func() {
			n.table.Merge(p.now, about)
			switch {
			case answer == quarantine.TrialGranted:
				p.serve(n, id, bad, true, parts)
			case answer == quarantine.TrialNeedless:
				p.serve(n, id, bad, false, parts)
			case answer == quarantine.TrialRefused || waited > 500*time.Millisecond:
				p.refused(bad)
			default:
				p.after(100*time.Millisecond, func() { p.request(n, bad, waited+100*time.Millisecond+2*delay, parts...) })
			}
		})
	})
}

func (p *play) refused(bad bool) {
	if !bad {
		p.sound++
		p.refusedSound++
	}
}

func (p *play) serve(n *playNode, id string, bad, trial bool, parts []string) {
	if !bad {
		p.sound++
		p.after(playPrefill+200*time.Millisecond, func() {
			n.table.RecordProven(p.now, service, parts)
			p.tell(n)
		})
		return
	}
	p.after(playPrefill, func() {
		p.ends = append(p.ends, p.now)
		process := quarantine.Process{Endpoint: fmt.Sprint("engine-", len(p.ends)), StartedMillis: 1}
		p.after(playCheck, func() {
			n.table.RecordEnd(quarantine.Suspect{Process: process, Request: id, Service: service, Parts: parts, Trial: trial, At: p.now})
			p.tell(n)
		})
	})
}

// How many bad requests may end workers in a play: the users' rule, of each part of the deployment that can't hear the others.
const maxPlayedEnds = 5

// One bad part, of requests that come at any node, ends few workers of a deployment of any size.
func TestPlayedPartEndsFewWorkers(t *testing.T) {
	t.Parallel()
	for _, size := range []struct{ zones, nodes int }{{3, 1}, {3, 3}, {1, 74}, {4, 18}, {16, 19}} {
		t.Run(fmt.Sprintf("%d zones of %d", size.zones, size.nodes), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(20) {
				p := newPlay(seed, size.zones, size.nodes)
				p.run(time.Second, p.soundLoad)
				p.run(20*time.Second, func() { p.soundLoad(); p.badLoad(5, "bad") })
				require.LessOrEqual(t, len(p.ends), maxPlayedEnds, "seed %d", seed)
				require.Less(t, p.ends[len(p.ends)-1].Sub(p.ends[0]), 2*time.Second, "seed %d", seed)
				require.LessOrEqual(t, float64(p.refusedSound), 0.05*float64(p.sound), "seed %d: %d of %d", seed, p.refusedSound, p.sound)
			}
		})
	}
}

// A zone that is cut off finds out by itself; once it hears the others, all know both parts.
func TestPlayedPartEndsFewWorkersOfEachSide(t *testing.T) {
	t.Parallel()
	for seed := range uint64(20) {
		p := newPlay(seed, 3, 8)
		p.run(time.Second, p.soundLoad)
		p.cut[0] = true
		p.run(10*time.Second, func() { p.soundLoad(); p.badLoad(6, "bad") })
		require.LessOrEqual(t, len(p.ends), 2*maxPlayedEnds, "seed %d: on two sides", seed)
		before := len(p.ends)
		delete(p.cut, 0)
		p.sync()
		p.run(5*time.Second, func() { p.soundLoad(); p.badLoad(6, "bad") })
		require.Len(t, p.ends, before, "seed %d", seed)
	}
}

// Nodes that start anew, in turn, hear of the part before they send anything.
func TestPlayedPartEndsNothingMoreByNodesThatStart(t *testing.T) {
	t.Parallel()
	p := newPlay(3, 4, 18)
	p.run(time.Second, p.soundLoad)
	p.run(5*time.Second, func() { p.soundLoad(); p.badLoad(5, "bad") })
	before := len(p.ends)
	for z, zone := range p.zones {
		for i, old := range zone {
			fresh := &playNode{table: quarantine.NewTable(), zone: z}
			other := p.zones[z][(i+1)%len(zone)]
			fresh.table.Merge(p.now, other.table.All(p.now))
			require.NotZero(t, old.table.Digest())
			p.zones[z][i] = fresh
			p.run(100*time.Millisecond, func() { p.soundLoad(); p.badLoad(20, "bad") })
		}
	}
	require.Len(t, p.ends, before)
}

// soundLoad sends 40 sound requests a second, on average, with one of a few first parts.
func (p *play) soundLoad() {
	if p.random.Float64() < 0.04 {
		p.request(p.node(), false, 0, fmt.Sprint("first-", p.random.IntN(5)))
	}
}

// badLoad sends bad requests, a number a second on average, whose first parts sound ones have too.
func (p *play) badLoad(perSecond float64, part string) {
	if p.random.Float64() < perSecond/1000 {
		p.request(p.node(), true, 0, fmt.Sprint("first-", p.random.IntN(5)), part)
	}
}

// sync exchanges the tables of the zones' first nodes, as happens once they hear each other again.
func (p *play) sync() {
	for _, one := range p.zones {
		for _, other := range p.zones {
			one[0].table.Merge(p.now, other[0].table.All(p.now))
		}
	}
	for _, zone := range p.zones {
		p.tell(zone[0])
	}
}
