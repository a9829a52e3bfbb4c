package balance_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/balance"
	"redwinghall/fleet"
)

// A play in which nodes without a dispatcher serve callers of short streams.
const (
	shortCallers       = 60
	shortPause         = 20 * time.Millisecond
	shortZoneReports   = 60 * time.Millisecond
	shortRemoteReports = 250 * time.Millisecond
	shortLength        = 10 * time.Second
)

// shortStreams has the nodes of two zones, of which one may have no groups, choose groups for streams.
type shortStreams struct {
	eventQueue
	answer     time.Duration // of each stream, from its choice to its end
	nodes      []*shortNode
	heads      []*fleet.Endpoint
	served     int
	refused    int
	mostPlaced int
	placed     map[string]int // streams in progress by endpoint
}

// shortEngine returns an engine whose usual answers are much longer than those of the play.
func shortEngine() *fleet.Engine {
	e := engine()
	e.MeanPromptTokens, e.MeanAnswerTokens = 1000, 100
	return e
}

type shortNode struct {
	zone    string
	zoned   int // nodes of the zone
	tracker *balance.Tracker
}

func newShortStreams(answer time.Duration, groups map[string]int) *shortStreams {
	p := &shortStreams{eventQueue: eventQueue{now: start}, answer: answer, placed: map[string]int{}}
	for _, zone := range []struct {
		name  string
		nodes int
	}{{"a", 3}, {"b", 2}} {
		for range zone.nodes {
			tracker := balance.NewTrackerWithRunTime(func(from, to time.Time) time.Duration { return to.Sub(from) })
			p.nodes = append(p.nodes, &shortNode{zone: zone.name, zoned: zone.nodes, tracker: tracker})
		}
		for i := range groups[zone.name] {
			p.heads = append(p.heads, head(fmt.Sprint(zone.name, i), zone.name, "large"))
		}
	}
	return p
}

func (p *shortStreams) run() {
	p.share(shortZoneReports, (*shortNode).setOwnZone)
	p.share(shortRemoteReports, (*shortNode).setOtherZones)
	for caller := range shortCallers {
		p.after(time.Duration(caller)*time.Millisecond, func() { p.call(caller, 0) })
	}
	p.runUntil(start.Add(shortLength))
}

// call sends a caller's request to the next node, and the next one a moment after its end.
func (p *shortStreams) call(caller, serial int) {
	node := p.nodes[(caller+serial)%len(p.nodes)]
	request := newRequest()
	request.Service.Engine, request.Model = shortEngine(), shortEngine().Models[0]
	request.Zone, request.Prompt, request.Objective = node.zone, 100, 500*time.Millisecond
	request.Nodes, request.ZoneNodes = len(p.nodes), node.zoned
	again := func() { p.call(caller, serial+1) }
	choice, refused := node.tracker.ChooseGroup(p.now, p.heads, nil, request)
	if refused != nil {
		p.refused++
		p.after(shortPause, again)
		return
	}
	id := choice.Endpoint.ID
	p.placed[id]++
	p.mostPlaced = max(p.mostPlaced, p.placed[id])
	p.after(p.answer/4, func() { choice.Attempt.RecordEvent(p.now, nil) })
	p.after(p.answer, func() {
		choice.Attempt.Done(p.now, true)
		p.placed[id]--
		p.served++
		p.after(shortPause, again)
	})
}

// share has all nodes learn the others' loads once an interval.
func (p *shortStreams) share(interval time.Duration, set func(*shortNode, time.Time, []*shortNode)) {
	for _, node := range p.nodes {
		set(node, p.now, p.nodes)
	}
	p.after(interval, func() { p.share(interval, set) })
}

func (n *shortNode) setOwnZone(now time.Time, all []*shortNode) {
	n.tracker.SetOwnZoneLoads(now, sumOfLoads(now, all, func(other *shortNode) bool { return other != n && other.zone == n.zone }))
}

func (n *shortNode) setOtherZones(now time.Time, all []*shortNode) {
	n.tracker.SetOtherZoneLoads(now, sumOfLoads(now, all, func(other *shortNode) bool { return other.zone != n.zone }))
}

func sumOfLoads(now time.Time, nodes []*shortNode, wanted func(*shortNode) bool) map[string]balance.Load {
	sum := map[string]balance.Load{}
	for _, node := range nodes {
		if !wanted(node) {
			continue
		}
		for id, load := range node.tracker.OwnLoads(now) {
			sum[id] = sum[id].With(load)
		}
	}
	return sum
}

// Nodes take what they sent and what has ended since for load that the others have yet to share, and refuse
// callers of short streams although groups would serve all callers at once in time.
func TestShortStreamsDoNotMakeGroupsLookFull(t *testing.T) {
	for name, groups := range map[string]map[string]int{"both zones": {"a": 2, "b": 2}, "one zone": {"a": 2}} {
		for _, answer := range []time.Duration{40 * time.Millisecond, 80 * time.Millisecond, 120 * time.Millisecond, 200 * time.Millisecond} {
			t.Run(fmt.Sprint(name, ", ", answer), func(t *testing.T) {
				p := newShortStreams(answer, groups)
				p.run()
				t.Logf("served %d, refused %d, at most %d at a group of %d slots", p.served, p.refused, p.mostPlaced, engine().Slots)
				require.Zero(t, p.refused)
			})
		}
	}
}
