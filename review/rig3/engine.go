package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Engine is a stand-in of a model worker. It takes orders, and as the head of an open group it answers requests with events.
type Engine struct {
	ID, Service, Zone, Domain string
	// OnBeat is called with the number of each periodic write of the entry. It returns for how long the store keeps the call, which then
	// gets no answer; 0 for none.
	OnBeat func(beat int) (late time.Duration)

	fleet    *Engines
	born     int64
	listener net.Listener
	server   *http.Server

	mu       sync.Mutex
	group    *membership
	models   []string
	staged   []string
	orders   int64
	sequence int64
	beats    int
	stopped  chan struct{}
}

type membership struct {
	Name    string `json:"name"`
	Epoch   int64  `json:"epoch"`
	Rank    int    `json:"rank"`
	State   string `json:"state"`
	members []string
}

// Engines are all engines of a case. One lock orders what they take.
type Engines struct {
	rig  *Rig
	mu   sync.Mutex
	byID map[string]*Engine
	// Two holds a line for each join that a worker took while the head of its group was open or closing.
	Two []string
}

const (
	joinTime  = 200 * time.Millisecond // of a model that the worker had
	loadTime  = time.Second
	eventTime = 50 * time.Millisecond
)

// Start starts an engine and registers it.
func (f *Engines) Start(id, service, zone, domain string, onBeat func(int) time.Duration) (*Engine, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &Engine{ID: id, Service: service, Zone: zone, Domain: domain, OnBeat: onBeat, fleet: f, born: time.Now().UnixMilli(), listener: l, stopped: make(chan struct{})}
	e.server = &http.Server{Handler: e}
	f.mu.Lock()
	f.byID[id] = e
	f.mu.Unlock()
	go func() { _ = e.server.Serve(l) }()
	go e.beat()
	return e, nil
}

// End stops all engines.
func (f *Engines) End() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.byID {
		close(e.stopped)
		_ = e.server.Close()
	}
}

func (e *Engine) beat() {
	for {
		e.mu.Lock()
		e.beats++
		late := time.Duration(0)
		if e.OnBeat != nil {
			late = e.OnBeat(e.beats)
		}
		e.sequence++
		entry := e.entryLocked()
		if late == 0 {
			e.fleet.rig.Store.Put("servers", e.ID, entry)
		}
		e.mu.Unlock()
		if late > 0 {
			e.fleet.rig.Record.Line("store: the write of %s (sequence %d, group %s) gets no answer and is done %s later", e.ID, entry["sequence"], e.describe(entry), late)
			time.AfterFunc(late, func() {
				e.fleet.rig.Store.Put("servers", e.ID, entry)
				e.fleet.rig.Record.Line("store: the late write of %s (sequence %d, group %s) is done", e.ID, entry["sequence"], e.describe(entry))
			})
		}
		select {
		case <-e.stopped:
			return
		case <-time.After(1200 * time.Millisecond):
		}
	}
}

func (e *Engine) describe(entry map[string]any) string {
	if g, ok := entry["group"].(membership); ok {
		return fmt.Sprintf("%s %d %s", g.Name, g.Epoch, g.State)
	}
	return "none"
}

// changedLocked writes the entry at once, as after each change of the membership.
func (e *Engine) changedLocked() {
	e.sequence++
	e.fleet.rig.Store.Put("servers", e.ID, e.entryLocked())
}

func (e *Engine) entryLocked() map[string]any {
	models := []any{}
	for _, m := range e.models {
		models = append(models, map[string]any{"name": m, "version": 1, "adapters": []any{}})
	}
	entry := map[string]any{
		"service": e.Service, "address": e.listener.Addr().String(), "zone": e.Zone, "version": "1", "slots": 26, "state": "ready",
		"cold_remaining_ms": 0, "born": e.born, "sequence": e.sequence, "stage": "both", "domain": e.Domain, "staged": append([]string{}, e.staged...), "models": models,
	}
	if e.group != nil {
		entry["group"] = *e.group
	}
	return entry
}

type order struct {
	Operation string   `json:"operation"`
	Group     string   `json:"group"`
	Epoch     int64    `json:"epoch"`
	Model     string   `json:"model"`
	Members   []string `json:"members"`
	Expected  *int64   `json:"expected_revision"`
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var in order
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.fleet.mu.Lock() // orders what all engines take
	defer e.fleet.mu.Unlock()
	e.mu.Lock()
	defer e.mu.Unlock()
	status := e.take(in)
	e.fleet.rig.Record.Line("%s answers %d to: %s %s %d %v", e.ID, status, in.Operation, in.Group, in.Epoch, in.Members)
	w.WriteHeader(status)
}

