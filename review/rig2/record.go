package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// run is a request that a worker began to work on.
type run struct {
	Request, Worker, Path, Tenant string
	At                            time.Time
}

// record is what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begun time.Time
	runs  map[string][]run // by request
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, begun: time.Now(), runs: map[string][]run{}}, nil
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lineLocked(format, args...)
}

func (r *record) lineLocked(format string, args ...any) {
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) ran(one run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[one.Request] = append(r.runs[one.Request], one)
	r.lineLocked("run       request %s at worker %s, path %s, tenant %q", one.Request, one.Worker, one.Path, one.Tenant)
}

func (r *record) runsOf(request string) []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.runs[request]...)
}
