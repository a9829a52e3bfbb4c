package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// worker stands in for a sound worker of a plain service.
type worker struct {
	id, service, zone, address string
	record                     *record
	store                      *store
	born                       int64
	mu                         sync.Mutex
	sequence                   int64
	left                       bool
}

const slots = 6

// startWorker starts a worker that registers itself under an address.
func startWorker(s *store, rec *record, id, service, zone, listen, address string) (*worker, error) {
	w := &worker{id: id, service: service, zone: zone, address: address, record: rec, store: s, born: time.Now().UnixMilli()}
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(listener, http.HandlerFunc(w.handle)) }()
	go func() {
		for {
			w.beat()
			time.Sleep(1200 * time.Millisecond)
		}
	}()
	return w, nil
}

func (w *worker) beat() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.left {
		return
	}
	w.sequence++
	value, _ := json.Marshal(map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": slots, "state": "ready",
		"cold_remaining_ms": 0, "sequence": w.sequence, "born": w.born,
	})
	w.store.put("servers", w.id, value)
}

func (w *worker) handle(out http.ResponseWriter, in *http.Request) {
	h := out.Header()
	h.Set("Instance-Id", w.id)
	if want := in.Header.Get("Expected-Instance"); want != "" && want != w.id {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch in.URL.Path {
	case "/health":
		h.Set("Instance-Load", fmt.Sprintf("0,0,%d", slots))
		return
	case "/redwinghall/report":
		h.Set("Content-Type", "application/json")
		_ = json.NewEncoder(out).Encode(map[string]any{"models": []any{}, "busy": false, "sequence": 0, "waiting_requests": 0, "running_requests": 0, "born": w.born})
		return
	}
	id := in.Header.Get("Request-Id")
	if id == "" {
		h.Set("Not-Executed", "1")
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(in.Body)
	if err != nil {
		return
	}
	w.record.ran(run{Request: id, Worker: w.id, Path: in.URL.Path, Tenant: in.Header.Get("Tenant"), At: time.Now()})
	time.Sleep(30 * time.Millisecond)
	h.Set("Request-Id", id)
	h.Set("Response-Signature", "sig-"+w.id+"-"+id)
	h.Set("Instance-Load", fmt.Sprintf("1,0,%d", slots))
	_, _ = fmt.Fprintf(out, "%s ran %s with %d bytes\n", w.id, id, len(body))
}
