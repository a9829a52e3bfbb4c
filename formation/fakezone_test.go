package formation_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"redwinghall"
	"redwinghall/directory"
	"redwinghall/fleet"
	"redwinghall/platform"
)

// fakeZone simulates the endpoints of one zone in virtual time. They carry out orders
// and publish their state in entries after a lag. It also checks the invariants of
// groups.
type fakeZone struct {
	mu            sync.Mutex
	cache         *directory.Cache
	workers       map[string]*fakeEndpoint
	ready         map[string]map[string]bool // endpoints that were ever ready, by group
	violations    []string                   // violated invariants
	doubleMembers []string                   // violations in which a VM was in two groups
	joins         int                        // accepted join orders
	left          int                        // accepted leave orders
	loads         int
	reports       int   // requested reports
	leases        int64 // acquired leases
	random        *rand.Rand
	// lossRate is the share of orders that get no answer and are carried out 2 to 12 s
	// later.
	lossRate float64
	// repeatRate is the share of orders that are carried out a second time, late.
	repeatRate float64
	// stored holds the entries in the store, version is the store's newest version, and
	// followers are the nodes' copies, which lag behind.
	stored    map[string]*fleet.Endpoint
	version   int64
	followers []*follower
	// replacedBy maps ended endpoints to the one that now has their address.
	replacedBy map[string]string
	// refuseOpen makes endpoints refuse orders to open.
	refuseOpen bool
	// lag is the time from a change of an endpoint until nodes read it in its entry.
	lag time.Duration
	// history holds, by endpoint, the orders that it got and what became of them, for the
	// report of a violation.
	history map[string][]string
	// engine is what the endpoints run, and staged counts the models that were staged
	// while serving.
	engine *fleet.Engine
	staged int
	// cancelled holds the groups whose streams were cancelled by an order.
	cancelled []string
}

type fakeEndpoint struct {
	fleet.Endpoint
	dead, unresponsive bool            // the process ended; requests to it time out
	dark               bool            // its address takes no connections
	unlisted           bool            // its entry is missing, but it keeps serving
	notListening       bool            // it stopped listening and finishes its requests
	ignores            fleet.OrderKind // orders of this kind are lost
	slow               float64
	lastModel          string // model of its last group
	members            []string
	highestEpoch       int64
	entryRevision      int
	opening            bool // accepted an order to open, but isn't open yet
	orders             int64
	// reports holds what reports showed since each change.
	reports []fakeReport
}

// fakeReport is what an endpoint's reports show from a time on.
type fakeReport struct {
	from   time.Time
	member fleet.Membership
	orders int64
}

// reportLag is how old the state in a report is.
const reportLag = 200 * time.Millisecond

// noteReport records a change of what reports show.
func (w *fakeEndpoint) noteReport(now time.Time) {
	w.reports = append(w.reports, fakeReport{from: now.Add(reportLag), member: w.Member, orders: w.orders})
	for len(w.reports) > 1 && !w.reports[1].from.After(now) {
		w.reports = w.reports[1:]
	}
}

// reported returns what a report shows now.
func (w *fakeEndpoint) reported(now time.Time) fakeReport {
	var shown fakeReport
	for _, one := range w.reports {
		if !one.from.After(now) {
			shown = one
		}
	}
	return shown
}

const testService = "llm"

// entryTTL is how long an entry outlives its endpoint's last heartbeat.
const entryTTL = 3600 * time.Millisecond

func defaultEngine() *fleet.Engine {
	return &fleet.Engine{
		Slots: 26, Stride: 6, LoadsPerSecond: 5.5, LoadsAtOnce: 8, FormationTime: 300 * time.Millisecond,
		Models: []fleet.Model{
			{Name: "large", Size: 6, Share: 0.67, TimeFactor: 1, Load: 16 * time.Second, Warm: 1600 * time.Millisecond},
			{Name: "small", Size: 3, Share: 0.33, TimeFactor: 0.6, Load: 12 * time.Second, Warm: 1100 * time.Millisecond},
		},
	}
}

func newFakeZone(seed uint64, domains, size int) *fakeZone {
	return newFakeZoneWith(defaultEngine(), seed, domains, size)
}

