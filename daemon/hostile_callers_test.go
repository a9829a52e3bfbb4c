package daemon_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall"
	"redwinghall/daemon"
	"redwinghall/kernel"
)

// Callers that send half a request held all connections of a router, and ordinary ones waited until they were gone.
func TestHostileCallersKeepNobodyFromARouter(t *testing.T) {
	const most, crowd, waitTime = 10, 40, 10 * time.Second
	t.Setenv("RWH_TEST_PEER_TOKEN", "a-token-of-enough-length")
	settings := daemon.RouterSettings{
		Common: daemon.Common{
			ID: "router-1", AvailabilityZone: "tartu", PeerAddress: freeAddress(t), PlatformAddress: freeAddress(t), PeerToken: daemon.Token{Env: "RWH_TEST_PEER_TOKEN"},
		},
		CallerAddress: freeAddress(t), MaxConnections: most,
		DrainDelay: redwinghall.Duration(time.Millisecond), DrainTimeout: redwinghall.Duration(time.Second),
	}.WithDefaults()
	require.Empty(t, settings.Validate())
	router, err := daemon.NewRouter(settings)
	require.NoError(t, err)
	stopping, stop := context.WithCancel(t.Context())
	running := kernel.NewGroup(t.Context())
	running.Go("router", func(context.Context) error { return router.Run(stopping) })
	client := &http.Client{Timeout: waitTime, Transport: &http.Transport{DisableKeepAlives: true}}
	isServed := func() bool {
		response, err := client.Get("http://" + settings.CallerAddress + "/healthz")
		return err == nil && response.Body.Close() == nil && response.StatusCode == http.StatusOK
	}
	require.Eventually(t, isServed, waitTime, 10*time.Millisecond)
	callers := kernel.NewGroup(t.Context())
	for range crowd {
		callers.Go("caller", func(ctx context.Context) error {
			for ctx.Err() == nil {
				sendHalf(ctx, settings.CallerAddress)
				kernel.Sleep(ctx, 100*time.Millisecond)
			}
			return nil
		})
	}
	time.Sleep(time.Second)
	require.True(t, isServed())
	callers.Stop()
	require.NoError(t, callers.Wait())
	stop()
	require.NoError(t, running.Wait())
}

// sendHalf sends half a request, and waits until its connection ends.
func sendHalf(ctx context.Context, address string) {
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", address)
	if err != nil {
		return
	}
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, "GET /") // the read fails too
	_, _ = io.Copy(io.Discard, conn)
}
