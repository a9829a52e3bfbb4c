// Package rwhtest runs small whole deployments inside one test: stand-ins for
// the platform, engines and services, and real routers and controllers that
// speak over loopback TCP.
package rwhtest

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall"
	"redwinghall/daemon"
	"redwinghall/kernel"
	"redwinghall/operator"
	"redwinghall/standin/engine"
	"redwinghall/standin/service"
	"redwinghall/standin/table"
)

// Names that every deployment uses.
const (
	Model         = "chain-advice"
	Service       = "rental-desk"
	Account       = "hauliers"
	Key           = "test-key-hauliers"
	OperatorToken = "test-operator-token"
	peerToken     = "test-peer-token-00"
	tokenVariable = "RWH_TEST_PEER_TOKEN"
	operVariable  = "RWH_TEST_OPERATOR_TOKEN"
)

// waitLimit is how long an event may take before a test fails; it is far
// beyond what any event needs, so that no test judges by speed.
const waitLimit = 60 * time.Second

// Deployment is a running deployment.
type Deployment struct {
	t           testing.TB
	options     Options
	group       *kernel.Group
	Table       *table.Table
	Fleet       *engine.Fleet
	Services    map[string]*service.Service // by zone
	Routers     []*daemon.Router
	Controllers []*daemon.Controller
	Client      *http.Client

	callers     []string
	operators   []string
	stopRouter  []context.CancelFunc
	routerEnded []chan error
	vms         redwinghall.VMs
}

// stop ends the routers first, while what they depend on still answers.
func (d *Deployment) stop() {
	d.Client.CloseIdleConnections()
	for i := range d.Routers {
		d.stopRouter[i]()
	}
	for i := range d.Routers {
		require.NoError(d.t, <-d.routerEnded[i])
	}
	d.group.Stop()
	require.NoError(d.t, d.group.Wait())
}

// StopRouter begins a planned stop of router i. The channel receives how it
// ended; the test's end waits for it too.
func (d *Deployment) StopRouter(i int) <-chan error {
	d.stopRouter[i]()
	out := make(chan error, 1)
	err := <-d.routerEnded[i]
	d.routerEnded[i] <- err
	out <- err
	return out
}

// Caller returns where router i takes callers' requests.
func (d *Deployment) Caller(i int) string { return d.callers[i] }

// Operator returns a client of controller i.
func (d *Deployment) Operator(i int) *operator.Client {
	return operator.NewClient(d.operators[i], OperatorToken)
}

// VMs returns the platform's list as it was at the start.
func (d *Deployment) VMs() redwinghall.VMs { return append(redwinghall.VMs(nil), d.vms...) }

// Manifest returns a manifest that uses all zones.
func (d *Deployment) Manifest(version string) redwinghall.Manifest {
	sum := sha256.Sum256([]byte(Key))
	replicas := map[string]int{}
	for _, zone := range d.options.Zones {
		replicas[zone] = d.options.Replicas
	}
	return redwinghall.Manifest{
		Name: "test",
		ClientAccounts: redwinghall.ClientAccounts{{
			ID: Account, KeySHA256: []string{hex.EncodeToString(sum[:])}, MaxQueued: 10000,
		}},
		Models: []redwinghall.Model{{
			ID: Model, Version: version, Adapters: []string{}, VMsPerReplica: d.options.VMsPerGroup, Replicas: replicas,
			ClientAccounts: []string{Account}, MaxInFlight: d.options.MaxInFlight, ColdInFlight: d.options.MaxInFlight, WarmAfter: 1,
		}},
		Services: []redwinghall.Service{{
			ID: Service, ClientAccounts: []string{Account}, Timeout: redwinghall.Duration(d.options.ServiceTimeout),
		}},
	}.WithDefaults()
}

// Eventually waits for an event.
func (d *Deployment) Eventually(what string, done func() bool) {
	d.t.Helper()
	require.Eventually(d.t, done, waitLimit, 5*time.Millisecond, what)
}

// Submit puts a manifest in force and waits until every group is whole in
// every router.
func (d *Deployment) Submit(version string) {
	d.t.Helper()
	manifest := d.Manifest(version)
	data, _, err := manifest.Canonical()
	require.NoError(d.t, err)
	status, err := d.Operator(0).Status(d.t.Context())
	require.NoError(d.t, err)
	_, err = d.Operator(0).SubmitManifest(d.t.Context(),
		operator.Submission{SubmitID: "submit-" + version, Replaces: status.Generation}, data)
	require.NoError(d.t, err)
	d.WaitServing(version)
}

// WaitServing waits until every router can use every wanted group of a
// version and knows a service endpoint.
func (d *Deployment) WaitServing(version string) {
	d.t.Helper()
	d.Eventually("every router has its groups", func() bool {
		for _, r := range d.Routers {
			if !d.serving(r, version) {
				return false
			}
		}
		return true
	})
}

func (d *Deployment) serving(r *daemon.Router, version string) bool {
	view := r.Selector.View()
	model, ok := view.Models[Model]
	if !ok || model.Model.Version != version || len(view.Services[Service].Endpoints) == 0 {
		return false
	}
	usable := 0
	for _, s := range model.Backends {
		if s.Usable(time.Now(), d.options.AliveBound) && (s.Limit() > 0 || s.Owner() != "") && s.Group().Version == version {
			usable++
		}
	}
	return usable == d.options.Replicas && len(view.Gateways) == len(d.options.Zones)-1
}