// loadCount returns how many loads from the weight store have begun.
func (f *fakeZone) loadCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.loads
}

// intN returns a random number below n from the zone's generator.
func (f *fakeZone) intN(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.IntN(n)
}

// newFakeZoneWith returns a fake zone whose endpoints run the given engine.
func newFakeZoneWith(engine *fleet.Engine, seed uint64, domains, size int) *fakeZone {
	f := &fakeZone{
		engine: engine,
		cache:  directory.NewCache(), workers: map[string]*fakeEndpoint{}, ready: map[string]map[string]bool{}, replacedBy: map[string]string{},
		random: rand.New(rand.NewPCG(seed, 1)), lag: 150 * time.Millisecond,
		stored: map[string]*fleet.Endpoint{}, history: map[string][]string{},
	}
	f.followers = []*follower{{cache: f.cache}}
	f.cache.Apply(time.Now(), directory.Change{Config: &fleet.Configuration{
		Version: 1, Services: map[string]fleet.Service{testService: {Name: testService, Engine: engine}},
	}})
	for d := range domains {
		for i := range size {
			f.add(fmt.Sprintf("d%d-%02d", d, i), fmt.Sprintf("d%d", d))
		}
	}
	return f
}

func (f *fakeZone) add(id, domain string) {
	w := &fakeEndpoint{Endpoint: fleet.Endpoint{
		ID: id, Service: testService, Address: id + ":80", Zone: "z", State: fleet.EndpointReady, Domain: domain, StartedMillis: 1,
	}}
	f.workers[id] = w
	time.AfterFunc(f.lag, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.publishEntry(w)
	})
}

// publishEntry writes an endpoint's present state to its entry, visible after the lag.
func (f *fakeZone) publishEntry(w *fakeEndpoint) {
	w.entryRevision++
	entry := w.Endpoint
	entry.Revision = int64(w.entryRevision)
	entry.Staged = append([]string(nil), w.Staged...)
	entry.Models = append([]string(nil), w.Models...)
	if w.Member != w.reported(time.Now().Add(reportLag)).member {
		w.noteReport(time.Now())
	}
	if w.unlisted || w.unresponsive || w.dead {
		return
	}
	f.stored[w.ID] = &entry
	f.write(directory.Change{Endpoint: &entry})
}

// write changes the store. All followers receive the changes in order.
func (f *fakeZone) write(changes ...directory.Change) {
	f.version++
	version := f.version
	for _, c := range f.followers {
		if due := time.Now().Add(f.lag + c.extraLag); due.After(c.due) {
			c.due = due
		}
		time.AfterFunc(time.Until(c.due), func() {
			c.cache.Apply(time.Now(), changes...)
			c.cache.NoteRead(fleet.Position{Version: version})
		})
	}
}

// follower is a node's copy of the entries, which lags behind the store.
type follower struct {
	cache *directory.Cache
	due   time.Time // when the last change in flight arrives
	// extraLag is the delay in addition to that of a lease holder's copy.
	extraLag time.Duration
}

// follow returns a follower that starts with the present entries.
func (f *fakeZone) follow(behind time.Duration) *follower {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	c := &follower{cache: directory.NewCache(), extraLag: behind}
	c.cache.Apply(now, directory.Change{Config: f.cache.View().Config()})
	for _, e := range f.stored {
		c.cache.Apply(now, directory.Change{Endpoint: e})
	}
	c.cache.NoteRead(fleet.Position{Version: f.version})
	f.followers = append(f.followers, c)
	return c
}

// removeEntry deletes an endpoint's entry after a delay, as the store does after three
// missed heartbeats.
func (f *fakeZone) removeEntry(id string, after time.Duration) {
	time.AfterFunc(after, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.stored, id)
		f.write(directory.Change{Gone: id})
	})
}

// isolate partitions an endpoint from every client and node for a while. It keeps
// serving, and its entry expires if the partition lasts long enough.
func (f *fakeZone) isolate(id string, lasts time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[id]
	w.unresponsive = true
	if lasts > entryTTL {
		f.removeEntry(id, entryTTL)
	}
	time.AfterFunc(lasts, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if !w.dead {
			w.unresponsive = false
			f.publishEntry(w)
		}
	})
}

