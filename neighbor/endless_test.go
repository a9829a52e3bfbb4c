package neighbor_test

import (
	"bytes"
	"compress/flate"
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"redwinghall/balance"
	"redwinghall/fleet"
	"redwinghall/kernel"
	"redwinghall/neighbor"
	"redwinghall/neighbor/rpc"
	"redwinghall/platform/platformtest"
)

const (
	// endlessSent is how much a node sends of an answer that it never ends.
	endlessSent = 20 << 20
	// endlessSockets is how much of that may be in the buffers of sockets.
	endlessSockets = 8 << 20
	endlessMemory  = 10 << 20
	endlessTime    = 3 * time.Second
)

// endlessCalls is how many answers come at once of calls that many requests make.
const endlessCalls = 200

// peerCall is a call to other nodes.
type peerCall struct {
	atOnce int
	most   int64
	call   func(ctx context.Context, c *neighbor.Client, address string) error
}

// peerCalls are the calls to other nodes, with how many a node makes at once and the largest answer that is read.
var peerCalls = map[string]peerCall{
	"Reserve": {endlessCalls, 16 << 10, func(ctx context.Context, c *neighbor.Client, address string) error {
		_, err := c.Reserve(ctx, address, fleet.PlacementRequest{}, neighbor.StreamReport{})
		return err
	}},
	"Permit": {endlessCalls, 16 << 10, func(ctx context.Context, c *neighbor.Client, address string) error {
		_, err := c.Permit(ctx, address, "z", balance.LimitReport{})
		return err
	}},
	"Commit": {endlessCalls, 16 << 10, func(ctx context.Context, c *neighbor.Client, address string) error {
		_, err := c.Commit(ctx, address, fleet.Txn{})
		return err
	}},
	"Suspect": {endlessCalls, 16 << 10, func(ctx context.Context, c *neighbor.Client, address string) error {
		return c.Suspect(ctx, address, "e")
	}},
	"SuspectGroup": {endlessCalls, 16 << 10, func(ctx context.Context, c *neighbor.Client, address string) error {
		_, err := c.SuspectGroup(ctx, address, "e")
		return err
	}},
	"Lend": {4, 768 << 10, func(ctx context.Context, c *neighbor.Client, address string) error {
		_, err := c.Lend(ctx, address, "z", nil)
		return err
	}},
	"Share": {4, 768 << 10, func(ctx context.Context, c *neighbor.Client, address string) error {
		_, err := c.Share(ctx, address, neighbor.LoadReport{})
		return err
	}},
	"ShareZone": {4, 768 << 10, func(ctx context.Context, c *neighbor.Client, address string) error {
		_, err := c.ShareZone(ctx, address, neighbor.ZoneReport{})
		return err
	}},
	"List": {3, 1400 << 10, func(ctx context.Context, c *neighbor.Client, address string) error {
		_, err := c.List(ctx, address, "t")
		return err
	}},
	"Changes": {3, 1400 << 10, func(ctx context.Context, c *neighbor.Client, address string) error {
		_, err := c.Changes(ctx, address, "t", fleet.Position{}, time.Second)
		return err
	}},
}

// A node that sends bytes without end instead of an answer, or stops in the middle of one, took the memory of all nodes
// that had called it.
func TestAnswersOfNodesWithoutEndTakeLittleMemory(t *testing.T) {
	for name, c := range peerCalls {
		for form, endless := range platformtest.EndlessForms(endlessSent) {
			t.Run(name+"/"+form, func(t *testing.T) { requireLittleMemory(t, c, endless) })
		}
		for form, endless := range platformtest.EndlessForms(c.most - 1<<10) {
			if slices.Contains([]string{"a body", "a body in chunks", "an error"}, form) {
				t.Run(name+"/"+form+" that stops", func(t *testing.T) { requireLittleMemory(t, c, endless) })
			}
		}
	}
}

