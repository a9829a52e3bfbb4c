package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	cutTime  = 7 * time.Second
	channels = 6 // kept to the worker, with a booking on each
)

// heldBytes cuts a worker off from all machines while bookings are sent to it, and takes its zone out. What the nodes gave up
// long ago reaches the worker seconds after the cut.
func heldBytes(ctx context.Context, p *play) (int, error) {
	address := p.address(200, 8223)
	if err := p.store.serve(address); err != nil {
		return 0, err
	}
	p.writeConfig(4, []object{bookingRoute("r-book", "/cuti104/")}, []object{tenant("hule930", "key-one")})
	var links []*link
	for i := range p.zones {
		l, err := newLink(p.address(100+i, 8120), p.address(100+i, 8121))
		if err != nil {
			return 0, err
		}
		links = append(links, l)
	}
	if err := p.startLinkedWorkers("xano55b"); err != nil {
		return 0, err
	}
	if err := p.startNodes(ctx, address); err != nil {
		return 0, err
	}
	time.Sleep(3 * time.Second)
	near, worker := p.nodes[0], p.workers[0]
	for range 3 {
		for _, one := range p.bookAtOnce(ctx, near) {
			if one.status != http.StatusOK {
				return 0, fmt.Errorf("%w: a booking got %d before anything changed", errCase, one.status)
			}
		}
	}
	if p.trouble {
		links[0].cut(cutTime)
		p.line("link      of %s is cut for %s", worker.id, cutTime)
	}
	begun := time.Now()
	booked := make(chan []sent, 1)
	go func() { booked <- p.bookAtOnce(ctx, near) }()
	time.Sleep(500 * time.Millisecond)
	p.line("ack       %s is to get nothing, row_version %d", worker.zone, p.store.put("op", "evacuate/"+worker.zone, []byte("{}")))
	acked := time.Now()
	answers := <-booked
	time.Sleep(time.Until(begun.Add(16 * time.Second)))
	result := held
	for _, one := range answers {
		for _, run := range p.runsOf(one.id) {
			if since := run.At.Sub(acked); run.Worker == worker.id && since > evacuation && run.At.Sub(begun) > cutTime+contact {
				p.line("BROKEN    EVAC: request %s, answered %d, reached %s in %s %.1f s after the ack, %.1f s after the cut", one.id, one.status,
					worker.id, worker.zone, since.Seconds(), run.At.Sub(begun.Add(cutTime)).Seconds())
				result = broken
			}
		}
	}
	return result, nil
}

// bookAtOnce sends bookings at the same time.
func (p *play) bookAtOnce(ctx context.Context, n *node) []sent {
	out := make([]sent, channels)
	var group sync.WaitGroup
	for i := range out {
		group.Go(func() { out[i] = p.book(ctx, n, "wuny96.example", "/cuti104/a", "key-one") })
	}
	group.Wait()
	return out
}
