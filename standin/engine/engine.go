// Package engine is a stand-in for model engines. Each VM listens on its own
// address and executes orders. The leader of a group streams responses that
// depend only on the request, so that a client can check them.
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

// VM is the engine of one VM.
type VM struct {
	ID      string
	fleet   *Fleet
	address string

	mu             sync.Mutex
	startID        string
	fencing        uint64
	order          redwinghall.Order
	readyAt        time.Time
	running        int
	completed      uint64
	dead           bool
	missingSince   time.Time     // when it was last killed, restarted or frozen; zero again after an order or Thaw
	frozen         chan struct{} // closed by Thaw; nil while not frozen
	lifetime       context.Context
	cancelLifetime context.CancelFunc
	loads          []loadSample
	faults         StreamFaults
	streams        int
}

type loadSample struct {
	at      time.Time
	running int
}

// StreamFaults configures faults of the following streams of a VM.
type StreamFaults struct {
	// CutEvery cuts every n-th stream after CutAt chunks. 0: none.
	CutEvery int `json:"cut_every"`
	CutAt    int `json:"cut_at"`
	// StallStreams is the number of streams that stall after CutAt chunks.
	StallStreams int `json:"stall_streams"`
	// Shuffle duplicates and reorders chunks.
	Shuffle bool `json:"shuffle"`
	// Backward cuts each stream after one chunk. The attempts of a request bring its next
	// Backward chunks from the last to the first. 0: none.
	Backward int `json:"backward"`
}

// Address returns the address on which the engine listens.
func (v *VM) Address() string { return v.address }

// resetState sets the state of a newly started process.
func (v *VM) resetState() {
	v.startID = rand.Text()
	v.fencing = 0
	v.order = redwinghall.Order{}
	v.running, v.completed = 0, 0
	v.readyAt = time.Time{}
	v.loads = nil
	v.lifetime, v.cancelLifetime = context.WithCancel(context.Background())
}

// Kill simulates the death of the engine's process: it cuts all streams and
// aborts new requests without a response.
func (v *VM) Kill() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.dead = true
	v.missingSince = time.Now()
	v.cancelLifetime()
}

// Restart simulates a restart of the engine's process at the same address.
func (v *VM) Restart() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.cancelLifetime()
	v.dead = false
	v.resetState()
	v.missingSince = time.Now()
}

// Freeze suspends the engine: it sends nothing until Thaw.
func (v *VM) Freeze() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.frozen == nil {
		v.frozen = make(chan struct{})
		v.missingSince = time.Now()
	}
}

// Thaw resumes a frozen engine.
func (v *VM) Thaw() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.frozen != nil {
		close(v.frozen)
		v.frozen = nil
		v.missingSince = time.Time{}
	}
}

// SetFaults replaces the faults of the following streams.
func (v *VM) SetFaults(f StreamFaults) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.faults = f
}

// waitThawed blocks while the VM is frozen and reports whether it is alive.
func (v *VM) waitThawed(ctx context.Context) bool {
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
	mux.HandleFunc("GET /v1/report", v.handleReport)
	mux.HandleFunc("POST /v1/orders", v.handleOrder)
	mux.HandleFunc("POST /v1/chat/completions", v.handleChat)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !v.waitThawed(r.Context()) {
			panic(http.ErrAbortHandler) // a dead process sends no response
		}
		mux.ServeHTTP(w, r)
	})
}

func (v *VM) handleReport(w http.ResponseWriter, _ *http.Request) {
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

// laggedLoad returns the load as of ReportLag ago.
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

func (v *VM) recordLoad() {
	if v.fleet.config.ReportLag > 0 {
		v.loads = append(v.loads, loadSample{at: time.Now(), running: v.running})
	}
}

func (v *VM) handleOrder(w http.ResponseWriter, r *http.Request) {
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
	v.missingSince = time.Time{}
	writeJSON(w, struct{}{})
}

// missingMember reports whether any member of a group is dead, frozen, restarted
// or ordered to another group, and since when the first of them has been missing.
func (v *VM) missingMember(order redwinghall.Order) (since time.Time, any bool) {
	for _, m := range order.Members {
		other := v.fleet.VM(m.VM)
		if other == nil {
			continue // only VMs of this fleet are known here
		}
		other.mu.Lock()
		away := other.dead || other.frozen != nil || other.order.Group != order.Group
		from := other.missingSince
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
		return // the client has disconnected
	}
}

// String returns the VM's ID and address.
func (v *VM) String() string { return fmt.Sprintf("%s at %s", v.ID, v.address) }
