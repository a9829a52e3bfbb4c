// Package service is a stand-in for a plain service that books and credits:
// it counts every run by key, so that a double run shows.
package service

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"redwinghall"
)

// Paths of the stand-in's own controls.
const (
	PathFaults = "/standin/faults"
	PathRuns   = "/standin/runs"
)

const maxBody = 16 << 20

// Faults says how the service misbehaves.
type Faults struct {
	// Delay is added before each run.
	Delay redwinghall.Duration `json:"delay"`
	// CutAfterRun is how many coming calls run and lose their answer.
	CutAfterRun int `json:"cut_after_run"`
	// CutBeforeRun is how many coming calls are read and not run.
	CutBeforeRun int `json:"cut_before_run"`
	// Silent runs calls and never answers.
	Silent bool `json:"silent"`
}

// Receipt is the answer to a call.
type Receipt struct {
	Path string `json:"path"`
	Key  string `json:"key"`
	Run  int    `json:"run"` // which run of this key it was: 1 unless doubled
}

// Service counts runs.
type Service struct {
	mu     sync.Mutex
	runs   map[string]int
	faults Faults
	// Arrivals receives the key of each call that has arrived, before its delay
	// and its run, when it is not nil. Set it before the first call.
	Arrivals chan string
}

// New returns a service that has run nothing.
func New() *Service { return &Service{runs: map[string]int{}} }

// SetFaults replaces the faults.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Runs returns how often each key ran.
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.runs))
	for k, v := range s.runs {
		out[k] = v
	}
	return out
}

// Handler returns the service and its controls.
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
	mux.HandleFunc("/", s.call)
	return mux
}

func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxBody)); err != nil {
		return
	}
	f := s.takeFaults()
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
	run := s.run(key)
	if f.CutAfterRun > 0 {
		panic(http.ErrAbortHandler)
	}
	if f.Silent {
		<-r.Context().Done()
		return
	}
	writeJSON(w, Receipt{Path: r.URL.Path, Key: key, Run: run})
}

func (s *Service) run(key string) int {
	s.mu.Lock()
	s.runs[key]++
	n := s.runs[key]
	s.mu.Unlock()
	return n
}

func (s *Service) takeFaults() Faults {
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
		return // the client is gone
	}
}
