package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"redwinghall"
)

// stream is a streamed response in progress.
type stream struct {
	vm      *VM
	w       http.ResponseWriter
	flush   func() error
	request ChatRequest
	id      string
	faults  StreamFaults
	ctx     context.Context
}

// handleChat streams a response, starting after the position in Last-Event-ID.
func (v *VM) handleChat(w http.ResponseWriter, r *http.Request) {
	var request ChatRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	lifetime, refused := v.admit(request)
	if refused != "" {
		http.Error(w, refused, http.StatusServiceUnavailable)
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	stop := context.AfterFunc(lifetime, cancel)
	defer stop()

	w.Header().Set("Content-Type", "text/event-stream")
	s := &stream{
		vm: v, w: w, flush: http.NewResponseController(w).Flush,
		request: request, id: r.Header.Get("X-Request-Id"), faults: v.nextFaults(), ctx: ctx,
	}
	complete := s.run(resumeFrom(r))
	v.finish(lifetime, complete)
	if !complete {
		panic(http.ErrAbortHandler) // closes the connection, as the end of a process does
	}
}

// admit admits a request or returns the reason for its rejection. It records
// whether a member of the group was missing.
func (v *VM) admit(request ChatRequest) (context.Context, string) {
	v.mu.Lock()
	order := v.order
	v.mu.Unlock()
	since, incomplete := v.missingMember(order)

	v.mu.Lock()
	defer v.mu.Unlock()
	if order.Role != redwinghall.RoleLeader || order.Model != request.Model || time.Now().Before(v.readyAt) {
		return nil, "not serving this model"
	}
	v.fleet.count(func(r *Record) {
		r.Requests++
		r.ByVM[v.ID]++
		if incomplete {
			r.Incomplete++
			r.LongestIncomplete = max(r.LongestIncomplete, redwinghall.Duration(time.Since(since)))
		}
	})
	v.running++
	v.recordLoad()
	if limit := v.maxConcurrent(); limit > 0 && v.running > limit {
		v.fleet.count(func(r *Record) { r.Overloads++ })
		v.cancelLifetime()
		v.resetState()
		v.missingSince = time.Now()
		return nil, "overloaded after a cold start"
	}
	return v.lifetime, ""
}

// maxConcurrent returns the current limit of concurrent requests. 0: no limit.
func (v *VM) maxConcurrent() int {
	c := v.fleet.config
	if c.ColdInFlight == 0 || int(v.completed) >= c.WarmAfter {
		return 0
	}
	rise := (c.MaxInFlight - c.ColdInFlight) * int(v.completed) / max(1, c.WarmAfter)
	return c.ColdInFlight + rise
}

func (v *VM) finish(lifetime context.Context, complete bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if lifetime.Err() != nil {
		return // the process was restarted since, and its counters were reset
	}
	v.running--
	v.recordLoad()
	if complete {
		v.completed++
		v.fleet.count(func(r *Record) { r.Completed++ })
	}
}

func (v *VM) nextFaults() StreamFaults {
	v.mu.Lock()
	defer v.mu.Unlock()
	f := v.faults
	v.streams++
	if f.CutEvery > 0 && v.streams%f.CutEvery != 0 {
		f.CutEvery = 0
	}
	v.faults.StallStreams = max(0, v.faults.StallStreams-1)
	return f
}

// resumeFrom returns the position after the one in Last-Event-ID.
func resumeFrom(r *http.Request) int {
	_, position, ok := strings.Cut(r.Header.Get("Last-Event-Id"), "/")
	n, err := strconv.Atoi(position)
	if !ok || err != nil {
		return 0
	}
	return n + 1
}

// run writes the response from a position on and reports whether it was
// completed.
func (s *stream) run(from int) bool {
	last := s.request.tokenCount()
	if s.faults.Backward > 0 {
		s.send(min(last, from+s.vm.fleet.nextBackward(s.id, from, s.faults.Backward)))
		return false
	}
	if !s.pause(s.vm.fleet.config.FirstToken.Std()) {
		return false
	}
	for position := from; position <= last; position++ {
		if s.faults.CutEvery > 0 && position-from >= s.faults.CutAt {
			return false
		}
		if s.faults.StallStreams > 0 && position-from >= s.faults.CutAt {
			<-s.ctx.Done()
			return false
		}
		if !s.vm.waitThawed(s.ctx) || !s.emit(position) {
			return false
		}
		if position < last && !s.pause(s.vm.fleet.config.TokenDelay.Std()) {
			return false
		}
	}
	return true
}

// emit sends one chunk, or [DONE] after the last one. With Shuffle it sends each
// even chunk after the odd one that follows it, and twice.
func (s *stream) emit(position int) bool {
	if !s.faults.Shuffle || position >= s.request.tokenCount()-1 {
		return s.send(position)
	}
	if position%2 == 0 {
		return true
	}
	return s.send(position) && s.send(position-1) && s.send(position-1)
}

func (s *stream) send(position int) bool {
	data := []byte("[DONE]")
	if position < s.request.tokenCount() {
		data = s.request.chunkJSON(s.id, position)
	}
	if s.faults.Shuffle && position == s.request.tokenCount()-1 && position%2 == 1 {
		s.write(position-1, s.request.chunkJSON(s.id, position-1))
	}
	return s.write(position, data)
}

func (s *stream) write(position int, data []byte) bool {
	if _, err := fmt.Fprintf(s.w, "id: %s/%d\ndata: %s\n\n", s.id, position, data); err != nil {
		return false
	}
	return s.flush() == nil
}

func (s *stream) pause(d time.Duration) bool {
	if d <= 0 {
		return s.ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-s.ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
