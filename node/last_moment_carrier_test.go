package node_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/kernel"
	"redwinghall/neighbor"
	"redwinghall/platform/platformtest"
)

// carried is what another node got for a booking that it sent by way of this one.
type carried struct {
	outcome neighbor.ForwardOutcome
	err     error
}

// carry sends a booking by way of the node, as another one does.
func (d *deployment) carry(ctx context.Context, id string) (out carried) {
	headers := http.Header{}
	headers.Set("Request-Id", id)
	headers.Set("Authorization", "Bearer key-1")
	call := neighbor.Forward{Kind: neighbor.ForwardRequest, Endpoint: "desk-1", Node: "n2", Timeout: 8 * time.Second}
	address := net.JoinHostPort(d.settings.IP, fmt.Sprint(d.settings.FirstInternalPort))
	response, outcome, err := neighbor.NewForwardClient().Send(ctx, address, call, &http.Request{
		Method: http.MethodPost, Host: "a.example", Header: headers, URL: &url.URL{Path: "/book/x"}, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	})
	if err == nil {
		_ = response.Body.Close() // only the outcome counts
	}
	return carried{outcome, err}
}

// Guards against a node that ends without a word to the nodes whose requests it carries, as no caller of its own waits.
func TestEndingCarrierWithoutCallersAnswersOtherNodes(t *testing.T) {
	t.Parallel()
	for name, way := range waysToEnd {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := deployWith(t, platformtest.EndpointConfig{Event: longPause, Events: longEvents}, platformtest.EndpointConfig{Work: slowCall})
			d.withGrace("2")
			end := d.startEnding(way)
			d.waitOpen()
			got := make(chan carried, 1)
			g := kernel.NewGroup(t.Context())
			g.Task("carry", func(ctx context.Context) { got <- d.carry(ctx, "carried") })
			require.Eventually(t, func() bool { return d.runCounter.Runs("carried") > 0 }, 5*time.Second, 10*time.Millisecond)
			require.Less(t, end(), 2*time.Second)
			one := <-got
			require.NoError(t, one.err)
			require.Equal(t, neighbor.Lost, one.outcome)
		})
	}
}
