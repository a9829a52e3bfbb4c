package neighbor_test

import (
	"crypto/sha256"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/fleet"
	"redwinghall/neighbor"
	"redwinghall/platform/platformtest"
)

// largeModels are the names of models that engines have.
var largeModels = []string{"llama-70b-instruct-q8", "mistral-24b", "embedder-large", "qwen-32b-chat", "phi-mini", "gemma-27b", "llama-8b"}

// largeTable returns the rows of a table of endpoints, with entries of some 450 bytes.
func largeTable(count int) fleet.Rows {
	rows := fleet.Rows{At: fleet.Position{Era: 1, Version: int64(count)}}
	for i := range count {
		id := fmt.Sprintf("%x", sha256.Sum256(fmt.Append(nil, i)))
		model := largeModels[i%len(largeModels)]
		value := fmt.Sprintf(`{"service":"engine-%d","address":"10.%d.%d.%d:%d","zone":"zone-%d","version":"v1","slots":%d,"state":"ready","cold_remaining_ms":0,"born":%d,"sequence":%d,`+
			`"domain":"rack-%d","staged":[%q,%q],"models":[{"name":%q}],"group":{"name":"group-%s","epoch":%d,"rank":%d,"state":"member"}}`,
			i%7, i>>16, i>>8&255, i&255, 20000+i%1000, i%3, i%16, 1796540000000+i*7919, i*31, i%400, model, largeModels[i*3%len(largeModels)], model, id[24:40], i%97, i%8)
		rows.Rows = append(rows.Rows, fleet.Row{Key: "engine-" + id[:20], Value: fmt.Appendf(nil, "%-450s", value), Version: int64(i + 1)})
	}
	return rows
}

// The limits of answers must let through the tables of the largest deployment, and ten times that.
func TestListsOfTenTimesTheLargestDeploymentAreRead(t *testing.T) {
	for _, count := range []int{360, 1300, 3600, 13000} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			o, client, address := serve(t)
			rows := largeTable(count)
			o.mirror.ApplyList(time.Now(), rows)
			idle := platformtest.LiveHeap()
			most := platformtest.MostHeap(t, 1, func(int) {
				answer, err := client.List(t.Context(), address, "t")
				require.NoError(t, err)
				require.Len(t, answer.Rows.Rows, count)
			})
			t.Logf("it took %d KiB with the node that sends it", (int64(most)-int64(idle))>>10)
			answer, err := client.List(t.Context(), address, "t")
			require.NoError(t, err)
			require.ElementsMatch(t, withTable(rows.Rows, "t"), answer.Rows.Rows)
			changed := largeTable(count)
			changed.At.Version = 2 * int64(count)
			for i := range changed.Rows {
				changed.Rows[i].Version += int64(count)
			}
			o.mirror.ApplyChanges(time.Now(), rows.At, changed)
			answer, err = client.Changes(t.Context(), address, "t", rows.At, time.Second)
			require.NoError(t, err)
			require.ElementsMatch(t, withTable(changed.Rows, "t"), answer.Rows.Rows)
		})
	}
}

func withTable(rows []fleet.Row, table string) []fleet.Row {
	out := make([]fleet.Row, 0, len(rows))
	for _, row := range rows {
		row.Table = table
		out = append(out, row)
	}
	return out
}

// A list whose connection ends before its length must not look whole.
func TestListThatIsCutOffIsNoAnswer(t *testing.T) {
	for form, begin := range map[string]string{
		"length": "HTTP/1.1 200 OK\r\nContent-Type: application/protobuf\r\nContent-Length: 100\r\n\r\n",
		"chunks": "HTTP/1.1 200 OK\r\nContent-Type: application/protobuf\r\nTransfer-Encoding: chunked\r\n\r\n",
	} {
		t.Run(form, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := w.(http.Hijacker).Hijack()
				if err != nil {
					return
				}
				_, _ = io.WriteString(conn, begin) // the test checks what the client read
				_ = conn.Close()
			}))
			t.Cleanup(server.Close)
			_, err := neighbor.NewClient().List(t.Context(), server.Listener.Addr().String(), "t")
			require.Error(t, err)
		})
	}
}
