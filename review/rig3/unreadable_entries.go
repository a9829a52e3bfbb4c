package main

import (
	"bytes"
	"fmt"
	"strconv"
	"time"
)

func init() { cases["unreadable-entries"] = unreadableEntries }

const (
	recoveryTime = 12 * time.Second // bounds.recovery_s
	unreadable   = 140
	rowBytes     = 65536 // platform.row_bytes
)

// unreadableEntries lets another writer put entries whose bytes can't be read, and kills all processes some seconds later.
func unreadableEntries(r *Rig) (bool, error) {
	r.Store.Put("op", "config", config(7, []any{route("r-book", "/rental/", "unsafe", "desk", 1)}, []any{plainService("desk")}))
	zones := []string{"tallinn", "tartu", "parnu"}
	for i, zone := range zones {
		if _, err := r.StartWorker("i-desk"+strconv.Itoa(i), "desk", zone); err != nil {
			return false, err
		}
	}
	if err := r.StartNodes(zones...); err != nil {
		return false, err
	}
	if r.Trouble {
		for i := range unreadable {
			r.Store.PutBytes("servers", fmt.Sprintf("inventory-%03d", i), bytes.Repeat([]byte{0xff}, rowBytes))
		}
		r.Record.Line("another writer puts %d entries of %d bytes that can't be read", unreadable, rowBytes)
	}
	book := func(span time.Duration) (sent, served int) {
		b := &booker{rig: r, end: make(chan struct{})}
		b.start()
		time.Sleep(span)
		return b.stop()
	}
	sent, before := book(5 * time.Second)
	r.Record.Line("before the kill %d of %d bookings were served", before, sent)
	if 4*before < sent {
		return false, fmt.Errorf("too few bookings were served before")
	}
	for _, n := range r.nodes {
		n.End()
	}
	for _, n := range r.nodes {
		if err := n.Restart(r.Program); err != nil {
			return false, err
		}
	}
	r.Record.Line("all processes were killed and started again")
	time.Sleep(recoveryTime)
	sent, after := book(10 * time.Second)
	r.Record.Line("later than %s after the start %d of %d bookings were served", recoveryTime, after, sent)
	if 4*after < sent {
		r.Record.Line("RECOVER: less than a quarter was served")
	}
	return 4*after < sent, nil
}
