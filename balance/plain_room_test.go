package balance_test

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall"
	"redwinghall/admission"
	"redwinghall/balance"
	"redwinghall/fleet"
)

// plainWorker answers as many requests at a time as it has slots; the others wait.
type plainWorker struct {
	busy    int
	waiting []func()
}

// The plain service of the play: its workers, their slots, and the mean time of an answer
// beyond a small minimum.
const (
	plainWorkers = 7
	plainSlots   = 6
	plainMean    = 60 * time.Millisecond
	plainMinimum = 20 * time.Millisecond
)

// plainSimulation plays a load on a plain service in virtual time. Each node chooses.
type plainSimulation struct {
	eventQueue
	random      *rand.Rand
	nodes, open int
	workers     []plainWorker
	endpoints   []*fleet.Endpoint
	trackers    []*balance.Tracker
	rooms       []*admission.Room
	burst, calm map[string]*fate
}

// How long callers ask, and when the burst is.
const (
	plainLength     = 15 * time.Second
	plainBurstFrom  = 3 * time.Second
	plainBurstUntil = 11 * time.Second
)

func runPlain(nodes int, all []askers, seed uint64, off bool) *plainSimulation {
	p := &plainSimulation{
		eventQueue: eventQueue{now: start}, random: rand.New(rand.NewPCG(seed, 13)), nodes: nodes, workers: make([]plainWorker, plainWorkers),
		burst: map[string]*fate{}, calm: map[string]*fate{},
	}
	for i := range plainWorkers {
		p.endpoints = append(p.endpoints, &fleet.Endpoint{ID: strconv.Itoa(i), Service: "desk", Zone: "a", State: fleet.EndpointReady, Slots: plainSlots})
	}
	for i := range nodes {
		room, tracker := admission.NewRoom(), newTracker(seed, i)
		if !off {
			tracker.Admission = func(string) redwinghall.Admission { return room }
		}
		p.trackers, p.rooms = append(p.trackers, tracker), append(p.rooms, room)
	}
	p.after(0, p.share)
	p.after(0, p.shareUses)
	for _, a := range all {
		p.burst[a.name], p.calm[a.name] = &fate{}, &fate{}
		p.after(0, func() { p.arrive(a) })
	}
	for p.open > 0 || p.now.Before(start.Add(plainLength)) {
		p.runUntil(p.now.Add(10 * time.Millisecond))
		p.now = p.now.Add(10 * time.Millisecond)
	}
	return p
}

// plainUsesInterval is how often a node learns the counts of the others.
const plainUsesInterval = 500 * time.Millisecond

// shareUses gives each node the counts that node 0 collects.
func (p *plainSimulation) shareUses() {
	p.after(plainUsesInterval, p.shareUses)
	for i := 1; i < p.nodes; i++ {
		p.rooms[0].SetReport(p.now, strconv.Itoa(i), false, p.rooms[i].OwnUses(p.now, 24))
	}
	for i := 1; i < p.nodes; i++ {
		p.rooms[i].SetReport(p.now, "0", false, p.rooms[0].PlainUsesExcept(p.now, strconv.Itoa(i), 8))
	}
}

// share gives each node the loads of the others.
func (p *plainSimulation) share() {
	p.after(shareIntervalFor(0), p.share)
	all := map[string]balance.Load{}
	for _, t := range p.trackers {
		for id, load := range t.OwnLoads(p.now) {
			all[id] = all[id].With(load)
		}
	}
	for _, t := range p.trackers {
		others := map[string]balance.Load{}
		own := t.OwnLoads(p.now)
		for id, load := range all {
			others[id] = balance.Load{Requests: load.Requests - own[id].Requests}
		}
		t.SetOwnZoneLoads(p.now, others)
	}
}

func (p *plainSimulation) arrive(a askers) {
	at := p.now.Sub(start)
	if at > plainLength {
		return
	}
	rate, count := a.perSecond, p.calm[a.name]
	if at >= plainBurstFrom && at < plainBurstUntil {
		rate, count = rate*max(1, a.times), p.burst[a.name]
	}
	p.after(time.Duration(p.random.ExpFloat64()/rate*float64(time.Second)), func() { p.arrive(a) })
	count.requests++
	request := balance.Request{
		Service: fleet.Service{Name: "desk"}, Zone: "a", Objective: a.objective, Nodes: p.nodes, ZoneNodes: p.nodes, Node: "n", Urgency: a.urgency, Account: a.account,
	}
	choice, refusal := p.trackers[p.random.IntN(p.nodes)].ChoosePlain(p.now, p.endpoints, nil, request)
	if refusal != nil {
		count.refused++
		return
	}
	p.send(a, count, choice)
}

