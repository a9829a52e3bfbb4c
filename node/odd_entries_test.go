package node_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/platform/platformtest"
)

// oddEntryValues are entries that another writer may leave; %s stands for the fields of a usable one.
var oddEntryValues = []string{
	strings.Repeat("[", 30_000) + strings.Repeat("]", 30_000),
	`{"more":` + strings.Repeat("[", 9_000) + strings.Repeat("]", 9_000) + `,%s}`,
	`{"domain":` + strings.Repeat("[", 9_000) + strings.Repeat("]", 9_000) + `,%s}`,
	`{%s,"address":"127.0.0.1:99999"}`, `{%s,"address":"127.0.0.1:0"}`, `{%s,"address":"127.0.0.1:-7"}`, `{%s,"address":":"}`, `{%s,"address":"[::1"}`,
	`{%s,"address":"127.0.0.1:1\r\nX: y"}`, `{%s,"address":"nowhere.invalid:80"}`, `{%s,"slots":1e400}`, `{%s,"born":1e400}`, `{%s,"cold_remaining_ms":1e400}`,
	`{%s,"group":{"name":"odd","epoch":4611686018427387904,"rank":9223372036854775807,"state":"open"}}`,
	`{%s,"group":{"name":"odd","epoch":99999999999999999999,"rank":0,"state":"open"}}`, "\xff\xfe", "",
}

// Another writer leaves odd entries among those of the endpoints: nodes must neither end, nor stop following, nor use them.
func TestOddEntriesHarmNobody(t *testing.T) {
	t.Parallel()
	z := deployZonesOf(t, map[string]int{"a": 4}, 4, platformtest.EndpointConfig{Event: 10 * time.Millisecond, Events: answerEvents}, platformtest.EndpointConfig{})
	store := z.nodes[0].store
	usable := map[string]string{
		"llm":  `"service":"llm","address":"127.0.0.1:9","zone":"a","state":"ready","slots":26,"models":[{"name":"m0"}],"group":{"name":"odd","epoch":1,"rank":0,"state":"broken"}`,
		"desk": `"service":"desk","address":"127.0.0.1:9","zone":"a","state":"ready","slots":26`,
	}
	for service, fields := range usable {
		for i, value := range oddEntryValues {
			store.PutBytes("servers", fmt.Sprint("odd-", service, "-", i), []byte(strings.ReplaceAll(value, "%s", fields)))
		}
	}
	for i, value := range oddEntryValues {
		store.PutBytes("redwinghall", fmt.Sprint("node/odd-", i), []byte(strings.ReplaceAll(value, "%s", fmt.Sprintf(`"name":"odd-%d","zone":"a","capacity":9`, i))))
		store.PutBytes("redwinghall", fmt.Sprint("odd-", i), []byte(value))
		store.PutBytes("op", fmt.Sprint("odd-", i), []byte(value))
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
