package peer_test

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"redwinghall"
	"redwinghall/kernel"
	"redwinghall/peer"
	"redwinghall/peer/rpc"
)

const token = "peer-token-01234567"

func node(id string, seeds ...peer.Member) *peer.Node {
	return peer.NewNode(peer.Member{ID: id, AvailabilityZone: "tartu", Program: peer.Router, Address: "127.0.0.1:1"}, seeds, token)
}

func TestPeerNeedsItsToken(t *testing.T) {
	server := httptest.NewServer(node("a").Handler())
	defer server.Close()
	response, err := http.Post(server.URL+rpc.PeerPathPrefix+"Exchange", "application/protobuf", nil)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusForbidden, response.StatusCode)
}

// zone starts routers that know each other and returns them.
func zone(t *testing.T, count int) []*peer.Node {
	t.Helper()
	handlers := make([]http.Handler, count)
	seeds := make([]peer.Member, count)
	for i := range count {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { handlers[i].ServeHTTP(w, r) }))
		t.Cleanup(server.Close)
		seeds[i] = peer.Member{ID: string(rune('a' + i)), AvailabilityZone: "tartu", Program: peer.Router,
			Address: server.Listener.Addr().String()}
	}
	nodes := make([]*peer.Node, count)
	for i := range count {
		nodes[i] = peer.NewNode(seeds[i], seeds, token)
		nodes[i].Interval = 20 * time.Millisecond
		nodes[i].HealthBound = time.Minute
		handlers[i] = nodes[i].Handler()
	}
	g := kernel.NewGroup(t.Context())
	t.Cleanup(func() { g.Stop(); _ = g.Wait() })
	for _, n := range nodes {
		n.Run(g, time.Now())
	}
	return nodes
}

func eventually(t *testing.T, what string, done func() bool) {
	t.Helper()
	require.Eventually(t, done, time.Minute, 5*time.Millisecond, what)
}

// Every router hears of a change and of a group's health, and of a group that
// broke, whichever router noticed it, also while the first router of the
// round does not answer.
func TestWordsReachEveryRouter(t *testing.T) {
	nodes := zone(t, 9)
	nodes[4].Publish(peer.Entry{Key: peer.KeyGroup("tartu", "g"), Number: 1, Value: []byte(`{}`)})
	eventually(t, "the register is everywhere", func() bool {
		for _, n := range nodes {
			if _, ok := n.Store.Get(peer.KeyGroup("tartu", "g")); !ok {
				return false
			}
		}
		return true
	})
	word := redwinghall.GroupHealth{Group: "g", Generation: 1, Ready: true, SeenAt: time.Now()}
	nodes[8].Observe(word)
	eventually(t, "the word is everywhere", func() bool { return everywhere(nodes, func(h redwinghall.GroupHealth) bool { return h.Ready }) })
	word.Broken = true
	nodes[5].Observe(word)
	eventually(t, "broken is known everywhere", func() bool {
		return everywhere(nodes, func(h redwinghall.GroupHealth) bool { return h.Broken })
	})
}

func everywhere(nodes []*peer.Node, holds func(redwinghall.GroupHealth) bool) bool {
	for _, n := range nodes {
		h, ok := n.Health.Get("g")
		if !ok || !holds(h) {
			return false
		}
	}
	return true
}

// At 8,000 changes of a manifest a day, a copy from each of several peers
// would spend the whole budget of bytes.
// Order: three peers offer the same news; one of them never sends it.
func TestLargeRegisterIsAskedForOnce(t *testing.T) {
	n := node("a")
	now := time.Date(2026, 1, 14, 5, 0, 0, 0, time.UTC)
	offer := []peer.Mark{{Key: peer.KeyManifest, Number: 7}}
	require.Equal(t, []string{peer.KeyManifest}, n.AcceptOffers(now, offer))
	require.Empty(t, n.AcceptOffers(now.Add(time.Millisecond), offer), "it is on its way")
	require.Equal(t, []string{peer.KeyManifest}, n.AcceptOffers(now.Add(time.Second), offer), "it did not come")
	n.Store.Apply(peer.Entry{Key: peer.KeyManifest, Number: 7})
	require.Empty(t, n.AcceptOffers(now.Add(time.Minute), offer), "it is held")
	require.Empty(t, n.AcceptOffers(now.Add(time.Minute), []peer.Mark{{Key: peer.KeyManifest, Number: 6}}), "it is older")
}

func TestLargeRegisterReachesEveryRouter(t *testing.T) {
	nodes := zone(t, 9)
	nodes[2].Publish(peer.Entry{Key: peer.KeyManifest, Number: 1, Value: make([]byte, 1<<20)})
	eventually(t, "the register is everywhere", func() bool {
		for _, n := range nodes {
			if e, ok := n.Store.Get(peer.KeyManifest); !ok || len(e.Value) != 1<<20 {
				return false
			}
		}
		return true
	})
}

// The first router of the rounds is gone; words must go on travelling.
func TestRoundsGoOnWithoutTheFirstRouter(t *testing.T) {
	nodes := zone(t, 5)
	seeds := nodes[1].Members("tartu")
	dead := peer.Member{ID: "A", AvailabilityZone: "tartu", Program: peer.Router, Address: "127.0.0.1:1"} // before "a" in the order
	for _, n := range nodes {
		n.Publish(peer.Entry{Key: peer.KeyMember("tartu", dead.ID), Number: 1, Value: []byte(`{"id":"A","availability_zone":"tartu","program":"router","address":"127.0.0.1:1"}`)})
	}
	require.Len(t, seeds, 5)
	nodes[0].Publish(peer.Entry{Key: peer.KeyGroup("tartu", "g"), Number: 1, Value: []byte(`{}`)})
	nodes[3].Observe(redwinghall.GroupHealth{Group: "g", Generation: 1, Ready: true, SeenAt: time.Now()})
	eventually(t, "the word is everywhere", func() bool { return everywhere(nodes, func(h redwinghall.GroupHealth) bool { return h.Ready }) })
}

// FuzzExchange sends any bytes as another process's state.
func FuzzExchange(f *testing.F) {
	good, err := proto.Marshal(&rpc.ExchangeRequest{From: "b", AvailabilityZone: "tartu", WantHealth: true,
		Entries: []*rpc.Entry{{Key: "az/tartu", Number: 2, Value: []byte("x")}},
		Health:  []*rpc.Health{{Group: 7, AgeMs: 1 << 31}}, Marks: []*rpc.Mark{{Key: "x", Number: 1}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	n := node("a")
	n.Store.Apply(peer.Entry{Key: "az/parnu", Number: 1 << 40, Value: []byte("out")})
	handler := n.Handler()
	f.Fuzz(func(t *testing.T, in []byte) {
		r := httptest.NewRequest(http.MethodPost, rpc.PeerPathPrefix+"Exchange", bytes.NewReader(in))
		r.Header.Set("Content-Type", "application/protobuf")
		r.Header.Set("Authorization", "Bearer "+token)
		handler.ServeHTTP(httptest.NewRecorder(), r)
		if e, _ := n.Store.Get("az/parnu"); e.Number < 1<<40 {
			t.Fatal("a register went back")
		}
	})
}
