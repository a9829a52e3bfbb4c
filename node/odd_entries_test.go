package node_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/platform/platformtest"
	"redwinghall/platform/platformtest/badinput"
)

// Another writer leaves odd entries among those of the endpoints: nodes must neither end, nor stop following, nor use them.
func TestOddEntriesHarmNobody(t *testing.T) {
	t.Parallel()
	z := deployZonesOf(t, map[string]int{"a": 4}, 4, platformtest.EndpointConfig{Event: 10 * time.Millisecond, Events: answerEvents}, platformtest.EndpointConfig{})
	store := z.nodes[0].store
	for _, service := range []string{"llm", "desk"} {
		for i, value := range badinput.OddEntries(service, "m0") {
			store.PutBytes("servers", fmt.Sprint("odd-", service, "-", i), []byte(value))
		}
	}
	for i := range badinput.Odd("") {
		fields := fmt.Sprintf(`"name":"odd-%d","zone":"a","capacity":9`, i)
		store.PutBytes("redwinghall", fmt.Sprint("node/odd-", i), []byte(badinput.Odd(fields)[i]))
		store.PutBytes("redwinghall", fmt.Sprint("odd-", i), []byte(badinput.Odd(fields)[i]))
		store.PutBytes("op", fmt.Sprint("odd-", i), []byte(badinput.Odd(fields)[i]))
	}
	time.Sleep(3 * time.Second) // the members' table is listed every 2 s
	begun := time.Now()
	failed := 0
	for i := range 150 {
		d := z.nodes[i%len(z.nodes)]
		for method, path := range map[string]string{http.MethodGet: "/look/x", http.MethodPost: "/stream/x"} {
			if status, _ := d.request(method, path, fmt.Sprint("ask", i, path)); status != http.StatusOK {
				failed++
			}
		}
	}
	require.Zero(t, failed, "of 300 sound requests, in %s", time.Since(begun))
	require.NoError(t, store.PutConfiguration(platformtest.Configuration(2, "key-1", "key-2")))
	for _, d := range z.nodes {
		require.Eventually(t, func() bool { return d.accepts("key-2", "ask-"+d.settings.Node) }, configurationBound, 20*time.Millisecond, "nodes still follow the store")
	}
}
