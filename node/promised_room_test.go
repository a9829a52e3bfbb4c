package node_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/node"
	"redwinghall/platform/platformtest"
)

// crowd is the number of streams that come at the same moment, far more than the groups of a zone hold.
const crowd = 400

// metricsPage returns the metrics page of a node.
func (d *deployment) metricsPage() string {
	d.t.Helper()
	response, err := http.Get(fmt.Sprintf("http://%s:%d%s", d.settings.IP, node.MetricsPort, node.MetricsPath))
	require.NoError(d.t, err)
	defer func() { require.NoError(d.t, response.Body.Close()) }()
	data, err := io.ReadAll(response.Body)
	require.NoError(d.t, err)
	return string(data)
}

// withoutAccounts puts a configuration without a list of client accounts, and waits until all nodes have it.
func (z *zonedDeployment) withoutAccounts(t *testing.T) {
	t.Helper()
	config := platformtest.Configuration(2)
	delete(config, "tenants") // an empty list would need a key that nobody has
	require.NoError(t, z.nodes[0].store.PutConfiguration(config))
	for _, d := range z.nodes {
		require.Eventually(t, func() bool {
			r, err := platformtest.NewRequest(context.Background(), http.MethodGet, d.settings.CallerAddress, "/look/x", nil, platformtest.RequestInfo{
				ID: "open", Key: "nobody's", Timeout: 5 * time.Second,
			})
			require.NoError(t, err)
			status, _ := d.send(http.DefaultClient, r)
			return status == http.StatusOK
		}, 10*time.Second, 50*time.Millisecond)
	}
}

// A zone without a dispatcher, or without client accounts, must refuse as it always did; others promise room to those that they refuse.
func TestRoomIsPromisedByDispatchersOnly(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		nodes    int
		accounts bool
		promised bool
	}{
		"no dispatcher":            {3, true, false},
		"a dispatcher":             {4, true, true},
		"a dispatcher, no account": {4, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			z := deployZonesOf(t, map[string]int{"a": c.nodes}, 2, platformtest.EndpointConfig{Event: 20 * time.Millisecond, Events: answerEvents}, platformtest.EndpointConfig{})
			if !c.accounts {
				z.withoutAccounts(t)
			}
			var refused sync.Map
			var all sync.WaitGroup
			for i := range crowd {
				all.Go(func() {
					if status, _ := z.nodes[i%c.nodes].request(http.MethodPost, "/stream/x", fmt.Sprintf("c%d", i)); status == http.StatusServiceUnavailable {
						refused.Store(i, true)
					}
				})
			}
			all.Wait()
			count := 0
			refused.Range(func(any, any) bool { count++; return true })
			require.Positive(t, count, "there is too little room")
			found := false
			for _, d := range z.nodes {
				found = found || strings.Contains(d.metricsPage(), "room.promised")
			}
			require.Equal(t, c.promised, found, "%d refused", count)
		})
	}
}
