package balance_test

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/neighbor"
)

// gatheredFor is how long all requests arrive at the same node.
const gatheredFor = 4 * time.Second

// belief is how many streams the dispatcher counted at its groups, beside those that
// were there.
type belief struct {
	decisions         int
	counted, existing int // sums over the decisions
	excess            int // the most by which a decision counted too many
}

// believe compares what the dispatcher counts with what there is.
func (p *zoneSimulation) believe() {
	counted := 0
	for _, e := range p.heads {
		counted += p.first.tracker.Snapshot(p.now, e).Running
	}
	p.believed.decisions++
	p.believed.counted, p.believed.existing = p.believed.counted+counted, p.believed.existing+p.placed
	p.believed.excess = max(p.believed.excess, counted-p.placed)
}

// report returns what a node's request says about its streams.
func (p *zoneSimulation) report(node int) neighbor.StreamReport {
	if !p.carriesLoads {
		return neighbor.StreamReport{}
	}
	settled := p.tickets[node].Settled()
	return neighbor.StreamReport{Settled: settled, Loads: p.told[node].Changes(p.now, p.trackers[node], p.dispatcherOf(node).name, p.heads)}
}

// applyReport applies a node's report at the dispatcher.
func (p *zoneSimulation) applyReport(node int, ticket uint64, report neighbor.StreamReport) {
	d := p.dispatcherOf(node)
	if d.name == strconv.Itoa(node) {
		return
	}
	changes := d.table.MergeNode(p.now, strconv.Itoa(node), ticket, report.Loads)
	d.tracker.Settle(p.now, p.heads, strconv.Itoa(node), report.Settled, changes)
}

// beliefCase is a load whose reports to the dispatcher are late.
type beliefCase struct {
	late     time.Duration
	gathered bool
	// answer and perSecond are chosen so that half of the slots are taken.
	answer, perSecond float64
}

func (c beliefCase) run(carries bool) *zoneSimulation {
	return zoneScenario{
		nodes: 8, groups: 8, perSecond: c.perSecond, shareInterval: shareIntervalFor(8), changedInterval: shareIntervalFor(0), dispatched: true,
		length: 20 * time.Second, reportsLate: c.late, closesLate: c.late / 10, carriesLoads: carries, gathered: c.gathered, answer: c.answer,
	}.run(1)
}

// Reports of a node wait for a processor, and streams that have ended count at the
// dispatcher until they come: callers are refused while places are free.
func TestDispatcherCountsNoEndedStreams(t *testing.T) {
	for _, late := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond} {
		for _, gathered := range []bool{false, true} {
			for _, c := range []beliefCase{{late, gathered, 200, 64}, {late, gathered, 15, 240}} {
				t.Run(fmt.Sprintf("late by up to %s, gathered %v, answers of %.0f tokens", c.late, c.gathered, c.answer), func(t *testing.T) {
					t.Logf("reports alone: %s", c.run(false).belief())
					carried := c.run(true)
					t.Logf("loads with each request: %s", carried.belief())
					require.LessOrEqual(t, float64(carried.believed.counted), beliefFactor*float64(carried.believed.existing))
					require.Zero(t, carried.refused, "half of the slots are free")
				})
			}
		}
	}
}

func (p *zoneSimulation) belief() string {
	b := p.believed
	return fmt.Sprintf("counted %.1f for %.1f (at most %d too many), refused %.4f: %s", float64(b.counted)/float64(b.decisions),
		float64(b.existing)/float64(b.decisions), b.excess, p.share(p.refused), p)
}

// beliefFactor is the most streams that the dispatcher may count for each that there is.
const beliefFactor = 1.1
