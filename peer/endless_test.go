package peer_test

import (
	"fmt"
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
