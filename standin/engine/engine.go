// Package engine is a stand-in for model engines: each VM has an address of
// its own, obeys orders, and as the leader of a group streams answers that
// follow from the request alone, so that any two can be compared.
package engine

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"redwinghall"
)

// VM is one engine.
type VM struct {
	ID      string
	fleet   *Fleet
	address string

	mu          sync.Mutex
	startID     string
	fencing     uint64
	order       redwinghall.Order
	readyAt     time.Time
	running     int
	completed   uint64
	dead        bool
	missingFrom time.Time
	frozen      chan struct{} // closed when thawed; nil while not frozen
	lifetime    context.Context
	die         context.CancelFunc
	loads       []loadSample
	faults      StreamFaults
	streams     int
}

type loadSample struct {
	at      time.Time
	running int
}

// StreamFaults makes coming streams of a VM misbehave.
type StreamFaults struct {
	// CutEvery ends every so many-th stream after CutAt chunks. 0: none.
	CutEvery int `json:"cut_every"`
	CutAt    int `json:"cut_at"`
	// StallStreams makes that many coming streams silent after CutAt chunks.
	StallStreams int `json:"stall_streams"`
	// Shuffle doubles and reorders chunks.
	Shuffle bool `json:"shuffle"`
}

// Address returns where the engine listens.
func (v *VM) Address() string { return v.address }

// reset is a new process start: everything is forgotten.
func (v *VM) reset() {
	v.startID = rand.Text()
	v.fencing = 0
	v.order = redwinghall.Order{}
	v.running, v.completed = 0, 0
	v.readyAt = time.Time{}
	v.loads = nil
	v.lifetime, v.die = context.WithCancel(context.Background())
}

// Kill ends the engine's process: streams are cut and calls are refused.
func (v *VM) Kill() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.dead = true
	v.missingFrom = time.Now()
	v.die()
}

// Restart starts the engine's process anew under the same address.
func (v *VM) Restart() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.die()
	v.dead = false
	v.reset()
	v.missingFrom = time.Now()
}

// Freeze stops every answer until Thaw.
func (v *VM) Freeze() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.frozen == nil {
		v.frozen = make(chan struct{})
		v.missingFrom = time.Now()
	}
}

// Thaw ends a freeze.
func (v *VM) Thaw() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.frozen != nil {
		close(v.frozen)
		v.frozen = nil
		v.missingFrom = time.Time{}
	}
}

// SetFaults replaces the faults of coming streams.
func (v *VM) SetFaults(f StreamFaults) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.faults = f
}

// wait holds a call while the VM is frozen, and reports whether it is alive.
func (v *VM) wait(ctx context.Context) bool {
	for {
		v.mu.Lock()
		frozen, dead := v.frozen, v.dead
		v.mu.Unlock()
		if frozen == nil || dead {
			return !dead
		}
		select {
		case <-ctx.Done():
			return false
		case <-frozen:
		}
	}
}

func (v *VM) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/report", v.report)
	mux.HandleFunc("POST /v1/orders", v.obey)
	mux.HandleFunc("POST /v1/chat/completions", v.chat)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !v.wait(r.Context()) {
			panic(http.ErrAbortHandler) // a dead process has no answer
		}
		mux.ServeHTTP(w, r)
	})
}

func (v *VM) report(w http.ResponseWriter, _ *http.Request) {
	v.mu.Lock()
	now := time.Now()
	out := redwinghall.Report{
		StartID: v.startID, Group: v.order.Group, Generation: v.order.Generation,
		Model: v.order.Model, Version: v.order.Version,
		Ready:   v.order.Group != "" && !now.Before(v.readyAt),
		Running: v.laggedLoad(now), Completed: v.completed,
	}
	v.mu.Unlock()
	writeJSON(w, out)
}

// laggedLoad returns the load as it was ReportLag ago.
func (v *VM) laggedLoad(now time.Time) int {
	if v.fleet.config.ReportLag == 0 {
		return v.running
	}
	at := now.Add(-v.fleet.config.ReportLag.Std())
	load := 0
	keep := 0
	for i, s := range v.loads {
		if !s.at.After(at) {
			load, keep = s.running, i
		}
	}
	v.loads = v.loads[keep:]
	return load
}

func (v *VM) noteLoad() {
	if v.fleet.config.ReportLag > 0 {
		v.loads = append(v.loads, loadSample{at: time.Now(), running: v.running})
	}
}

func (v *VM) obey(w http.ResponseWriter, r *http.Request) {
	var order redwinghall.Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if order.Fencing < v.fencing && !v.fleet.config.IgnoreFencing {
		v.fleet.count(func(r *Record) { r.StaleOrders++ })
		http.Error(w, "stale order", http.StatusConflict)
		return
	}
	v.fleet.count(func(r *Record) { r.Orders++ })
	v.fencing = max(v.fencing, order.Fencing)
	sameWeights := order.Model == v.order.Model && order.Version == v.order.Version && !v.readyAt.IsZero()
	if !sameWeights && order.Role != redwinghall.RoleIdle {
		v.readyAt = time.Now().Add(v.fleet.config.LoadTime.Std())
	}
	v.order = order
	v.missingFrom = time.Time{}
	writeJSON(w, struct{}{})
}

// missing returns since when a member of the leader's group has not been
// there for it: dead, frozen, restarted or ordered elsewhere.
func (v *VM) missing(order redwinghall.Order) (since time.Time, any bool) {
	for _, m := range order.Members {
		other := v.fleet.VM(m.VM)
		if other == nil {
			continue // the record covers only the engines of this fleet
		}
		other.mu.Lock()
		away := other.dead || other.frozen != nil || other.order.Group != order.Group
		from := other.missingFrom
		other.mu.Unlock()
		if away && (!any || from.Before(since)) {
			since, any = from, true
		}
	}
	return since, any
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(v); err != nil {
		return // the client is gone
	}
}

// String names the VM and where it listens.
func (v *VM) String() string { return fmt.Sprintf("%s at %s", v.ID, v.address) }
