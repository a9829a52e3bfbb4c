package engine

import (
	"maps"
	"net"
	"net/http"
	"sync"
	"time"

	"redwinghall"
	"redwinghall/kernel"
)

// Config configures the engines of a fleet.
type Config struct {
	// FirstToken is the time to first token, TokenDelay the time between
	// tokens.
	FirstToken redwinghall.Duration `json:"first_token"`
	TokenDelay redwinghall.Duration `json:"token_delay"`
	// LoadTime is how long a VM takes to load a model.
	LoadTime redwinghall.Duration `json:"load_time"`
	// IgnoreFencing makes the engines execute orders with a stale fencing
	// number.
	IgnoreFencing bool `json:"ignore_fencing"`
	// ColdInFlight limits the concurrent requests of a leader that has just
	// started. The limit rises linearly to MaxInFlight over the first WarmAfter
	// completed requests; there is none after that. An engine above its limit
	// restarts. 0: no limit.
	ColdInFlight int `json:"cold_in_flight"`
	WarmAfter    int `json:"warm_after"`
	MaxInFlight  int `json:"max_in_flight"`
	// ReportLag is the age of the load in a report.
	ReportLag redwinghall.Duration `json:"report_lag"`
}

// Fleet is a set of engines with common counters.
type Fleet struct {
	config Config
	mu     sync.Mutex
	vms    map[string]*VM
	record Record
	// backward counts, by request, the attempts since its position last rose.
	backward map[string]backwardAttempts
}

type backwardAttempts struct{ from, count int }

// Record contains the counters of a fleet.
type Record struct {
	Requests  int `json:"requests"`
	Completed int `json:"completed"`
	// Incomplete counts requests that started while a member of the group was
	// missing. LongestIncomplete is the longest time that a member had been
	// missing when such a request started.
	Incomplete        int                  `json:"incomplete"`
	LongestIncomplete redwinghall.Duration `json:"longest_incomplete"`
	// Overloads counts restarts of cold engines because of too many concurrent
	// requests.
	Overloads   int `json:"overloads"`
	StaleOrders int `json:"stale_orders"` // rejected because of a stale fencing number
	Orders      int `json:"orders"`
	// ByVM counts started requests by leader.
	ByVM map[string]int `json:"by_vm"`
}

// NewFleet returns a fleet without VMs.
func NewFleet(c Config) *Fleet {
	return &Fleet{config: c, vms: map[string]*VM{}, record: Record{ByVM: map[string]int{}}, backward: map[string]backwardAttempts{}}
}

// Record returns a copy of the counters.
func (f *Fleet) Record() Record {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := f.record
	out.ByVM = maps.Clone(f.record.ByVM)
	return out
}

func (f *Fleet) count(change func(r *Record)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(&f.record)
}

// nextBackward returns how far after position from the next chunk of a request is, see
// StreamFaults.Backward.
func (f *Fleet) nextBackward(requestID string, from, depth int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	a := f.backward[requestID]
	if a.from != from {
		a = backwardAttempts{from: from}
	}
	a.count++
	f.backward[requestID] = a
	return max(0, depth-a.count)
}

// VM returns the VM with an ID, or nil.
func (f *Fleet) VM(id string) *VM {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.vms[id]
}

// Start runs a VM's engine at address until the group g stops. Port 0 selects a
// free port.
func (f *Fleet) Start(g *kernel.Group, id, address string) (*VM, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	vm := &VM{ID: id, fleet: f, address: listener.Addr().String()}
	vm.resetState()
	server := &http.Server{Handler: vm.handler(), ReadHeaderTimeout: 5 * time.Second}
	f.mu.Lock()
	f.vms[id] = vm
	f.mu.Unlock()
	g.Serve("engine."+id, server, listener)
	return vm, nil
}
