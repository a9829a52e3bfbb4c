// Package rwhtest runs small whole deployments inside one test: stand-ins for
// the platform, engines and services, and real routers and controllers that
// speak over loopback TCP.
package rwhtest

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall"
	"redwinghall/daemon"
	"redwinghall/kernel"
	"redwinghall/operator"
	"redwinghall/peer"
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

// fast is the interval of every loop in a test.
const fast = redwinghall.Duration(50 * time.Millisecond)

// Options say what to start.
type Options struct {
	Zones          []string
	RoutersPerZone int
	VMsPerZone     int
	VMsPerGroup    int
	DomainSize     int // VMs in one fabric domain; 0: all of a zone
	Replicas       int // in each zone
	Engine         engine.Config
	// AliveBound and LostAfter default to times that no busy machine exceeds.
	AliveBound time.Duration
	LostAfter  time.Duration
	// ServiceTimeout is the manifest's timeout of the service.
	ServiceTimeout time.Duration
	StallTimeout   time.Duration
	MaxInFlight    int
	// PlatformVia, when set, stands between every process and the platform.
	PlatformVia func(platformAddress string) string
}

func (o Options) withDefaults() Options {
	if len(o.Zones) == 0 {
		o.Zones = []string{"tartu"}
	}
	o.RoutersPerZone = max(1, o.RoutersPerZone)
	o.VMsPerGroup = max(1, o.VMsPerGroup)
	o.Replicas = max(1, o.Replicas)
	o.VMsPerZone = max(o.VMsPerZone, o.VMsPerGroup*o.Replicas)
	if o.DomainSize == 0 {
		o.DomainSize = o.VMsPerZone
	}
	o.AliveBound = orLong(o.AliveBound)
	o.LostAfter = orLong(o.LostAfter)
	o.ServiceTimeout = orLong(o.ServiceTimeout)
	o.StallTimeout = orLong(o.StallTimeout)
	if o.MaxInFlight == 0 {
		o.MaxInFlight = 256
	}
	return o
}

// longTime is more than anything takes in a test that does not ask for less.
const longTime = 20 * time.Second

func orLong(d time.Duration) time.Duration {
	if d == 0 {
		return longTime
	}
	return d
}

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

var nextIP atomic.Uint32

// ip returns a loopback address that no other test uses at the same time, so
// that ports need not be searched for.
func ip() string {
	n := nextIP.Add(1)
	pid := uint32(os.Getpid())
	return fmt.Sprintf("127.%d.%d.%d", 1+pid%120, 1+(pid/120+n/250)%250, 1+n%250)
}

// Ports of a deployment on its own address.
const (
	portPlatform       = 7000
	portCaller         = 7100
	portRouterPeer     = 7200
	portOperator       = 7300
	portControllerPeer = 7400
	portService        = 7500
	portEngine         = 7600
)

// Start runs a deployment until the test ends.
func Start(t testing.TB, o Options) *Deployment {
	t.Helper()
	require.NoError(t, os.Setenv(tokenVariable, peerToken))
	require.NoError(t, os.Setenv(operVariable, OperatorToken))
	d := &Deployment{
		t: t, options: o.withDefaults(), group: kernel.NewGroup(context.Background()),
		Table: table.New(), Services: map[string]*service.Service{},
		Client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
	}
	t.Cleanup(d.stop)
	host := ip()
	d.startStandIns(host)
	d.startDaemons(host)
	d.Eventually("every process answers", d.answering)
	return d
}

func (d *Deployment) answering() bool {
	for i := range d.callers {
		if _, err := d.Operator(i).Status(d.t.Context()); err != nil {
			return false
		}
		if _, err := d.Call(d.t.Context(), http.MethodGet, d.callers[i], "/healthz", "", nil); err != nil {
			return false
		}
	}
	return true
}

func (d *Deployment) startStandIns(host string) {
	d.Fleet = engine.NewFleet(d.options.Engine)
	for z, zone := range d.options.Zones {
		for i := range d.options.VMsPerZone {
			id := fmt.Sprintf("%s-w%d", zone, i+1)
			vm, err := d.Fleet.Start(d.group, id, fmt.Sprintf("%s:%d", host, portEngine+z*100+i))
			require.NoError(d.t, err)
			d.vms = append(d.vms, redwinghall.VM{
				ID: id, AvailabilityZone: zone, FabricDomain: fmt.Sprintf("%s-%d", zone, i/d.options.DomainSize), Address: vm.Address(),
				Accelerators: 8, State: redwinghall.VMLive,
			})
		}
		s := service.New()
		d.Services[zone] = s
		address := fmt.Sprintf("%s:%d", host, portService+z)
		d.serve(address, s.Handler())
		d.vms = append(d.vms, redwinghall.VM{
			ID: zone + "-s1", AvailabilityZone: zone, Address: address, State: redwinghall.VMLive, Service: Service,
		})
	}
	d.Table.SetVMs(d.vms)
	d.serve(fmt.Sprintf("%s:%d", host, portPlatform), d.Table.Handler())
}

