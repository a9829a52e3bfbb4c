package node_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/kernel"
	"redwinghall/platform/platformtest"
	"redwinghall/rwhtest/loopback"
	"redwinghall/standin/link"
)

const (
	// configurationBound is the operators' bound for a version, as the settings of these nodes have it.
	configurationBound = 2 * time.Second
	// versionRounds versions follow each other, each at another phase of the nodes' reads.
	versionRounds = 4
	versionPause  = 3130 * time.Millisecond
)

// accepts reports whether a node accepts an API key.
func (d *deployment) accepts(key, id string) bool {
	r, err := platformtest.NewRequest(context.Background(), http.MethodGet, d.settings.CallerAddress, "/look/x", nil, platformtest.RequestInfo{
		ID: id, Key: key, Timeout: time.Second,
	})
	require.NoError(d.t, err)
	status, _ := d.send(http.DefaultClient, r)
	return status != http.StatusUnauthorized
}

// Open connections to the store fall silent as a version adds a key, and nodes go on refusing the key.
func TestNewKeyIsAcceptedAlthoughTheStoresConnectionsStandStill(t *testing.T) {
	t.Parallel()
	for _, count := range []int{3, 8} {
		t.Run(fmt.Sprint(count, " nodes"), func(t *testing.T) {
			t.Parallel()
			g := kernel.NewGroup(context.Background())
			var links []*link.Link
			z := deployZonesVaried(t, map[string]int{"a": count}, 4, platformtest.EndpointConfig{Event: 10 * time.Millisecond, Events: answerEvents},
				platformtest.EndpointConfig{}, func(settings *platformtest.NodeSettings) {
					l, err := link.New(g, loopback.Host()+":0", settings.StoreAddress)
					require.NoError(t, err)
					links = append(links, l)
					settings.StoreAddress = l.Address()
				})
			t.Cleanup(func() {
				g.Stop()
				require.NoError(t, g.Wait())
			})
			keys := []string{"key-1"}
			for round := range versionRounds {
				time.Sleep(versionPause)
				key := fmt.Sprint("added-", round)
				keys = append(keys, key)
				for _, l := range links {
					l.Set(link.Blackhole, 0)
				}
				require.NoError(t, z.nodes[0].store.PutConfiguration(platformtest.Configuration(2+round, keys...)))
				acked := time.Now()
				for _, d := range z.nodes {
					require.Eventually(t, func() bool { return d.accepts(key, fmt.Sprint("ask-", d.settings.Node, time.Now().UnixNano())) },
						2*configurationBound, 10*time.Millisecond)
				}
				require.LessOrEqual(t, time.Since(acked), configurationBound, "round %d: at all nodes", round)
				for _, l := range links {
					l.Set(link.Pass, 0)
				}
			}
		})
	}
}
