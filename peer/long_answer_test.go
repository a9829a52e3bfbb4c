package peer_test

import (
	"fmt"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/kernel"
	"redwinghall/peer"
	"redwinghall/platform/platformtest"
)

const (
	// largestManifest is the largest that operators may send.
	largestManifest = 8 << 20
	longAnswer      = 9 << 20
	zoneGroups      = 400
	zoneMembers     = 100
	groupBytes      = 1 << 10
	memberBytes     = 200
	manyRegisters   = 20_000
	longInterval    = 3 * time.Second
	endpointBytes   = 400 << 10 // of the list of services
)

// fillStore stores the largest manifest and the other registers of a zone of the largest deployment.
func fillStore(n *peer.Node) {
	n.Store.Apply(peer.Entry{Key: peer.KeyManifest, Number: 1, Value: make([]byte, largestManifest)},
		peer.Entry{Key: peer.KeyServices("tartu"), Number: 1, Value: make([]byte, endpointBytes)})
	for i := range zoneGroups {
		n.Store.Apply(peer.Entry{Key: peer.KeyGroup("tartu", fmt.Sprintf("group-%036d", i)), Number: 1, Value: make([]byte, groupBytes)})
	}
	for i := range zoneMembers {
		n.Store.Apply(peer.Entry{Key: peer.KeyGateway(fmt.Sprintf("other-%036d", i)), Number: 1, Value: make([]byte, memberBytes)})
	}
}

// fullPeer returns a router that answers and starts no exchange, with the registers that fill stores.
func fullPeer(t *testing.T, id string, fill func(n *peer.Node)) peer.Member {
	t.Helper()
	n := node(id)
	fill(n)
	server := httptest.NewServer(n.Handler())
	t.Cleanup(server.Close)
	return peer.Member{ID: id, AvailabilityZone: "tartu", Program: peer.Router, Address: server.Listener.Addr().String()}
}

// requireAll requires that a node without registers gets all of those of its peers, and takes none of the
// sound ones for down.
func requireAll(t *testing.T, interval, within time.Duration, sound int, peers ...peer.Member) *peer.Node {
	t.Helper()
	n := node("a", peers...)
	g := kernel.NewGroup(t.Context())
	t.Cleanup(func() { g.Stop(); _ = g.Wait() })
	n.Interval = interval
	begun := time.Now()
	n.Run(g, begun)
	require.Eventually(t, func() bool {
		_, manifest := n.Store.Get(peer.KeyManifest)
		return manifest && len(n.Store.List(peer.PrefixGroups("tartu"))) == zoneGroups && len(n.Store.List("gateway/")) == zoneMembers
	}, within, 5*time.Millisecond)
	t.Logf("all registers are there after %v", time.Since(begun))
	require.GreaterOrEqual(t, len(n.Live(peer.Router)), 1+sound)
	return n
}

// The limit of answers must let through the largest manifest with all registers of the largest zone, of several peers.
func TestRegistersOfTheLargestZoneAreRead(t *testing.T) {
	requireAll(t, peer.DefaultInterval, 5*time.Second, 2, fullPeer(t, "b", fillStore), fullPeer(t, "c", fillStore))
}

// While a peer's long answer stood still, those of others waited until their exchanges had failed.
func TestAnswersThatStopDelayNoOthers(t *testing.T) {
	for form, endless := range platformtest.EndlessForms(longAnswer - 1<<10) {
		if !slices.Contains([]string{"a body", "a body in chunks"}, form) {
			continue
		}
		t.Run(form, func(t *testing.T) {
			endless.Listen(t)
			bad := peer.Member{ID: "b", AvailabilityZone: "tartu", Program: peer.Router, Address: endless.Address}
			requireAll(t, longInterval, 2*longInterval, 1, bad, fullPeer(t, "c", fillStore))
		})
	}
}

// Registers that one answer has no room for come with the next ones, and one without room in any keeps none back.
func TestRegistersThatFillSeveralAnswersAreRead(t *testing.T) {
	full := fullPeer(t, "b", func(n *peer.Node) {
		fillStore(n)
		n.Store.Apply(peer.Entry{Key: "second", Number: 1, Value: make([]byte, largestManifest)},
			peer.Entry{Key: "too large", Number: 1, Value: make([]byte, longAnswer)})
	})
	n := requireAll(t, peer.DefaultInterval, 10*time.Second, 1, full)
	require.Eventually(t, func() bool { _, ok := n.Store.Get("second"); return ok }, 10*time.Second, 5*time.Millisecond)
}

// Registers that are too many for one answer come with the next ones.
func TestManyRegistersAreRead(t *testing.T) {
	full := fullPeer(t, "b", func(n *peer.Node) {
		fillStore(n)
		for i := range manyRegisters {
			n.Store.Apply(peer.Entry{Key: fmt.Sprintf("small/%06d", i), Number: 1})
		}
	})
	n := requireAll(t, peer.DefaultInterval, 10*time.Second, 1, full)
	require.Eventually(t, func() bool { return len(n.Store.List("small/")) == manyRegisters }, 10*time.Second, 100*time.Millisecond)
}
