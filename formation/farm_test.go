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

// farm stands in for the endpoints of one zone, in virtual time. They carry out
// orders, show their state in their entries with a lag, and watch over what
// must hold of groups.
type farm struct {
	mu      sync.Mutex
	book    *directory.Cache
	workers map[string]*farmWorker
	ready   map[string]map[string]bool // workers that were ever ready, by group
	broken  []string                   // what must not happen and did
	two     []string                   // of that, VMs in two groups
	joins   int                        // that were taken
	left    int                        // orders to leave that were taken
	loads   int
	reports int   // that were asked for
	leases  int64 // that were taken
	random  *rand.Rand
	// lose is the share of orders that get no answer and are carried out late.
	lose float64
	// twice is the share of orders that are carried out once more, late.
	twice float64
	// stored are the entries in the store, version the store's newest, and
	// copies those that nodes have, which lag behind.
	stored  map[string]*fleet.Endpoint
	version int64
	copies  []*follower
	// taken holds ended workers whose address another one has now.
	taken map[string]string
	// closed refuses orders to open.
	closed bool
	// lag is how long a change takes to show in an entry.
	lag time.Duration
	// engine is what the workers run, staged counts the models that they took in
	// while they served.
	engine *fleet.Engine
	staged int
}

type farmWorker struct {
	fleet.Endpoint
	dead, dark bool            // ended; silent
	unlisted   bool            // its entry is missing, it works on
	deaf       bool            // it stopped listening and finishes its work
	ignores    fleet.OrderKind // orders of this kind never arrive
	slow       float64
	last       string // model of its last group
	members    []string
	highest    int64
	gen        int
	opening    bool // was told to open, and doesn't show it yet
}

const farmService = "llm"

// lapse is how long an entry outlives its endpoint's last word.
const lapse = 3600 * time.Millisecond

func farmEngine() *fleet.Engine {
	return &fleet.Engine{
		Slots: 26, Stride: 6, LoadsPerSecond: 5.5, LoadsAtOnce: 8, FormationTime: 300 * time.Millisecond,
		Models: []fleet.Model{
			{Name: "large", Size: 6, Share: 0.67, TimeFactor: 1, Load: 16 * time.Second, Warm: 1600 * time.Millisecond},
			{Name: "small", Size: 3, Share: 0.33, TimeFactor: 0.6, Load: 12 * time.Second, Warm: 1100 * time.Millisecond},
		},
	}
}

func newFarm(seed uint64, domains, size int) *farm {
	return newFarmOf(farmEngine(), seed, domains, size)
}

// newFarmOf returns a farm whose workers run an engine.
func newFarmOf(engine *fleet.Engine, seed uint64, domains, size int) *farm {
	f := &farm{
		engine: engine,
		book:   directory.NewCache(), workers: map[string]*farmWorker{}, ready: map[string]map[string]bool{}, taken: map[string]string{},
		random: rand.New(rand.NewPCG(seed, 1)), lag: 150 * time.Millisecond,
		stored: map[string]*fleet.Endpoint{},
	}
	f.copies = []*follower{{book: f.book}}
	f.book.Apply(time.Now(), directory.Change{Config: &fleet.Configuration{
		Version: 1, Services: map[string]fleet.Service{farmService: {Name: farmService, Engine: engine}},
	}})
	for d := range domains {
		for i := range size {
			f.add(fmt.Sprintf("d%d-%02d", d, i), fmt.Sprintf("d%d", d))
		}
	}
	return f
}

func (f *farm) add(id, domain string) {
	w := &farmWorker{Endpoint: fleet.Endpoint{
		ID: id, Service: farmService, Address: id + ":80", Zone: "z", State: fleet.EndpointReady, Domain: domain, StartedMillis: 1,
	}}
	f.workers[id] = w
	time.AfterFunc(f.lag, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.show(w)
	})
}

// show writes a worker's entry as it is now, after the lag.
func (f *farm) show(w *farmWorker) {
	w.gen++
	entry := w.Endpoint
	entry.Revision = int64(w.gen)
	entry.Staged = append([]string(nil), w.Staged...)
	entry.Models = append([]string(nil), w.Models...)
	if w.unlisted || w.dark || w.dead {
		return
	}
	f.stored[w.ID] = &entry
	f.write(directory.Change{Endpoint: &entry})
}

// write changes the store. All copies hear of it, in order.
func (f *farm) write(changes ...directory.Change) {
	f.version++
	version := f.version
	for _, c := range f.copies {
		if due := time.Now().Add(f.lag + c.behind); due.After(c.due) {
			c.due = due
		}
		time.AfterFunc(time.Until(c.due), func() {
			c.book.Apply(time.Now(), changes...)
			c.book.NoteRead(fleet.Position{Version: version})
		})
	}
}

// follower is a holder's copy of the entries, which lags behind.
type follower struct {
	book *directory.Cache
	due  time.Time // of the last change that is on its way
	// behind is how much later than a holder the node reads.
	behind time.Duration
}

