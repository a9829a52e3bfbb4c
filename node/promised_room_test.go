package node_test

import (
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

// A zone without a dispatcher must refuse as it always did; one with a dispatcher promises room to those that it refuses.
func TestRoomIsPromisedByDispatchersOnly(t *testing.T) {
	t.Parallel()
	for nodes, promised := range map[int]bool{3: false, 4: true} {
		t.Run(fmt.Sprintf("%d nodes", nodes), func(t *testing.T) {
			t.Parallel()
			z := deployZonesOf(t, map[string]int{"a": nodes}, 2, platformtest.EndpointConfig{Event: 20 * time.Millisecond, Events: answerEvents}, platformtest.EndpointConfig{})
			var refused sync.Map
			var all sync.WaitGroup
			for i := range crowd {
				all.Go(func() {
					if status, _ := z.nodes[i%nodes].request(http.MethodPost, "/stream/x", fmt.Sprintf("c%d", i)); status == http.StatusServiceUnavailable {
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
			require.Equal(t, promised, found, "%d refused", count)
		})
	}
}