// requireLittleMemory makes calls at once to a node that sends endless bytes.
func requireLittleMemory(t *testing.T, c peerCall, endless *platformtest.Endless) {
	t.Helper()
	endless.Listen(t)
	client := neighbor.NewClient()
	fail := func(int) { require.Error(t, c.call(t.Context(), client, endless.Address)) }
	idle := platformtest.LiveHeap()
	begun := time.Now()
	most := platformtest.MostHeap(t, c.atOnce, fail)
	require.Less(t, kernel.RunTime(begun, time.Now()), endlessTime)
	t.Logf("%d answers took %d KiB, the largest %d KiB", endless.Requests.Load(), (int64(most)-int64(idle))>>10, endless.Largest.Load()>>10)
	require.Positive(t, endless.Requests.Load())
	require.LessOrEqual(t, most, idle+endlessMemory)
	if c.atOnce < endlessCalls {
		allocated := platformtest.Allocated(t, c.atOnce, fail)
		t.Logf("%d calls allocated %d KiB", c.atOnce, allocated>>10)
		require.LessOrEqual(t, allocated, uint64(endlessMemory), "they are too short for measurements")
	}
	require.Eventually(t, func() bool { return endless.Largest.Load() > 0 }, time.Second, 10*time.Millisecond)
	require.LessOrEqual(t, endless.Largest.Load(), c.most+endlessSockets)
}

// growingList returns a list that is small as it travels, and has size bytes after that.
func growingList(t *testing.T, size int) []byte {
	t.Helper()
	var rows rpc.RowsResponse
	for range size / growingRow {
		rows.Rows = append(rows.Rows, &rpc.Row{Key: "k", Value: make([]byte, growingRow), Version: 1})
	}
	plain, err := proto.Marshal(&rows)
	require.NoError(t, err)
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.BestSpeed)
	require.NoError(t, err)
	_, err = w.Write(plain)
	require.NoError(t, errors.Join(err, w.Close()))
	body, err := proto.Marshal(&rpc.RowsResponse{Packed: packed.Bytes()})
	require.NoError(t, err)
	return body
}

const (
	growingRow   = 64 << 10
	growingLists = 3 // a node reads as many tables
)

// A list of a few compressed bytes took more memory than the smallest VM has.
func TestListThatGrowsWithoutEndTakesBoundedMemory(t *testing.T) {
	body := growingList(t, 60<<20)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/protobuf")
		_, _ = w.Write(body) // the test checks what the client read
	}))
	t.Cleanup(server.Close)
	client := neighbor.NewClient()
	var failed atomic.Int32
	allocated := platformtest.Allocated(t, growingLists, func(int) {
		if _, err := client.List(t.Context(), server.Listener.Addr().String(), "t"); err != nil {
			failed.Add(1)
		}
	})
	t.Logf("%d lists of %d KiB allocated %d KiB", growingLists, len(body)>>10, allocated>>10)
	require.LessOrEqual(t, allocated, uint64(endlessMemory))
	require.EqualValues(t, growingLists, failed.Load(), "none may look whole")
}

// A list that brings a few bytes now and then, and never ends, was read for ever, and no other node was asked.
func TestListThatTricklesWithoutEndIsGivenUp(t *testing.T) {
	for form, begin := range map[string]string{"a body": platformtest.EndlessBody, "an error": platformtest.EndlessError} {
		t.Run(form, func(t *testing.T) {
			t.Parallel()
			endless := &platformtest.Endless{Begin: begin, Repeat: "x", Pause: 50 * time.Millisecond, Most: trickleBytes}
			endless.Listen(t)
			begun := time.Now()
			_, err := neighbor.NewClient().List(t.Context(), endless.Address, "t")
			require.Error(t, err)
			require.Less(t, kernel.RunTime(begun, time.Now()), 2*time.Second)
		})
	}
}

// trickleBytes take 5 s to send.
const trickleBytes = 100
