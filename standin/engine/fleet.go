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

// Config says how the engines of a fleet behave.
type Config struct {
	// FirstToken and TokenDelay pace a stream.
	FirstToken redwinghall.Duration `json:"first_token"`
	TokenDelay redwinghall.Duration `json:"token_delay"`
	// LoadTime is how long a VM takes to load an ordered model.
	LoadTime redwinghall.Duration `json:"load_time"`
	// IgnoreFencing makes the engines obey any order.
	IgnoreFencing bool `json:"ignore_fencing"`
	// ColdInFlight is what a leader bears until it has completed WarmAfter
	// requests; above it the engine falls over and starts again. 0: no limit.
	ColdInFlight int `json:"cold_in_flight"`
	WarmAfter    int `json:"warm_after"`
	MaxInFlight  int `json:"max_in_flight"`
	// ReportLag is how old the load in a report is.
	ReportLag redwinghall.Duration `json:"report_lag"`
}

// Fleet is a set of engines and the record of what they did.
type Fleet struct {
	config Config
	mu     sync.Mutex
	vms    map[string]*VM
	record Record
}

// Record counts what the engines were asked to do, and in what state they did it.
type Record struct {
	Requests  int `json:"requests"`
	Completed int `json:"completed"`
	// Incomplete counts requests that began while a member was missing, with
	// the longest time that it had been missing then.
	Incomplete        int                  `json:"incomplete"`
	LongestIncomplete redwinghall.Duration `json:"longest_incomplete"`
	// Overloads counts how often a cold engine fell over.
	Overloads   int `json:"overloads"`
	StaleOrders int `json:"stale_orders"` // refused
	Orders      int `json:"orders"`
	// ByVM counts the requests that each leader began.
	ByVM map[string]int `json:"by_vm"`
}

// NewFleet returns a fleet without VMs.
func NewFleet(c Config) *Fleet {
	return &Fleet{config: c, vms: map[string]*VM{}, record: Record{ByVM: map[string]int{}}}
}

// Record returns what was counted so far.
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

// VM returns a VM by id.
func (f *Fleet) VM(id string) *VM {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.vms[id]
}

// Start runs a VM's engine at address in the group. Port 0 chooses one.
func (f *Fleet) Start(g *kernel.Group, id, address string) (*VM, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	vm := &VM{ID: id, fleet: f, address: listener.Addr().String()}
	vm.reset()
	server := &http.Server{Handler: vm.handler(), ReadHeaderTimeout: 5 * time.Second}
	f.mu.Lock()
	f.vms[id] = vm
	f.mu.Unlock()
	g.Serve("engine."+id, server, listener)
	return vm, nil
}
