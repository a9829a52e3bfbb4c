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

// Names of the measured deployments.
const (
	measureToken   = "measure-token-0123456789"
	measureAccount = "load"
	domainSize     = 16
	vmsPerGroup    = 4
	waitLimit      = time.Minute
)

// shape is the size of a measured deployment.
type shape struct {
	zones, nodesPerZone, groupsPerZone int
	engine                             engine.Config
}

func (s shape) layout() layout.Layout {
	l := layout.Layout{
		Name: "measure", Host: "127.77.0.1", Base: 23000, PairsPerZone: s.nodesPerZone,
		Model: "chain-advice", PerGroup: vmsPerGroup, Replicas: s.groupsPerZone, Engine: s.engine,
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

// deployment is processes on loopback: the platform, the engines, and a
// router and a controller for each node.
type deployment struct {
	layout      layout.Layout
	set         *process.Set
	dir         string
	routers     []*process.Process
	controllers []*process.Process
	client      *http.Client
}

// startServing starts a deployment and waits until its groups are whole.
func startServing(bin string, s shape, change func(*layout.Layout)) (*deployment, error) {
	d, err := startDeploymentOf(bin, s, change)
	if err != nil {
		return nil, err
	}
	if _, err = d.submit(0); err == nil {
		err = d.serving()
	}
	if err != nil {
		d.stop()
		return nil, err
	}
	return d, nil
}

// unchanged leaves a layout as its shape makes it.
func unchanged(*layout.Layout) {}

// startDeploymentOf starts a deployment of a shape, with its layout adapted by change.
func startDeploymentOf(bin string, s shape, change func(*layout.Layout)) (*deployment, error) {
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
	return d.wait("every process answers", func() bool {
		for i := range d.layout.Pairs() {
			if _, err := d.operator(i).Status(context.Background()); err != nil || d.generation(i) == "" {
				return false
			}
		}
		return true
	})
}

// stop ends what was started; what is measured is over, so nothing drains.
func (d *deployment) stop() {
	d.set.KillAll()
	_ = os.RemoveAll(d.dir)
}

func (d *deployment) wait(what string, done func() bool) error {
	deadline := time.Now().Add(waitLimit)
	for time.Now().Before(deadline) {
		if err := d.set.Failed(); err != nil {
			return err
		}
		if done() {
			return nil
		}
		time.Sleep(2 * time.Millisecond)
	}
	return fmt.Errorf("not seen within %s: %s", waitLimit, what)
}

func (d *deployment) operator(i int) *operator.Client {
	return operator.NewClient(d.layout.Operator(i), measureToken)
}

// readyz returns the status and the manifest generation that a router tells
// the balancer; zero and "" when it does not answer.
func (d *deployment) readyz(i int) (status int, generation string) {
	response, err := d.client.Get("http://" + d.layout.Caller(i) + "/readyz")
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

// submit puts a manifest in force and returns how long it took, from the
// operator's answer until every router has it.
func (d *deployment) submit(replaces uint64) (time.Duration, error) {
	data, _, err := d.layout.Manifest("v1").Canonical()
	if err != nil {
		return 0, err
	}
	_, err = d.operator(0).SubmitManifest(context.Background(),
		operator.Submission{SubmitID: fmt.Sprint("submit-", replaces), Replaces: replaces}, data)
	if err != nil {
		return 0, err
	}
	accepted := time.Now()
	want := fmt.Sprint(replaces + 1)
	err = d.wait("the manifest is in force", func() bool {
		for i := range d.layout.Pairs() {
			if d.generation(i) != want {
				return false
			}
		}
		return true
	})
	return time.Since(accepted), err
}

// serving waits until every zone's groups are whole.
func (d *deployment) serving() error {
	return d.wait("every group is whole", func() bool {
		for z := range d.layout.Zones {
			status, err := d.operator(z * d.layout.PairsPerZone).Status(context.Background())
			if err != nil {
				return false
			}
			whole := 0
			for _, g := range status.Groups {
				if g.Healthy {
					whole++
				}
			}
			if whole != d.layout.Replicas {
				return false
			}
		}
		return true
	})
}
