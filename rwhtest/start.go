package rwhtest

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall"
	"redwinghall/daemon"
	"redwinghall/kernel"
	"redwinghall/peer"
	"redwinghall/rwhtest/loopback"
	"redwinghall/standin/engine"
	"redwinghall/standin/service"
	"redwinghall/standin/table"
)

// loopInterval is the interval of every periodic loop of routers and controllers.
const loopInterval = redwinghall.Duration(50 * time.Millisecond)

// First port of each kind of listener, the same in every deployment: each has its own
// address.
const (
	portPlatform       = 7000
	portCaller         = 7100
	portRouterPeer     = 7200
	portOperator       = 7300
	portControllerPeer = 7400
	portService        = 7500
	portEngine         = 7600
)

// Start starts a deployment and registers a cleanup that stops it.
func Start(t testing.TB, o Options) *Deployment {
	t.Helper()
	require.NoError(t, os.Setenv(peerTokenVariable, peerToken))
	require.NoError(t, os.Setenv(operatorTokenVariable, OperatorToken))
	d := &Deployment{
		t: t, options: o.withDefaults(), group: kernel.NewGroup(context.Background()),
		Table: table.New(), Services: map[string]*service.Service{},
		Client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
	}
	t.Cleanup(d.stop)
	host := loopback.Host()
	d.startStandIns(host)
	d.startDaemons(host)
	d.Eventually("every process responds", d.allResponding)
	return d
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
	if d.options.PlatformProxy != nil {
		platformAddress = d.options.PlatformProxy(platformAddress)
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
			Peers: peers, PeerToken: daemon.Token{Env: peerTokenVariable},
			ExchangeInterval: loopInterval, HeadInterval: loopInterval, AliveBound: redwinghall.Duration(d.options.AliveBound),
		}
	}
	for i := range pairs {
		d.startController(common(peers[2*i+1]), address(portOperator, i))
		d.startRouter(common(peers[2*i]), address(portCaller, i))
	}
}

func (d *Deployment) startController(c daemon.Common, operatorAddress string) {
	controller, err := daemon.NewController(daemon.ControllerSettings{
		Common: c, OperatorAddress: operatorAddress, OperatorToken: daemon.Token{Env: operatorTokenVariable},
		StepInterval: loopInterval, LeaseDuration: redwinghall.Duration(4 * time.Second),
		LeaseMargin: redwinghall.Duration(time.Second), LostAfter: redwinghall.Duration(d.options.LostAfter),
		SettleTime: redwinghall.Duration(300 * time.Millisecond), OrderTimeout: redwinghall.Duration(200 * time.Millisecond),
		MaxLoading: 100,
	}.WithDefaults())
	require.NoError(d.t, err)
	d.Controllers = append(d.Controllers, controller)
	d.operatorAddresses = append(d.operatorAddresses, operatorAddress)
	d.group.Go("rwhtest.controller", controller.Run)
}

func (d *Deployment) startRouter(c daemon.Common, callerAddress string) {
	router, err := daemon.NewRouter(daemon.RouterSettings{
		Common: c, CallerAddress: callerAddress, PollInterval: loopInterval,
		StallTimeout: redwinghall.Duration(d.options.StallTimeout), ClaimInterval: redwinghall.Duration(time.Millisecond),
		DrainDelay: redwinghall.Duration(100 * time.Millisecond), DrainTimeout: redwinghall.Duration(waitLimit),
		RetryPercent: 100,
	}.WithDefaults())
	require.NoError(d.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	d.Routers = append(d.Routers, router)
	d.callerAddresses = append(d.callerAddresses, callerAddress)
	d.stopRouter = append(d.stopRouter, cancel)
	d.routerEnded = append(d.routerEnded, ended)
	d.group.Go("rwhtest.router", func(context.Context) error {
		err := router.Run(ctx)
		ended <- err
		return err
	})
}

func (d *Deployment) allResponding() bool {
	for i := range d.callerAddresses {
		if _, err := d.Operator(i).Status(d.t.Context()); err != nil {
			return false
		}
		if _, err := d.Call(d.t.Context(), http.MethodGet, d.callerAddresses[i], "/healthz", "", nil); err != nil {
			return false
		}
	}
	return true
}
