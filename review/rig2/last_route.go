package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

// lastRoute removes a route by a new version of the config. With trouble it was the last one.
func lastRoute(ctx context.Context, p *play) (int, error) {
	address := p.address(200, 8223)
	if err := p.store.serve(address); err != nil {
		return 0, err
	}
	tenants := []object{tenant("hule930", "key-one")}
	other := bookingRoute("r-other", "/puxa403/")
	routes, rest := []object{bookingRoute("r-book", "/cuti104/")}, []object{}
	if !p.trouble {
		routes, rest = append(routes, other), append(rest, other)
	}
	p.writeConfig(4, routes, tenants)
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
	p.writeConfig(9, rest, tenants)
	acked := time.Now()
	time.Sleep(configuration + 2*time.Second)
	result := held
	for range 3 {
		for _, n := range p.nodes {
			one := p.book(ctx, n, "wuny96.example", "/cuti104/b", "key-one")
			if len(p.runsOf(one.id)) > 0 {
				p.line("BROKEN    CONFIG: request %s on a route that version 9 dropped ran %.1f s after the ack", one.id, time.Since(acked).Seconds())
				result = broken
			}
		}
		time.Sleep(time.Second)
	}
	return result, nil
}