// kill ends an endpoint's process. Requests to its address time out if unresponsive is
// set, else connections are refused.
func (f *fakeZone) kill(id string, unresponsive bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id].dead, f.workers[id].unresponsive, f.workers[id].notListening = true, unresponsive, false
	f.removeEntry(id, entryTTL)
}

// cutFromStore partitions an endpoint from the store only: its entry expires while it
// keeps serving.
func (f *fakeZone) cutFromStore(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id].unlisted = true
	f.removeEntry(id, 3600*time.Millisecond)
}

// stopListening makes an endpoint leave during a store outage: it stops listening and
// finishes its requests, and its entry stays unchanged.
func (f *fakeZone) stopListening(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id].notListening = true
}

var errUnreachable = errors.New("endpoint unreachable")

func (f *fakeZone) reach(e *fleet.Endpoint) (*fakeEndpoint, error) {
	id := e.ID
	if next, ok := f.replacedBy[id]; ok {
		id = next
	}
	w, ok := f.workers[id]
	switch {
	case !ok || w.notListening || (w.dead && !w.unresponsive):
		return nil, redwinghall.NewOpError("fakeZone.reach", platform.Absent, errUnreachable)
	case w.dark:
		return nil, redwinghall.NewOpError("fakeZone.reach", platform.NotReached, errUnreachable)
	case w.unresponsive:
		return nil, redwinghall.NewOpError("fakeZone.reach", platform.NoAnswer, errUnreachable)
	}
	return w, nil
}

// replace ends an endpoint. Its address times out, and 5 s later another endpoint starts
// at that address.
func (f *fakeZone) replace(id, by string) {
	f.kill(id, true)
	time.AfterFunc(5*time.Second, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		old := f.workers[id]
		f.add(by, old.Domain)
		f.workers[by].Address = old.Address
		f.workers[by].Staged = old.Staged
		f.replacedBy[id] = by
	})
}

// restart restarts an endpoint's process under its id, without its previous state. Its
// entry stays unchanged for now.
func (f *fakeZone) restart(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[id]
	for _, ready := range f.ready {
		delete(ready, id)
	}
	w.StartedMillis++
	w.Member, w.members, w.Models, w.lastModel, w.opening = fleet.Membership{}, nil, nil, "", false
	w.highestEpoch = 0
	w.orders, w.reports = 0, nil
}

// epochs returns the epoch of each endpoint's membership.
func (f *fakeZone) epochs() []int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	var epochs []int64
	for _, w := range f.workers {
		epochs = append(epochs, w.Member.Epoch)
	}
	return epochs
}

// reportCount returns how many reports were asked for.
func (f *fakeZone) reportCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reports
}

// Report implements fleet.Orderer.
func (f *fakeZone) Report(_ context.Context, e *fleet.Endpoint) (fleet.Report, error) {
	time.Sleep(2 * time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reports++
	w, err := f.reach(e)
	if err != nil {
		return fleet.Report{}, err
	}
	shown := w.reported(time.Now())
	return fleet.Report{
		Member: shown.member, Orders: shown.orders, Models: w.Models, Staged: w.Staged, TimeFactor: max(1, w.slow), StartedMillis: w.StartedMillis,
	}, nil
}

// Healthy implements fleet.Orderer.
func (f *fakeZone) Healthy(_ context.Context, e *fleet.Endpoint, _ string) (bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w, err := f.reach(e)
	if err != nil {
		return false, err
	}
	return w.State == fleet.EndpointReady, nil
}

// servingHeads returns the heads of the open groups of a model whose members are all
// alive.
func (f *fakeZone) servingHeads(model string) []*fakeEndpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	var heads []*fakeEndpoint
	for _, w := range f.workers {
		if w.dead || w.Member.State != fleet.Open || len(w.Models) == 0 || w.Models[0] != model {
			continue
		}
		alive := true
		for _, id := range w.members {
			m := f.workers[id]
			alive = alive && !m.dead && m.Member.Group == w.Member.Group
		}
		if alive {
			heads = append(heads, w)
		}
	}
	return heads
}

// drain makes an endpoint announce that it is leaving.
func (f *fakeZone) drain(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id].State = fleet.EndpointDraining
	f.publishEntry(f.workers[id])
}
