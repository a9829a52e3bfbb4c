package main

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

func init() { cases["partial-entry"] = partialEntry }

// partialEntry lets a worker leave as those that never report draining: its entry is removed, and it serves on for some seconds. Later another
// writer puts an entry under its id that lacks fields.
func partialEntry(r *Rig) (bool, error) {
	r.Store.Put("op", "config", config(7, []any{route("r-book", "/rental/", "unsafe", "desk", 1)}, []any{plainService("desk")}))
	zones := []string{"tallinn", "tartu", "parnu"}
	var workers []*Worker
	for i, zone := range zones {
		w, err := r.StartWorker("i-desk"+strconv.Itoa(i), "desk", zone)
		if err != nil {
			return false, err
		}
		w.Work = 60 * time.Millisecond
		workers = append(workers, w)
	}
	if err := r.StartNodes(zones...); err != nil {
		return false, err
	}
	b := &booker{rig: r, end: make(chan struct{})}
	b.start()
	time.Sleep(2 * time.Second)
	leaver := workers[0]
	leaver.StopBeats()
	r.Store.Remove("servers", leaver.ID)
	gone := time.Now()
	r.Record.Line("the entry of %s is removed; it serves on for some seconds", leaver.ID)
	time.Sleep(drainTime + time.Second)
	if r.Trouble {
		r.Store.Put("servers", leaver.ID, map[string]any{"service": leaver.Service, "address": leaver.listener.Addr().String(), "state": "ready"})
		r.Record.Line("another writer puts an entry of %s with service, address and state only", leaver.ID)
	}
	time.Sleep(3 * time.Second)
	leaver.End()
	r.Record.Line("%s exits", leaver.ID)
	time.Sleep(time.Second)
	sent, served := b.stop()
	late := 0
	for _, run := range r.Runs.All() {
		if since := run.At.Sub(gone); run.Worker == leaver.ID && since > drainTime {
			late++
			r.Record.Line("DRAIN: %s reached %s %.3f s after its entry was removed", run.Request, run.Worker, since.Seconds())
		}
	}
	r.Record.Line("%d of %d bookings were served, %d reached %s too late", served, sent, late, leaver.ID)
	if served < sent/2 {
		return false, fmt.Errorf("too few requests were served")
	}
	return late > 0, nil
}

// booker sends 20 bookings a second to the nodes in turn.
type booker struct {
	rig  *Rig
	end  chan struct{}
	wait sync.WaitGroup

	mu           sync.Mutex
	sent, served int
}

func (b *booker) start() {
	b.wait.Add(1)
	go func() {
		defer b.wait.Done()
		for i := 0; ; i++ {
			select {
			case <-b.end:
				return
			case <-time.After(50 * time.Millisecond):
			}
			b.wait.Add(1)
			go b.book(i)
		}
	}()
}

func (b *booker) book(i int) {
	defer b.wait.Done()
	status, _ := send(b.rig.Record, b.rig.Node(i), fmt.Sprintf("9c41d07be2a%05d", i), http.MethodPost, "/rental/205", `{"deposit":50}`)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sent++
	if status == http.StatusOK {
		b.served++
	}
}

// stop ends the bookings, and returns how many were sent and served.
func (b *booker) stop() (sent, served int) {
	close(b.end)
	b.wait.Wait()
	return b.sent, b.served
}
