package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

// lastTenant removes a tenant by a new version of the config. With trouble it was the last one, so the list is empty.
func lastTenant(ctx context.Context, p *play) (int, error) {
	address := p.address(200, 8223)
	if err := p.store.serve(address); err != nil {
		return 0, err
	}
	routes := []object{bookingRoute("r-book", "/cuti104/")}
	leaving, other := tenant("hule930", "key-one"), tenant("fida11", "key-two")
	tenants, rest := []object{leaving}, []object{}
	if !p.trouble {
		tenants, rest = append(tenants, other), append(rest, other)
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
		if one := p.book(ctx, n, "wuny96.example", "/cuti104/a", "never-held"); one.status != http.StatusUnauthorized {
			return 0, fmt.Errorf("%w: a booking with an unknown key got %d by %s before anything changed", errCase, one.status, n.name)
		}
	}
	p.writeConfig(9, routes, rest)
	acked := time.Now()
	time.Sleep(configuration + 2*time.Second)
	result := held
	for range 3 {
		for _, n := range p.nodes {
			for _, key := range []string{"never-held", "key-one"} {
				one := p.book(ctx, n, "wuny96.example", "/cuti104/b", key)
				if len(p.runsOf(one.id)) == 0 {
					continue
				}
				rule := "CONFIG: it is dropped since version 9"
				if key == "never-held" {
					rule = "ROUTE: no config ever held it"
				}
				p.line("BROKEN    request %s with %s ran %.1f s after the ack (%s)", one.id, key, time.Since(acked).Seconds(), rule)
				result = broken
			}
		}
		time.Sleep(time.Second)
	}
	return result, nil
}