// follow returns a copy of the entries as they are now, that follows them.
func (f *farm) follow(behind time.Duration) *follower {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	c := &follower{book: directory.NewCache(), behind: behind}
	c.book.Apply(now, directory.Change{Config: f.book.View().Config()})
	for _, e := range f.stored {
		c.book.Apply(now, directory.Change{Endpoint: e})
	}
	c.book.NoteRead(fleet.Position{Version: f.version})
	f.copies = append(f.copies, c)
	return c
}

// hide takes a worker's entry away, as the store does after three heartbeats.
func (f *farm) hide(id string, after time.Duration) {
	time.AfterFunc(after, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.stored, id)
		f.write(directory.Change{Gone: id})
	})
}

// silence cuts a worker off from everybody for a while. It serves on, and its
// entry lapses if that lasts.
func (f *farm) silence(id string, lasts time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[id]
	w.dark = true
	if lasts > lapse {
		f.hide(id, lapse)
	}
	time.AfterFunc(lasts, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if !w.dead {
			w.dark = false
			f.show(w)
		}
	})
}

// kill ends a worker: its address refuses connections, or is silent if dark.
func (f *farm) kill(id string, dark bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id].dead, f.workers[id].dark, f.workers[id].deaf = true, dark, false
	f.hide(id, lapse)
}

// cutFromStore lets a worker's entry lapse while it works on.
func (f *farm) cutFromStore(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id].unlisted = true
	f.hide(id, 3600*time.Millisecond)
}

// deafen lets a worker leave while the store is away: it stops listening, its
// entry stays as it was, and it works on what it has.
func (f *farm) deafen(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id].deaf = true
}

var errFarm = errors.New("farm")

func (f *farm) reach(e *fleet.Endpoint) (*farmWorker, error) {
	id := e.ID
	if next, ok := f.taken[id]; ok {
		id = next
	}
	w, ok := f.workers[id]
	switch {
	case !ok || w.deaf || (w.dead && !w.dark):
		return nil, redwinghall.NewOpError("farm.reach", platform.Absent, errFarm)
	case w.dark:
		return nil, redwinghall.NewOpError("farm.reach", platform.NoAnswer, errFarm)
	}
	return w, nil
}

// Order implements fleet.Orderer.
func (f *farm) Order(_ context.Context, e *fleet.Endpoint, o fleet.Order) (fleet.Outcome, error) {
	time.Sleep(3 * time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	w, err := f.reach(e)
	switch {
	case redwinghall.KindOf[platform.Kind](err) == platform.NoAnswer:
		return fleet.Unanswered, err
	case err != nil:
		return fleet.Refused, err
	case o.Kind == w.ignores:
		return fleet.Unanswered, redwinghall.NewOpError("farm.Order", platform.NoAnswer, errFarm)
	}
	if f.random.Float64() < f.lose {
		f.carryOutLate(w, o)
		return fleet.Unanswered, redwinghall.NewOpError("farm.Order", platform.NoAnswer, errFarm)
	}
	if f.twice > 0 && f.random.Float64() < f.twice {
		f.carryOutLate(w, o)
	}
	if o.Kind == fleet.OrderJoin && w.Member.Group == o.Group && w.Member.Epoch == o.Epoch {
		return fleet.Done, nil
	}
	if f.carryOut(w, o) {
		if o.Kind == fleet.OrderOpen {
			return fleet.Done, nil
		}
		return fleet.Begun, nil
	}
	return fleet.Refused, redwinghall.NewOpError("farm.Order", platform.NoAnswer, errFarm)
}

// carryOutLate lets a worker's process carry an order out 2 to 12 s later.
func (f *farm) carryOutLate(w *farmWorker, o fleet.Order) {
	late, born := 2*time.Second+time.Duration(f.random.Float64()*10*float64(time.Second)), w.StartedMillis
	time.AfterFunc(late, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if !w.dead && w.StartedMillis == born {
			f.carryOut(w, o)
		}
	})
}

func (f *farm) carryOut(w *farmWorker, o fleet.Order) bool {
	switch o.Kind {
	case fleet.OrderJoin:
		return f.join(w, o)
	case fleet.OrderStage:
		return f.stage(w, o)
	}
	if w.Member.Group != o.Group || w.Member.Epoch != o.Epoch {
		return false
	}
	done := false
	switch o.Kind {
	case fleet.OrderOpen:
		done = f.open(w)
	case fleet.OrderClose:
		done = w.Member.State == fleet.Open || w.Member.State == fleet.Closing || w.opening
		w.opening = false
		if done {
			w.Member.State = fleet.Ready
		}
	case fleet.OrderLeave:
		w.Member, w.members, w.opening, done = fleet.Membership{}, nil, false, true
		f.left++
	case fleet.OrderJoin, fleet.OrderStage:
	}
	if done {
		f.show(w)
	}
	return done
}

