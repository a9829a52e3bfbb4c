package daemon_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall"
	"redwinghall/daemon"
	"redwinghall/kernel"
	"redwinghall/peer"
	"redwinghall/rwhtest"
	"redwinghall/standin/service"
)

// A router that is draining receives a call, because the load balancer still sends
// requests to it, and the service takes longer than the rest of the drain. If the router
// accepted the call, it would close the caller's connection without a response when the
// drain ends.
func TestDrainingRouterRefusesRequestsItCannotFinish(t *testing.T) {
	var platform string
	d := rwhtest.Start(t, rwhtest.Options{PlatformProxy: func(address string) string {
		platform = address
		return address
	}})
	d.Submit("v1")
	router, address := newDrainingRouter(t, platform, d.Controllers[0].Node.Members("tartu"))
	stopping, stop := context.WithCancel(context.Background())
	g := kernel.NewGroup(context.Background())
	g.Go("router", func(context.Context) error { return router.Run(stopping) })
	d.Eventually("the router executes calls", func() bool {
		r, err := sendDeposit(t, d, address, "warm")
		return err == nil && r.Status == http.StatusOK
	})
	for _, s := range d.Services {
		s.SetFaults(service.Faults{Delay: redwinghall.Duration(4 * time.Second)})
	}
	d.Client.CloseIdleConnections() // Go's client retries a request if a reused connection is closed
	stop()
	time.Sleep(100 * time.Millisecond)
	sent := time.Now()
	_, err := sendDeposit(t, d, address, "late")
	took := time.Since(sent).Round(100 * time.Millisecond)
	require.NoError(t, g.Wait())
	require.NoError(t, err, "sent 0.1 s after the signal; its connection was closed without a response after %s", took)
}

// Guards against a router that closes the connections of calls that outlast its drain without a word on what became of them.
func TestDrainingRouterAnswersCallsThatOutlastIt(t *testing.T) {
	var platform string
	d := rwhtest.Start(t, rwhtest.Options{PlatformProxy: func(address string) string {
		platform = address
		return address
	}})
	d.Submit("v1")
	router, address := newDrainingRouter(t, platform, d.Controllers[0].Node.Members("tartu"))
	stopping, stop := context.WithCancel(context.Background())
	g := kernel.NewGroup(context.Background())
	g.Go("router", func(context.Context) error { return router.Run(stopping) })
	d.Eventually("the router executes calls", func() bool {
		r, err := sendDeposit(t, d, address, "warm")
		return err == nil && r.Status == http.StatusOK
	})
	for _, s := range d.Services {
		s.SetFaults(service.Faults{Delay: redwinghall.Duration(4 * time.Second)})
	}
	d.Client.CloseIdleConnections() // Go's client retries a request if a reused connection is closed
	g.Task("stop", func(ctx context.Context) {
		kernel.Sleep(ctx, 200*time.Millisecond)
		stop()
	})
	reply, err := sendDeposit(t, d, address, "slow")
	require.NoError(t, g.Wait())
	require.NoError(t, err, "its connection was closed without a response")
	require.GreaterOrEqual(t, reply.Status, http.StatusInternalServerError)
	require.NotEqual(t, http.StatusServiceUnavailable, reply.Status, "it may have been executed")
}

// newDrainingRouter returns a router with a drain delay of 0.5 s and a drain timeout of
// 1 s, and its address for callers.
func newDrainingRouter(t *testing.T, platform string, peers []peer.Member) (*daemon.Router, string) {
	t.Helper()
	const token = "RWH_TEST_PEER_TOKEN"
	settings := daemon.RouterSettings{
		Common: daemon.Common{
			ID: "router-late", AvailabilityZone: "tartu", PeerAddress: freeAddress(t), PlatformAddress: platform, PeerToken: daemon.Token{Env: token},
			Peers: peers, ExchangeInterval: redwinghall.Duration(50 * time.Millisecond), HeadInterval: redwinghall.Duration(50 * time.Millisecond),
		},
		CallerAddress: freeAddress(t),
		DrainDelay:    redwinghall.Duration(500 * time.Millisecond), DrainTimeout: redwinghall.Duration(time.Second),
	}.WithDefaults()
	require.Empty(t, settings.Validate())
	router, err := daemon.NewRouter(settings)
	require.NoError(t, err)
	return router, settings.CallerAddress
}

// freeAddress returns a loopback address whose port was free when it was checked.
func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, listener.Close()) }()
	return listener.Addr().String()
}

func sendDeposit(t *testing.T, d *rwhtest.Deployment, address, key string) (rwhtest.Reply, error) {
	t.Helper()
	return d.Call(t.Context(), http.MethodPost, address, "/v1/services/"+rwhtest.Service+"/deposits", `{"amount":50}`,
		map[string]string{"Idempotency-Key": key})
}

// Guards against calls that outlast the drain of their router and end without an answer.
func TestDrainedRouterAnswersCallsInProgress(t *testing.T) {
	var platform string
	d := rwhtest.Start(t, rwhtest.Options{PlatformProxy: func(address string) string {
		platform = address
		return address
	}})
	d.Submit("v1")
	router, address := newDrainingRouter(t, platform, d.Controllers[0].Node.Members("tartu"))
	stopping, stop := context.WithCancel(context.Background())
	g := kernel.NewGroup(context.Background())
	g.Go("router", func(context.Context) error { return router.Run(stopping) })
	d.Eventually("the router executes calls", func() bool {
		r, err := sendDeposit(t, d, address, "warm")
		return err == nil && r.Status == http.StatusOK
	})
	for _, s := range d.Services {
		s.SetFaults(service.Faults{Delay: redwinghall.Duration(4 * time.Second)})
	}
	d.Client.CloseIdleConnections() // Go's client retries a request if a reused connection is closed
	var reply rwhtest.Reply
	calls := kernel.NewGroup(t.Context())
	calls.Go("call", func(context.Context) (err error) {
		reply, err = sendDeposit(t, d, address, "in-progress")
		return err
	})
	time.Sleep(200 * time.Millisecond)
	stop()
	require.NoError(t, calls.Wait(), "its connection was closed without a response")
	require.Equal(t, http.StatusBadGateway, reply.Status)
	require.Contains(t, reply.Body, redwinghall.OutcomeUnknown)
	require.NoError(t, g.Wait())
}
