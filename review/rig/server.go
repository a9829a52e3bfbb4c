package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// beat is a server's entry in the store.
type beat struct {
	Service  string `json:"service"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Version  string `json:"version"`
	Slots    int    `json:"slots"`
	State    string `json:"state"`
	Cold     int    `json:"cold_remaining_ms"`
	Sequence int64  `json:"sequence"`
	Born     int64  `json:"born"`
}

const heartbeat = 1200 * time.Millisecond

// arrival is one request that reached a server.
type arrival struct {
	id string
	at time.Time
}

// server is a stand-in of a worker of a plain service.
type server struct {
	id, service, zone, address string
	entryAddress               string // what the entry says, if not address
	store                      *store
	born                       int64
	work                       time.Duration

	listener net.Listener
	mu       sync.Mutex
	arrivals []arrival
	sequence int64
	removed  bool
	down     bool // it has crashed
	busy     int
	handler  http.HandlerFunc // nil for the usual one
	http     *http.Server
	// slowUntil is until when each answer takes slowBy.
	slowUntil time.Time
	slowBy    time.Duration
}

const slots = 6

func newServer(s *store, id, service, zone string, work time.Duration) *server {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	one := &server{id: id, service: service, zone: zone, address: listener.Addr().String(), store: s, born: time.Now().UnixMilli(), work: work, listener: listener}
	one.listen(listener)
	one.register()
	go func() {
		for range time.Tick(heartbeat) {
			if !one.register() {
				return
			}
		}
	}()
	return one
}

func (s *server) listen(listener net.Listener) {
	s.listener = listener
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve), IdleTimeout: 15 * time.Second}
	go func(one *http.Server) { _ = one.Serve(listener) }(s.http)
}

// handle sets what answers the next requests, nil for the usual answer.
func (s *server) handle(handler http.HandlerFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handler = handler
}

// crash ends the server as the end of its process does: its connections are closed, and its address refuses others.
func (s *server) crash() {
	s.mu.Lock()
	s.down = true
	s.mu.Unlock()
	_ = s.http.Close()
}

// restart starts the server again under its id and address. For some time it is slow.
func (s *server) restart(slowFor, slowBy time.Duration) {
	listener, err := net.Listen("tcp", s.address)
	check(err)
	s.mu.Lock()
	s.down = false
	s.handler = nil
	s.born = time.Now().UnixMilli()
	s.sequence = 0
	s.slowUntil, s.slowBy = time.Now().Add(slowFor), slowBy
	s.listen(listener)
	s.mu.Unlock()
	s.register()
}

// register writes the entry, unless the server has left.
func (s *server) register() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.removed {
		return false
	}
	if s.down {
		return true
	}
	s.sequence++
	address := s.address
	if s.entryAddress != "" {
		address = s.entryAddress
	}
	s.store.put("servers", s.id, beat{Service: s.service, Address: address, Zone: s.zone, Version: "v1", Slots: slots, State: "ready", Sequence: s.sequence, Born: s.born})
	return true
}

// leave removes the entry, without having reported that the server drains. It goes on serving.
func (s *server) leave() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removed = true
	return s.store.remove("servers", s.id)
}

// exit ends the server.
func (s *server) exit() { _ = s.listener.Close() }

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	slow, by, born := time.Now().Before(s.slowUntil), s.slowBy, s.born
	s.mu.Unlock()
	if slow {
		time.Sleep(by)
	}
	h := w.Header()
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != s.id {
		h.Set("Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/health" {
		h.Set("Instance-Id", s.id)
		w.WriteHeader(http.StatusOK)
		return
	}
	if r.URL.Path == "/redwinghall/report" {
		h.Set("Content-Type", "application/json")
		_, _ = fmt.Fprintf(w, `{"stage":"both","models":[],"busy":false,"sequence":0,"waiting_requests":0,"running_requests":0,"born":%d}`, born)
		return
	}
	id := r.Header.Get("Request-Id")
	s.mu.Lock()
	s.arrivals = append(s.arrivals, arrival{id, time.Now()})
	handler := s.handler
	s.mu.Unlock()
	h.Set("Request-Id", id)
	if handler != nil {
		handler(w, r)
		return
	}
	note("%s runs %s", s.id, id)
	body, _ := io.ReadAll(r.Body)
	s.mu.Lock()
	s.busy++
	load := fmt.Sprintf("%d,0,%d", s.busy, slots)
	s.mu.Unlock()
	time.Sleep(s.work)
	s.mu.Lock()
	s.busy--
	s.mu.Unlock()
	h.Set("Instance-Load", load)
	h.Set("Response-Signature", "sig."+s.id+"."+id)
	_, _ = fmt.Fprintf(w, "%s ran %s with %d bytes\n", s.id, id, len(body))
}

// after returns the requests that arrived after a moment.
func (s *server) after(at time.Time) []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	var late []arrival
	for _, one := range s.arrivals {
		if one.at.After(at) {
			late = append(late, one)
		}
	}
	return late
}
