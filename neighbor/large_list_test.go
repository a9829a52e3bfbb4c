package neighbor_test

import (
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

// The limits of answers must let through the tables of the largest deployment, and ten times that.
func TestListsOfTenTimesTheLargestDeploymentAreRead(t *testing.T) {
	for _, count := range []int{360, 1300, 3600, 13000} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			o, client, address := serve(t)
			rows := platformtest.LargeTable(count)
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
			changed := platformtest.LargeTable(count)
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
