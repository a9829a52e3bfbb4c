package balance_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/balance"
	"redwinghall/neighbor"
	"redwinghall/promise"
)

// dispatcher is a node that chooses for the zone.
type dispatcher struct {
	name     string
	tracker  *balance.Tracker
	table    *neighbor.LoadTable
	schedule *promise.Schedule
}

// newDispatcher returns a node as a dispatcher that has chosen for nobody yet. It knows what
// it was told of the others' loads.
func (p *zoneSimulation) newDispatcher(node int) *dispatcher {
	return &dispatcher{name: strconv.Itoa(node), tracker: p.trackers[node], table: neighbor.NewLoadTable(), schedule: &promise.Schedule{}}
}

// fault is what happens to the dispatcher, or to what it hears.
type fault string

const (
	dispatcherDies    fault = "the dispatcher dies"
	dispatcherSilent  fault = "the dispatcher stands still"
	dispatcherCut     fault = "the dispatcher is cut off"
	twoDispatch       fault = "two decide"
	reportsLost       fault = "reports are lost"
	nodeRestarts      fault = "a node restarts with its callers"
	reserveTimeout          = 40 * time.Millisecond
	lostReports             = 0.5 // share of reports lost
	restartedNode           = 7
	orderHoldsAgainIn       = time.Second
)

// scheduleFault arranges for the fault of the scenario.
func (p *zoneSimulation) scheduleFault() {
	if p.fault == "" {
		return
	}
	p.after(p.faultAt, func() {
		switch p.fault {
		case dispatcherSilent: // the next one takes over until it runs again
			stood := p.first
			p.silentUntil = p.now.Add(reserveTimeout)
			p.first = p.newDispatcher(1)
			p.after(p.faultFor, func() { p.first = stood })
		case dispatcherDies, dispatcherCut:
			p.silentUntil = p.now.Add(reserveTimeout)
			p.first = p.newDispatcher(1)
		case twoDispatch:
			p.second = p.newDispatcher(1)
			p.after(p.faultFor, func() { p.second = nil })
		case nodeRestarts:
			p.tickets[restartedNode], p.told[restartedNode] = balance.Tickets{}, balance.ToldLoads{}
			p.trackers[restartedNode] = newTracker(p.seed, restartedNode)
		case reportsLost:
		}
	})
}

// dispatcherOf returns the node that a node takes for its dispatcher.
func (p *zoneSimulation) dispatcherOf(node int) *dispatcher {
	if p.second != nil && node%2 == 1 {
		return p.second
	}
	return p.first
}

// tellDispatcher sends a node's report.
func (p *zoneSimulation) tellDispatcher(node int, below uint64, own map[string]balance.Load) {
	at := p.now.Sub(start)
	lost := p.fault == reportsLost && at >= p.faultAt && at < p.faultAt+p.faultFor && p.random.Float64() < lostReports
	if lost || p.now.Before(p.silentUntil) {
		p.sharedAt[node] = time.Time{}
		return
	}
	d := p.dispatcherOf(node)
	p.told[node].Confirm(d.name, own)
	d.table.SetNode(p.now, strconv.Itoa(node), own)
	d.tracker.ReleaseReservations(strconv.Itoa(node), below)
	d.tracker.SetOwnZoneLoads(p.now, d.table.SumOfOthers(p.now, d.name))
}

// Promises that a dispatcher gave out are lost with it, and others may give out the same
// places. The groups must not get more than they can bear, and callers that are refused
// later must find their places again.
func TestPromisesThroughFaults(t *testing.T) {
	const lasting = 500 * time.Millisecond
	for one, lasts := range map[fault]time.Duration{
		dispatcherDies: 0, dispatcherSilent: lasting, dispatcherCut: 0, twoDispatch: lasting, reportsLost: lasting, nodeRestarts: 0,
	} {
		t.Run(string(one), func(t *testing.T) {
			load := promisedCase(3 * time.Second)
			load.promises, load.impatient = true, 0
			load.fault, load.faultAt, load.faultFor = one, 5*time.Second, lasts
			p := load.run(1)
			without := load
			without.promises = false
			t.Logf("without promises: at most %d streams in %d slots", without.run(1).mostPlaced, load.slots())
			t.Logf("%s; refused first from %s after the fault: %s; at most %d streams in %d slots", p, orderHoldsAgainIn, p.afterFault, p.mostPlaced, load.slots())
			require.LessOrEqual(t, p.mostPlaced, load.slots()*11/10, "a tenth more than the groups can bear")
			require.Positive(t, p.afterFault.promised)
			require.LessOrEqual(t, float64(p.afterFault.promisedAgain), refusedAgainAtMost*float64(p.afterFault.promised))
		})
	}
}

func (l zoneScenario) slots() int { return l.groups * zoneEngine().Slots }
