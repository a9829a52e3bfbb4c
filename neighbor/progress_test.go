package neighbor_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"redwinghall/kernel"
	"redwinghall/neighbor"
	"redwinghall/neighbor/rpc"
)

// serveSlowly serves a list of 100 rows in parts, with a delay before each, and only the first parts
// of it if there are fewer than all. It returns the address.
func serveSlowly(t *testing.T, parts, sent int, delay time.Duration) string {
	t.Helper()
	list := &rpc.RowsResponse{Version: 7}
	for i := range 100 {
		list.Rows = append(list.Rows, &rpc.Row{Key: fmt.Sprint("i-", i), Value: []byte(strings.Repeat("x", 100)), Version: 1})
	}
	body, err := proto.Marshal(list)
	require.NoError(t, err)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	g := kernel.NewGroup(context.Background())
	t.Cleanup(func() { g.Stop(); require.NoError(t, g.Wait()) })
	g.Serve("slow", &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Type", "application/protobuf")
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		for i := range sent {
			kernel.Sleep(r.Context(), delay)
			_, _ = w.Write(body[i*len(body)/parts : (i+1)*len(body)/parts])
			_ = http.NewResponseController(w).Flush()
		}
		<-r.Context().Done()
	})}, l)
	return l.Addr().String()
}

// A node behind a slow link must get a large list in the end, however long it takes.
func TestListThatComesSlowlyIsRead(t *testing.T) {
	t.Parallel()
	address := serveSlowly(t, 10, 10, 300*time.Millisecond)
	list, err := neighbor.NewClient().List(t.Context(), address, "t")
	require.NoError(t, err)
	require.Len(t, list.Rows.Rows, 100)
}

// A node that stops in the middle of a list must be passed over as fast as one that sends nothing.
func TestListThatStopsIsGivenUp(t *testing.T) {
	t.Parallel()
	for _, sent := range []int{0, 5} {
		address := serveSlowly(t, 10, sent, 10*time.Millisecond)
		begun := time.Now()
		_, err := neighbor.NewClient().List(t.Context(), address, "t")
		require.Error(t, err)
		require.GreaterOrEqual(t, time.Since(begun), time.Second)
		require.Less(t, kernel.RunTime(begun, time.Now()), 2*time.Second)
	}
}