func (f *farm) open(w *farmWorker) bool {
	if f.closed || w.Member.Rank != 0 || w.Member.State != fleet.Ready {
		return false
	}
	f.checkWhole(w)
	w.opening = true
	group := w.Member.Group
	time.AfterFunc(f.engine.FormationTime, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if w.opening && w.Member.Group == group && !w.dead {
			w.Member.State, w.opening = fleet.Open, false
			f.show(w)
		}
	})
	return true
}

// replace lets a worker fall silent for good; later another one starts at its
// address.
func (f *farm) replace(id, by string) {
	f.kill(id, true)
	time.AfterFunc(5*time.Second, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		old := f.workers[id]
		f.add(by, old.Domain)
		f.workers[by].Address = old.Address
		f.workers[by].Staged = old.Staged
		f.taken[id] = by
	})
}

// restart begins a worker's next life under its id, which knows nothing of the
// last one. Its entry stays as it was for now.
func (f *farm) restart(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[id]
	for _, ready := range f.ready {
		delete(ready, id)
	}
	w.StartedMillis++
	w.Member, w.members, w.Models, w.last, w.opening = fleet.Membership{}, nil, nil, "", false
	w.highest = 0
}

func (f *farm) join(w *farmWorker, o fleet.Order) bool {
	if o.Epoch < w.highest {
		return false
	}
	if w.Member.Group == o.Group && w.Member.Epoch == o.Epoch {
		return true // it holds already
	}
	f.checkLeaving(w, o)
	f.joins++
	w.highest = o.Epoch
	model, _ := f.engine.Model(o.Model)
	took := model.Load
	switch {
	case w.last == o.Model:
		took = 200 * time.Millisecond
	case w.HasStaged(o.Model):
		took = model.Warm
	default:
		f.loads++
	}
	w.Member, w.opening = fleet.Membership{Group: o.Group, Epoch: o.Epoch, State: fleet.Joining}, false
	for rank, id := range o.Members {
		if id == w.ID {
			w.Member.Rank = rank
		}
	}
	w.members, w.last = o.Members, o.Model
	w.Models = nil
	f.show(w)
	time.AfterFunc(took, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if w.Member.Group == o.Group && w.Member.State == fleet.Joining && !w.dead {
			w.Member.State = fleet.Ready
			f.noteReady(o.Group, w.ID)
			w.Models, w.Staged = []string{o.Model}, []string{o.Model}
			f.show(w)
		}
	})
	return true
}

// stage lets a worker take a model into its host's memory while it serves.
func (f *farm) stage(w *farmWorker, o fleet.Order) bool {
	model, known := f.engine.Model(o.Model)
	if !known || o.Group != "" || o.Epoch != 0 {
		return false
	}
	f.staged++
	born := w.StartedMillis
	time.AfterFunc(model.Load, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if !w.dead && w.StartedMillis == born {
			w.Staged = []string{o.Model}
			f.show(w)
		}
	})
	return true
}

func (f *farm) noteReady(group, id string) {
	if f.ready[group] == nil {
		f.ready[group] = map[string]bool{}
	}
	f.ready[group][id] = true
}

// checkWhole notes a group that opens with a member that was never ready in
// it. One that was ready and left since may be lost to a late order.
func (f *farm) checkWhole(head *farmWorker) {
	for _, id := range head.members {
		if !f.ready[head.Member.Group][id] {
			f.broken = append(f.broken, fmt.Sprintf("%s opened while %s was never ready", head.Member.Group, id))
		}
	}
}

// checkLeaving notes a member that joins another group while its head is open.
func (f *farm) checkLeaving(w *farmWorker, o fleet.Order) {
	if w.Member.Group == "" || w.Member.Group == o.Group || len(w.members) < 2 {
		return
	}
	head := f.workers[w.members[0]]
	if head != nil && !head.dead && head.Member.Group == w.Member.Group && (head.Member.State == fleet.Open || head.opening) {
		broke := fmt.Sprintf("%s joined %s while %s was open", w.ID, o.Group, w.Member.Group)
		f.broken, f.two = append(f.broken, broke), append(f.two, broke)
	}
}

// Report implements fleet.Orderer.
func (f *farm) Report(_ context.Context, e *fleet.Endpoint) (fleet.Report, error) {
	time.Sleep(2 * time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reports++
	w, err := f.reach(e)
	if err != nil {
		return fleet.Report{}, err
	}
	return fleet.Report{Member: w.Member, Models: w.Models, Staged: w.Staged, TimeFactor: max(1, w.slow), StartedMillis: w.StartedMillis}, nil
}

// Healthy implements fleet.Orderer.
func (f *farm) Healthy(_ context.Context, e *fleet.Endpoint, _ string) (bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w, err := f.reach(e)
	if err != nil {
		return false, err
	}
	return w.State == fleet.EndpointReady, nil
}

// whole returns the open groups of a model whose members all live.
func (f *farm) whole(model string) []*farmWorker {
	f.mu.Lock()
	defer f.mu.Unlock()
	var heads []*farmWorker
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

// drain lets a worker say that it leaves.
func (f *farm) drain(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id].State = fleet.EndpointDraining
	f.show(f.workers[id])
}
