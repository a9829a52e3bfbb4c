package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Worker is a stand-in of a plain service's worker.
type Worker struct {
	ID, Service, Zone string
	born              int64
	store             *Store
	record            *Record
	listener          net.Listener
	server            *http.Server
	sequence          atomic.Int64
	still             chan struct{} // closed once it writes its entry no more
	stillOnce         sync.Once
	// Work is how long a request takes.
	Work time.Duration
	// OnRun is called when a run has ended, before its answer. It reports whether the answer is lost: the connection is reset.
	OnRun func(w *Worker, run Run) (lost bool)
	runs  *Runs
}

// Run is a request that a worker began to work on.
type Run struct {
	Request, Worker, Service string
	Method, Target, Host     string
	Tenant, Key              string
	Body                     string
	At                       time.Time // when the request reached the worker
}

// Runs are all runs of a case.
type Runs struct {
	mu  sync.Mutex
	all []Run
}

func (r *Runs) add(one Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, one)
}

// Of returns the runs of a request.
func (r *Runs) Of(request string) (of []Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, one := range r.all {
		if one.Request == request {
			of = append(of, one)
		}
	}
	return of
}

// All returns all runs.
func (r *Runs) All() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Run(nil), r.all...)
}

// StartWorker starts a worker and registers it. It writes its entry each 1.2 s.
func StartWorker(store *Store, record *Record, runs *Runs, host, id, service, zone string) (*Worker, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	w := &Worker{ID: id, Service: service, Zone: zone, born: time.Now().UnixMilli(), store: store, record: record, listener: l, still: make(chan struct{}), runs: runs, Work: 20 * time.Millisecond}
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(l) }()
	w.beat()
	go func() {
		for {
			select {
			case <-w.still:
				return
			case <-time.After(1200 * time.Millisecond):
				w.beat()
			}
		}
	}()
	return w, nil
}

func (w *Worker) entry() map[string]any {
	return map[string]any{
		"service": w.Service, "address": w.listener.Addr().String(), "zone": w.Zone, "version": "1", "slots": 6, "state": "ready",
		"cold_remaining_ms": 0, "born": w.born, "sequence": w.sequence.Add(1),
	}
}

func (w *Worker) beat() { w.store.Put("servers", w.ID, w.entry()) }

// StopBeats ends the writing of the entry.
func (w *Worker) StopBeats() { w.stillOnce.Do(func() { close(w.still) }) }

// End stops the worker.
func (w *Worker) End() {
	w.StopBeats()
	_ = w.server.Close()
}

// ServeHTTP answers health checks, reports and requests.
func (w *Worker) ServeHTTP(out http.ResponseWriter, in *http.Request) {
	h := out.Header()
	h.Set("Instance-Id", w.ID)
	if id := in.Header.Get("Request-Id"); id != "" {
		h.Set("Request-Id", id)
	}
	if expected := in.Header.Get("Expected-Instance"); expected != "" && expected != w.ID {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch in.URL.Path {
	case "/health":
		h.Set("Instance-Load", "0,0,6")
		out.WriteHeader(http.StatusOK)
		return
	case "/redwinghall/report":
		h.Set("Content-Type", "application/json")
		_ = json.NewEncoder(out).Encode(map[string]any{"stage": "both", "models": []any{}, "busy": false, "sequence": 0, "waiting_requests": 0, "running_requests": 0, "kv_cache_used": 0, "kv_cache_total": 0, "handles": 0, "born": w.born})
		return
	}
	arrived := time.Now()
	body, err := io.ReadAll(in.Body)
	if err != nil || in.Header.Get("Request-Id") == "" {
		h.Set("Not-Executed", "1")
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	run := Run{
		Request: in.Header.Get("Request-Id"), Worker: w.ID, Service: w.Service, Method: in.Method, Target: in.RequestURI, Host: in.Host,
		Tenant: in.Header.Get("Tenant"), Key: in.Header.Get("Authorization"), Body: string(body), At: arrived,
	}
	w.record.Line("%s (%s) runs %s: %s %s, tenant %q", w.ID, w.Service, run.Request, run.Method, run.Target, run.Tenant)
	w.runs.add(run)
	time.Sleep(w.Work)
	if w.OnRun != nil && w.OnRun(w, run) {
		w.record.Line("%s has run %s; its answer is lost (connection reset)", w.ID, run.Request)
		conn, _, err := out.(http.Hijacker).Hijack()
		if err == nil {
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
		return
	}
	h.Set("Response-Signature", fmt.Sprintf("sig.%s.%s", w.ID, run.Request))
	h.Set("Instance-Load", "1,0,6")
	_, _ = fmt.Fprintf(out, "done by %s for %s\n", w.ID, run.Request)
}