func (p *plainSimulation) send(a askers, count *fate, choice balance.Choice) {
	which, _ := strconv.Atoi(choice.Endpoint.ID)
	w, arrived := &p.workers[which], p.now
	p.open++
	begin := func() {
		w.busy++
		p.after(plainMinimum+time.Duration(p.random.ExpFloat64()*float64(plainMean-plainMinimum)), func() {
			w.busy--
			p.open--
			choice.Attempt.Done(p.now, true)
			if p.now.Sub(arrived) <= a.objective {
				count.inTime++
			} else {
				count.late++
			}
			if len(w.waiting) > 0 {
				next := w.waiting[0]
				w.waiting = w.waiting[1:]
				next()
			}
		})
	}
	if w.busy < plainSlots {
		begin()
		return
	}
	w.waiting = append(w.waiting, begin)
}

// The least urgent kind of a plain service comes six times as often for 8 s and has the
// widest objective.
func TestPlainServiceLeavesRoomForUrgentRequests(t *testing.T) {
	all := []askers{
		{name: "urgent", account: "x", objective: 300 * time.Millisecond, perSecond: 250},
		{name: "later", account: "y", urgency: 2, objective: 800 * time.Millisecond, perSecond: 180, times: 6},
	}
	for _, nodes := range []int{3, 36, 300} {
		t.Run(strconv.Itoa(nodes)+"_nodes", func(t *testing.T) {
			for seed := range playedSeeds {
				t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
					on, off := runPlain(nodes, all, seed, false), runPlain(nodes, all, seed, true)
					for _, name := range []string{"urgent", "later"} {
						t.Logf("%s: %s; without admission %s", name, on.burst[name], off.burst[name])
					}
					require.Zero(t, on.burst["urgent"].refused)
					require.LessOrEqual(t, on.burst["urgent"].refusedShare(), on.burst["later"].refusedShare()+orderSlack)
				})
			}
		})
	}
}

// One of two accounts of a plain service sends ten times its share for 8 s.
func TestPlainServiceServesAccountWithinItsShare(t *testing.T) {
	all := []askers{
		{name: "steady", account: "x", objective: 300 * time.Millisecond, perSecond: 200},
		{name: "burst", account: "y", objective: 300 * time.Millisecond, perSecond: 200, times: 10},
	}
	for _, nodes := range []int{3, 36, 300} {
		t.Run(strconv.Itoa(nodes)+"_nodes", func(t *testing.T) {
			for seed := range playedSeeds {
				t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
					on, off := runPlain(nodes, all, seed, false), runPlain(nodes, all, seed, true)
					for _, name := range []string{"steady", "burst"} {
						t.Logf("%s: %s; without admission %s", name, on.burst[name], off.burst[name])
					}
					require.GreaterOrEqual(t, on.burst["steady"].inTimeShare(), ofCalm*on.calm["steady"].inTimeShare())
				})
			}
		})
	}
}

// A worker with free slots starts a request at once, and leaves the urgent ones in time.
func TestIdleSlotOfPlainServiceIsNeverRefused(t *testing.T) {
	for running := range plainSlots - 1 {
		room, tracker := admission.NewRoom(), balance.NewTracker()
		tracker.Admission = func(string) redwinghall.Admission { return room }
		urgent := redwinghall.RoomRequest{Service: "desk", Account: "x", Objective: 300 * time.Millisecond, Work: 10 * time.Millisecond, Groups: 1, Deciders: 1}
		for i := range 400 {
			room.Record(start.Add(time.Duration(i)*10*time.Millisecond), urgent, i%20 != 0)
		}
		now := start.Add(4 * time.Second)
		tracker.SetOwnZoneLoads(now, map[string]balance.Load{"w": {Requests: running}})
		worker := &fleet.Endpoint{ID: "w", Service: "desk", Zone: "a", State: fleet.EndpointReady, Slots: plainSlots}
		later := balance.Request{
			Service: fleet.Service{Name: "desk"}, Zone: "a", Objective: 800 * time.Millisecond, Nodes: 1, ZoneNodes: 1, Node: "n", Urgency: 2, Account: "y",
		}
		_, refusal := tracker.ChoosePlain(now, []*fleet.Endpoint{worker}, nil, later)
		require.Nil(t, refusal, "%d of %d slots taken", running, plainSlots)
	}
}
