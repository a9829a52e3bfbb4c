package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"time"

	"redwinghall"
	"redwinghall/operator"
	"redwinghall/standin/engine"
	"redwinghall/standin/layout"
	"redwinghall/standin/process"
)

// Fixed parameters of the measured deployments.
const (
	measureToken   = "measure-token-0123456789"
	measureAccount = "load"
	domainSize     = 16
	vmsPerGroup    = 4
	waitLimit      = time.Minute
)

// shape is the size of a measured deployment and the configuration of its
// engines.
type shape struct {
	zones, nodesPerZone, groupsPerZone int
	engine                             engine.Config
}

func (s shape) layout() layout.Layout {
	l := layout.Layout{
		Name: "measure", Host: "127.77.0.1", Base: 23000, PairsPerZone: s.nodesPerZone,
		Model: "chain-advice", VMsPerGroup: vmsPerGroup, Replicas: s.groupsPerZone, Engine: s.engine,
		Accounts:    redwinghall.ClientAccounts{layout.Account(measureAccount, 1, redwinghall.ClassInteractive)},
		ModelLimits: redwinghall.Model{MaxInFlight: 512, ColdInFlight: 64, WarmAfter: 1},
	}
	for z := range s.zones {
		l.Zones = append(l.Zones, fmt.Sprintf("zone-%c", 'a'+z))
		var domains []int
		for left := s.groupsPerZone * vmsPerGroup; left > 0; left -= domainSize {
			domains = append(domains, min(left, domainSize))
		}
		l.Domains = append(l.Domains, domains)
	}
	return l
}

// deployment is a set of processes on loopback: the platform, the engines, and
// a router and a controller for each node.
type deployment struct {
	layout      layout.Layout
	set         *process.Set
	dir         string
	routers     []*process.Process
	controllers []*process.Process
	client      *http.Client
}

// startServing starts a deployment and waits until its groups are healthy.
func startServing(bin string, s shape, change func(*layout.Layout)) (*deployment, error) {
	d, err := startDeployment(bin, s, change)
	if err != nil {
		return nil, err
	}
	if _, err = d.submit(0); err == nil {
		err = d.waitServing()
	}
	if err != nil {
		d.stop()
		return nil, err
	}
	return d, nil
}

// unchanged keeps the layout of a shape as it is.
func unchanged(*layout.Layout) {}

// startDeployment starts a deployment of a shape, with its layout modified by
// change.
func startDeployment(bin string, s shape, change func(*layout.Layout)) (*deployment, error) {
	l := s.layout()
	change(&l)
	dir, err := os.MkdirTemp("", "redwinghall-measure-")
	if err != nil {
		return nil, err
	}
	d := &deployment{
		layout: l, dir: dir, client: &http.Client{Timeout: 5 * time.Second},
		set: process.NewSet(bin, dir, layout.PeerTokenVariable+"="+measureToken, layout.OperatorTokenVariable+"="+measureToken),
	}
	if err := d.startAll(); err != nil {
		d.stop()
		return nil, err
	}
	return d, nil
}

func (d *deployment) startAll() error {
	if err := d.layout.Write(d.dir); err != nil {
		return err
	}
	for _, l := range d.layout.Launches(d.dir) {
		p, err := d.set.Start(l.Name, l.Program, l.Args...)
		if err != nil {
			return err
		}
		switch l.Program {
		case "router":
			d.routers = append(d.routers, p)
		case "controller":
			d.controllers = append(d.controllers, p)
		}
	}
	return d.waitFor("every process responds", func() bool {
		for i := range d.layout.Pairs() {
			if _, err := d.operatorClient(i).Status(context.Background()); err != nil || d.generation(i) == "" {
				return false
			}
		}
		return true
	})
}

// stop kills all processes and deletes their files. The measurement is over, so
// there is nothing to drain.
func (d *deployment) stop() {
	d.set.KillAll()
	_ = os.RemoveAll(d.dir)
}

func (d *deployment) waitFor(what string, done func() bool) error {
	deadline := time.Now().Add(waitLimit)
	for time.Now().Before(deadline) {
		if err := d.set.UnexpectedExit(); err != nil {
			return err
		}
		if done() {
			return nil
		}
		time.Sleep(2 * time.Millisecond)
	}
	return fmt.Errorf("timed out after %s waiting for: %s", waitLimit, what)
}

func (d *deployment) operatorClient(i int) *operator.Client {
	return operator.NewClient(d.layout.OperatorAddress(i), measureToken)
}

// readyz returns the status and the manifest generation of a router's readiness
// check, or 0 and "" if it does not respond.
func (d *deployment) readyz(i int) (status int, generation string) {
	response, err := d.client.Get("http://" + d.layout.CallerAddress(i) + "/readyz")
	if err != nil {
		return 0, ""
	}
	_ = response.Body.Close()
	return response.StatusCode, response.Header.Get("X-Redwinghall-Generation")
}

func (d *deployment) generation(i int) string {
	_, generation := d.readyz(i)
	return generation
}

// submit submits a manifest and returns the time from its acceptance until it
// is in effect in every router.
func (d *deployment) submit(replaces uint64) (time.Duration, error) {
	data, _, err := d.layout.Manifest("v1").Canonical()
	if err != nil {
		return 0, err
	}
	_, err = d.operatorClient(0).SubmitManifest(context.Background(),
		operator.Submission{SubmitID: fmt.Sprint("submit-", replaces), Replaces: replaces}, data)
	if err != nil {
		return 0, err
	}
	accepted := time.Now()
	want := fmt.Sprint(replaces + 1)
	err = d.waitFor("the manifest is in effect", func() bool {
		for i := range d.layout.Pairs() {
			if d.generation(i) != want {
				return false
			}
		}
		return true
	})
	return time.Since(accepted), err
}

// waitServing waits until all groups of every zone are healthy.
func (d *deployment) waitServing() error {
	return d.waitFor("every group is healthy", func() bool {
		for z := range d.layout.Zones {
			status, err := d.operatorClient(z * d.layout.PairsPerZone).Status(context.Background())
			if err != nil {
				return false
			}
			healthy := 0
			for _, g := range status.Groups {
				if g.Healthy {
					healthy++
				}
			}
			if healthy != d.layout.Replicas {
				return false
			}
		}
		return true
	})
}
