package neighbor_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/balance"
	"redwinghall/fleet"
	"redwinghall/kernel"
	"redwinghall/neighbor"
	"redwinghall/neighbor/rpc"
	"redwinghall/platform/platformtest"
	"redwinghall/quarantine"
)

const (
	requestsAtOnce = 200
	// requestTime is twice the longest that a node waits for an answer.
	requestTime = time.Second
)

// endlessRequest sends the head of a call and so many bytes of a body, and waits until the node closes the connection. It
// returns how many bytes were sent.
func endlessRequest(ctx context.Context, address, call string, most int) int {
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", address)
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(2 * (requestTime + endlessTime))) // the test fails then, and ends
	_, _ = fmt.Fprintf(conn, "POST %s%s HTTP/1.1\r\nHost: x\r\nContent-Type: application/protobuf\r\nTransfer-Encoding: chunked\r\n\r\n", rpc.NeighborPathPrefix, call)
	chunk := []byte("400\r\n" + strings.Repeat("\x0a\x00", 512) + "\r\n") // empty messages, each of which takes memory
	sent := 0
	for sent < most {
		n, err := conn.Write(chunk)
		sent += n
		if err != nil {
			return sent
		}
	}
	_, _ = io.Copy(io.Discard, conn) // until the node closes it
	return sent
}

// newEndlessServer returns the address of a node that answers calls.
func newEndlessServer(t *testing.T) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	g := kernel.NewGroup(context.Background())
	t.Cleanup(func() { g.Stop(); require.NoError(t, g.Wait()) })
	g.Serve("calls", &http.Server{ReadHeaderTimeout: time.Minute, Handler: neighbor.NewHandler(neighbor.ServerConfig{
		Loads: neighbor.NewLoadTable(), Tracker: balance.NewTracker(), Quarantine: quarantine.NewTable(),
		Commit: func(ctx context.Context, _ fleet.Txn) (fleet.Position, error) {
			kernel.Sleep(ctx, 3*requestTime/2)
			return fleet.Position{}, ctx.Err()
		},
	})}, l)
	return l.Addr().String()
}

// A node, or whatever else reaches the internal address, sends requests without end: each took all that came.
func TestRequestsWithoutEndTakeLittleMemory(t *testing.T) {
	for _, call := range []string{"List", "Changes", "Share", "Reserve", "Suspect", "SuspectGroup", "Permit", "Quarantine", "Trial", "Lend", "Commit"} {
		for _, most := range []int{30 << 10, 4 << 20} {
			t.Run(fmt.Sprintf("%s/%d", call, most), func(t *testing.T) {
				address := newEndlessServer(t)
				idle := platformtest.LiveHeap()
				begun := time.Now()
				held := platformtest.MostHeap(t, requestsAtOnce, func(int) { endlessRequest(t.Context(), address, call, most) })
				t.Logf("%d requests took %d KiB", requestsAtOnce, (int64(held)-int64(idle))>>10)
				require.LessOrEqual(t, held, idle+endlessMemory)
				require.Less(t, kernel.RunTime(begun, time.Now()), requestTime+endlessTime)
			})
		}
	}
}

// Reports without end took the room of calls for which callers wait.
func TestCallsBesideReportsWithoutEndAreAnswered(t *testing.T) {
	_, client, address := serve(t)
	g := kernel.NewGroup(t.Context())
	for range 50 {
		g.Go("send", func(ctx context.Context) error { endlessRequest(ctx, address, "Share", 700<<10); return nil })
	}
	for range 20 {
		require.NoError(t, client.Suspect(t.Context(), address, "e1"))
	}
	require.NoError(t, g.Wait())
}

// The time for the body of a request must not end the wait for its answer.
func TestCallMayWaitForLongerThanItsBodyMayTake(t *testing.T) {
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+newEndlessServer(t)+rpc.NeighborPathPrefix+"Commit", http.NoBody)
	require.NoError(t, err)
	r.Header.Set("Content-Type", "application/protobuf")
	begun := time.Now()
	response, err := http.DefaultTransport.RoundTrip(r)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Greater(t, time.Since(begun), requestTime)
}