func (e *Engine) take(in order) int {
	own := e.group != nil && e.group.Name == in.Group && e.group.Epoch == in.Epoch
	switch {
	case in.Expected != nil && *in.Expected != e.orders:
		return http.StatusConflict
	case in.Operation == "join" && e.group != nil && in.Epoch < e.group.Epoch:
		return http.StatusPreconditionFailed
	case in.Operation == "join" && own:
		return http.StatusOK
	case in.Operation == "join":
		e.checkTwo(in)
		e.join(in)
	case in.Operation == "stage":
		model := in.Model
		time.AfterFunc(loadTime, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.staged = []string{model}
			e.changedLocked()
		})
	case !own:
		return http.StatusConflict
	case in.Operation == "open" && e.group.State == "open":
		return http.StatusOK
	case in.Operation == "open" && e.group.Rank == 0 && e.group.State == "ready":
		e.setState("open")
	case in.Operation == "close" && e.group.State == "open":
		e.setState("ready")
	case in.Operation == "leave":
		e.group = nil
	default:
		return http.StatusConflict
	}
	e.orders++
	e.changedLocked()
	return http.StatusAccepted
}

func (e *Engine) setState(state string) {
	next := *e.group
	next.State = state
	e.group = &next
}

// checkTwo notes a join of another group while the head of the worker's own one is open. The locks are held.
func (e *Engine) checkTwo(in order) {
	if e.group == nil || len(e.group.members) < 2 || e.group.Rank == 0 {
		return
	}
	head := e.fleet.byID[e.group.members[0]]
	head.mu.Lock()
	defer head.mu.Unlock()
	if head.group == nil || head.group.Name != e.group.Name || head.group.Epoch != e.group.Epoch || (head.group.State != "open" && head.group.State != "closing") {
		return
	}
	line := fmt.Sprintf("%s takes a join of %s while the head %s of its group %s is %s", e.ID, in.Group, head.ID, e.group.Name, head.group.State)
	e.fleet.rig.Record.Line("TWO: %s", line)
	e.fleet.Two = append(e.fleet.Two, line)
}

func (e *Engine) join(in order) {
	takes := loadTime
	if len(e.models) > 0 && e.models[0] == in.Model {
		takes = joinTime
	}
	rank := 0
	for i, id := range in.Members {
		if id == e.ID {
			rank = i
		}
	}
	g := &membership{Name: in.Group, Epoch: in.Epoch, Rank: rank, State: "joining", members: in.Members}
	e.group = g
	time.AfterFunc(takes, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.group != g {
			return
		}
		e.models, e.staged = []string{in.Model}, []string{in.Model}
		e.setState("ready")
		e.changedLocked()
	})
}

// ServeHTTP answers orders, reports, health checks and requests.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("Instance-Id", e.ID)
	id := r.Header.Get("Request-Id")
	if id != "" {
		h.Set("Request-Id", id)
	}
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != e.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/health":
		w.WriteHeader(http.StatusOK)
	case "/redwinghall/order":
		e.order(w, r)
	case "/redwinghall/report":
		e.mu.Lock()
		report := e.entryLocked()
		report["sequence"] = e.orders
		e.mu.Unlock()
		for name, value := range map[string]any{
			"busy": false, "pace": 1.0, "waiting_requests": 0, "running_requests": 0, "kv_cache_used": 0, "kv_cache_total": 90000, "handles": 0,
		} {
			report[name] = value
		}
		h.Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(report)
	default:
		e.stream(w, r, id)
	}
}

// stream answers a request with events while the group stays open.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, id string) {
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	e.mu.Lock()
	group := e.group
	e.mu.Unlock()
	if group == nil || group.Rank != 0 || group.State != "open" {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.fleet.rig.Record.Line("%s runs %s in group %s", e.ID, id, group.Name)
	h := w.Header()
	h.Set("Response-Signature", fmt.Sprintf("sig.%s.%s", e.ID, id))
	h.Set("Content-Type", "text/event-stream")
	_, answer, _ := strings.Cut(r.Header.Get("Token-Counts"), ",")
	events, _ := strconv.Atoi(answer)
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for i := last + 1; i <= events; i++ {
		select {
		case <-time.After(eventTime):
		case <-r.Context().Done():
			return
		}
		e.mu.Lock()
		cut := e.group != group
		e.mu.Unlock()
		if cut {
			e.fleet.rig.Record.Line("%s cuts %s off after event %d, as its group was closed", e.ID, id, i-1)
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", i, id, i)
		w.(http.Flusher).Flush()
	}
}
