// Package service is a stand-in for a plain service with side effects, such as
// bookings. It counts the executions of each idempotency key, so that tests can
// detect duplicates.
package service

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"redwinghall"
)

// Paths of the control API of the stand-in.
const (
	PathFaults = "/standin/faults"
	PathRuns   = "/standin/runs"
)

const maxBody = 16 << 20

// Faults configures simulated failures of the service.
type Faults struct {
	// Delay is added before each execution.
	Delay redwinghall.Duration `json:"delay"`
	// CutAfterRun is the number of calls that are executed and then lose their
	// connection before the response.
	CutAfterRun int `json:"cut_after_run"`
	// CutBeforeRun is the number of calls that lose their connection after they
	// were read, and are not executed.
	CutBeforeRun int `json:"cut_before_run"`
	// Silent executes calls and never sends a response.
	Silent bool `json:"silent"`
}

// Receipt is the response to a call.
type Receipt struct {
	Path string `json:"path"`
	Key  string `json:"key"`
	Run  int    `json:"run"` // number of executions of this key so far; above 1 for a duplicate
}

// Service counts the executions of each idempotency key.
type Service struct {
	mu     sync.Mutex
	runs   map[string]int
	faults Faults
	// Arrivals, if not nil, receives the key of each call before its delay and its
	// execution. Set it before the first call.
	Arrivals chan string
}

// New returns a service with no executions.
func New() *Service { return &Service{runs: map[string]int{}} }

// SetFaults replaces the faults.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Runs returns the number of executions of each key.
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.runs))
	for k, v := range s.runs {
		out[k] = v
	}
	return out
}

// Handler returns the HTTP handler of the service and of its control API.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathRuns, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Runs()) })
	mux.HandleFunc("POST "+PathFaults, func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.SetFaults(f)
		writeJSON(w, struct{}{})
	})
	mux.HandleFunc("/", s.handleCall)
	return mux
}

func (s *Service) handleCall(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxBody)); err != nil {
		return
	}
	f := s.nextFaults()
	if f.CutBeforeRun > 0 {
		panic(http.ErrAbortHandler)
	}
	key := r.Header.Get("Idempotency-Key")
	if s.Arrivals != nil {
		s.Arrivals <- key
	}
	if f.Delay > 0 {
		time.Sleep(f.Delay.Std())
	}
	run := s.countRun(key)
	if f.CutAfterRun > 0 {
		panic(http.ErrAbortHandler)
	}
	if f.Silent {
		<-r.Context().Done()
		return
	}
	writeJSON(w, Receipt{Path: r.URL.Path, Key: key, Run: run})
}

func (s *Service) countRun(key string) int {
	s.mu.Lock()
	s.runs[key]++
	n := s.runs[key]
	s.mu.Unlock()
	return n
}

func (s *Service) nextFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.faults
	switch {
	case f.CutBeforeRun > 0:
		s.faults.CutBeforeRun--
	case f.CutAfterRun > 0:
		s.faults.CutAfterRun--
	}
	return f
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(v); err != nil {
		return // the client has disconnected
	}
}
