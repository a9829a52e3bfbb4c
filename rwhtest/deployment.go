// Package rwhtest runs small but complete deployments inside one test process:
// stand-ins for the platform, engines and services, and real routers and
// controllers that communicate over loopback TCP.
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

// Names and credentials that every deployment uses.
const (
	Model                 = "chain-advice"
	Service               = "rental-desk"
	Account               = "hauliers"
	Key                   = "test-key-hauliers"
	OperatorToken         = "test-operator-token"
	peerToken             = "test-peer-token-00"
	peerTokenVariable     = "RWH_TEST_PEER_TOKEN"
	operatorTokenVariable = "RWH_TEST_OPERATOR_TOKEN"
)

// waitLimit is how long an event may take before a test fails. It is far longer
// than any event needs, so that tests do not fail because the machine is slow.
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

	callerAddresses   []string
	operatorAddresses []string
	stopRouter        []context.CancelFunc
	routerEnded       []chan error
	vms               redwinghall.VMs
}

// stop stops the routers first, while the processes that they depend on still run.
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

// StopRouter stops router i gracefully and waits until it has ended. The returned channel
// holds the result of the router's Run, which the test's cleanup checks as well.
func (d *Deployment) StopRouter(i int) <-chan error {
	d.stopRouter[i]()
	out := make(chan error, 1)
	err := <-d.routerEnded[i]
	d.routerEnded[i] <- err
	out <- err
	return out
}

// CallerAddress returns the address at which router i accepts callers' requests.
func (d *Deployment) CallerAddress(i int) string { return d.callerAddresses[i] }

// Operator returns a client for the operator API of controller i.
func (d *Deployment) Operator(i int) *operator.Client {
	return operator.NewClient(d.operatorAddresses[i], OperatorToken)
}

// VMs returns the platform's list of VMs as it was when the deployment started.
func (d *Deployment) VMs() redwinghall.VMs { return append(redwinghall.VMs(nil), d.vms...) }

// Manifest returns a manifest that places replicas in all zones.
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

// Eventually waits until a condition holds.
func (d *Deployment) Eventually(what string, done func() bool) {
	d.t.Helper()
	require.Eventually(d.t, done, waitLimit, 5*time.Millisecond, what)
}

// Submit submits a manifest and waits until every router can use every group.
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

// WaitServing waits until every router can use all replicas of a version in its
// zone, and its view contains an endpoint of the service and a gateway of each other
// zone.
func (d *Deployment) WaitServing(version string) {
	d.t.Helper()
	d.Eventually("every router can use its groups", func() bool {
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
	for _, g := range model.Groups {
		if g.Usable(time.Now(), d.options.AliveBound) && (g.Limit() > 0 || g.Owner() != "") && g.Group().Version == version {
			usable++
		}
	}
	return usable == d.options.Replicas && len(view.Gateways) == len(d.options.Zones)-1
}