func (d *Deployment) serve(address string, handler http.Handler) {
	listener, err := net.Listen("tcp", address)
	require.NoError(d.t, err)
	d.group.Serve("rwhtest.serve", &http.Server{Handler: handler, ReadHeaderTimeout: waitLimit}, listener)
}

func (d *Deployment) startDaemons(host string) {
	platformAddress := fmt.Sprintf("%s:%d", host, portPlatform)
	if d.options.PlatformVia != nil {
		platformAddress = d.options.PlatformVia(platformAddress)
	}
	address := func(port, i int) string { return fmt.Sprintf("%s:%d", host, port+i) }
	var peers []peer.Member
	zoneOf := func(i int) string { return d.options.Zones[i/d.options.RoutersPerZone] }
	pairs := len(d.options.Zones) * d.options.RoutersPerZone
	for i := range pairs {
		peers = append(peers,
			peer.Member{ID: fmt.Sprintf("router-%d", i), AvailabilityZone: zoneOf(i), Address: address(portRouterPeer, i),
				Program: peer.Router, CallerAddress: address(portCaller, i)},
			peer.Member{ID: fmt.Sprintf("controller-%d", i), AvailabilityZone: zoneOf(i),
				Address: address(portControllerPeer, i), Program: peer.Controller})
	}
	common := func(m peer.Member) daemon.Common {
		return daemon.Common{
			ID: m.ID, AvailabilityZone: m.AvailabilityZone, PeerAddress: m.Address, PlatformAddress: platformAddress,
			Peers: peers, PeerToken: daemon.Token{Env: tokenVariable},
			ExchangeInterval: fast, HeadInterval: fast, AliveBound: redwinghall.Duration(d.options.AliveBound),
		}
	}
	for i := range pairs {
		d.startController(common(peers[2*i+1]), address(portOperator, i))
		d.startRouter(common(peers[2*i]), address(portCaller, i))
	}
}

func (d *Deployment) startController(c daemon.Common, operatorAddress string) {
	controller, err := daemon.NewController(daemon.ControllerSettings{
		Common: c, OperatorAddress: operatorAddress, OperatorToken: daemon.Token{Env: operVariable},
		StepInterval: fast, LeaseDuration: redwinghall.Duration(4 * time.Second),
		LeaseMargin: redwinghall.Duration(time.Second), LostAfter: redwinghall.Duration(d.options.LostAfter),
		SettleTime: redwinghall.Duration(300 * time.Millisecond), OrderTimeout: redwinghall.Duration(200 * time.Millisecond),
		MaxLoading: 100,
	}.WithDefaults())
	require.NoError(d.t, err)
	d.Controllers = append(d.Controllers, controller)
	d.operators = append(d.operators, operatorAddress)
	d.group.Go("rwhtest.controller", controller.Run)
}

func (d *Deployment) startRouter(c daemon.Common, callerAddress string) {
	router, err := daemon.NewRouter(daemon.RouterSettings{
		Common: c, CallerAddress: callerAddress, PollInterval: fast,
		StallTimeout: redwinghall.Duration(d.options.StallTimeout), ClaimInterval: redwinghall.Duration(time.Millisecond),
		DrainDelay: redwinghall.Duration(100 * time.Millisecond), DrainTimeout: redwinghall.Duration(waitLimit),
		RetryPercent: 100,
	}.WithDefaults())
	require.NoError(d.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	d.Routers = append(d.Routers, router)
	d.callers = append(d.callers, callerAddress)
	d.stopRouter = append(d.stopRouter, cancel)
	d.routerEnded = append(d.routerEnded, ended)
	d.group.Go("rwhtest.router", func(context.Context) error {
		err := router.Run(ctx)
		ended <- err
		return err
	})
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
	view := r.Board.View()
	model, ok := view.Models[Model]
	if !ok || model.Model.Version != version || len(view.Services[Service].Endpoints) == 0 {
		return false
	}
	usable := 0
	for _, s := range model.Slots {
		if s.Usable(time.Now(), d.options.AliveBound) && (s.Limit() > 0 || s.Owner() != "") && s.Group().Version == version {
			usable++
		}
	}
	return usable == d.options.Replicas && len(view.Gateways) == len(d.options.Zones)-1
}
