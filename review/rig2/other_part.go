package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// putInPart writes a row of a table in a part of its own.
func (s *store) putInPart(table, part, key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[rowKey{table, part, key}] = &row{Table: table, Part: part, Key: key, Value: value, Version: s.version}
	s.wake()
	return s.version
}

// leave removes the worker's entry; the worker goes on to serve.
func (w *worker) leave() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.left = true
	return w.store.put("servers", w.id, nil)
}

// otherPart takes a worker's entry away. With trouble another writer then writes a row of the same table and key in a part of
// its own, which is no entry: entries lie in the empty part.
func otherPart(ctx context.Context, p *play) (int, error) {
	address := p.address(200, 8223)
	if err := p.store.serve(address); err != nil {
		return 0, err
	}
	p.writeConfig(4, []object{bookingRoute("r-book", "/cuti104/")}, []object{tenant("hule930", "key-one")})
	if err := p.startWorkers("xano55b"); err != nil {
		return 0, err
	}
	if err := p.startNodes(ctx, address); err != nil {
		return 0, err
	}
	time.Sleep(3 * time.Second)
	for _, n := range p.nodes {
		if one := p.book(ctx, n, "wuny96.example", "/cuti104/a", "key-one"); one.status != http.StatusOK {
			return 0, fmt.Errorf("%w: a booking by %s got %d before anything changed", errCase, n.name, one.status)
		}
	}
	leaver := p.workers[0]
	copied := leaver.entry()
	p.line("ack       entry of %s removed, row_version %d", leaver.id, leaver.leave())
	left := time.Now()
	time.Sleep(time.Second)
	if p.trouble {
		p.line("store     another writer: table servers, part inventory, key %s, row_version %d: %s", leaver.id,
			p.store.putInPart("servers", "inventory", leaver.id, copied), copied)
	}
	time.Sleep(time.Until(left.Add(drain + 2*time.Second)))
	result := held
	for range 12 {
		for _, n := range p.nodes {
			one := p.book(ctx, n, "wuny96.example", "/cuti104/b", "key-one")
			for _, run := range p.runsOf(one.id) {
				if run.Worker == leaver.id {
					p.line("BROKEN    DRAIN: request %s reached %s %.1f s after the ack that it is gone", one.id, leaver.id, run.At.Sub(left).Seconds())
					result = broken
				}
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	return result, nil
}

// entry returns what the worker last wrote of itself.
func (w *worker) entry() json.RawMessage {
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	return w.store.rows[rowKey{"servers", "", w.id}].Value
}
