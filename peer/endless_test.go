package peer_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/kernel"
	"redwinghall/peer"
	"redwinghall/platform/platformtest"
)

const (
	// endlessSent is how much a peer sends of an answer that it never ends, endlessSockets how much of that may be in the
	// buffers of sockets, and endlessRead how much may be read.
	endlessSent    = 48 << 20
	endlessSockets = 8 << 20
	endlessRead    = 16 << 20
	endlessMemory  = 10 << 20
	endlessTime    = 400 * time.Millisecond
	// emptyParts is how many empty parts an answer has that is well within the limit.
	emptyParts = 1 << 20
)

// A peer that sends bytes without end instead of an answer, or stops in the middle of one, took the memory of all that
// exchanged with it.
func TestAnswersOfPeersWithoutEndTakeBoundedMemory(t *testing.T) {
	for form, endless := range platformtest.EndlessForms(endlessSent) {
		t.Run(form, func(t *testing.T) { requireBoundedMemory(t, endless) })
	}
	for form, endless := range platformtest.EndlessForms(endlessRead - 1<<10) {
		t.Run(form+" that stops", func(t *testing.T) { requireBoundedMemory(t, endless) })
	}
	others := platformtest.EndlessForms(longAnswer - 1<<10)
	for form, endless := range platformtest.EndlessForms(longAnswer - 1<<10) {
		t.Run(form+" of two peers that stops within the limit", func(t *testing.T) { requireBoundedMemory(t, endless, others[form]) })
	}
}

// requireBoundedMemory lets a process exchange with peers that send endless bytes.
func requireBoundedMemory(t *testing.T, endless *platformtest.Endless, others ...*platformtest.Endless) {
	t.Helper()
	var seeds []peer.Member
	for i, e := range append([]*platformtest.Endless{endless}, others...) {
		e.Listen(t)
		seeds = append(seeds, peer.Member{ID: fmt.Sprint("b", i), AvailabilityZone: "tartu", Program: peer.Router, Address: e.Address})
	}
	n := node("a", seeds...)
	n.Interval = endlessTime
	idle := platformtest.LiveHeap()
	g := kernel.NewGroup(t.Context())
	n.Run(g, time.Now())
	most := platformtest.MostHeap(t, 1, func(int) { kernel.Sleep(t.Context(), 2*endlessTime) })
	g.Stop()
	require.NoError(t, g.Wait())
	t.Logf("%d answers took %d KiB, the largest %d KiB", endless.Requests.Load(), (int64(most)-int64(idle))>>10, endless.Largest.Load()>>10)
	require.Positive(t, endless.Requests.Load())
	require.LessOrEqual(t, most, idle+endlessMemory)
	require.LessOrEqual(t, endless.Largest.Load(), int64(endlessRead+endlessSockets))
}

// A peer's answer of empty registers took a hundred times its size.
func TestAnswerOfEmptyPartsTakesBoundedMemory(t *testing.T) {
	const emptyEntry, emptyHealth, emptyMark, group = "\x12\x00", "\x1a\x00", "\x22\x00", "\x7b\x7c"
	for name, part := range map[string]string{"entries": emptyEntry, "health": emptyHealth, "marks": emptyMark, "entries behind a group": emptyEntry} {
		t.Run(name, func(t *testing.T) {
			body := []byte(strings.Repeat(part, emptyParts))
			if strings.HasSuffix(name, "behind a group") {
				body = append([]byte(group), body...)
			}
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body) // what is left unread would reset the connection
				w.Header().Set("Content-Type", "application/protobuf")
				_, _ = w.Write(body) // the test checks what the client read
			}))
			t.Cleanup(server.Close)
			n := node("a", peer.Member{ID: "b", AvailabilityZone: "tartu", Program: peer.Router, Address: server.Listener.Addr().String()})
			allocated := platformtest.Allocated(t, 1, func(int) { n.FetchHealth(t.Context(), time.Now()) })
			t.Logf("an answer of %d KiB allocated %d KiB", len(body)>>10, allocated>>10)
			require.LessOrEqual(t, allocated, uint64(endlessMemory))
		})
	}
}
