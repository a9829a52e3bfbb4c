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

func TestPeerRequiresToken(t *testing.T) {
	server := httptest.NewServer(node("a").Handler())
	defer server.Close()
	response, err := http.Post(server.URL+rpc.PeerPathPrefix+"Exchange", "application/protobuf", nil)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusForbidden, response.StatusCode)
}

// zone starts routers that are seeds of each other and returns them.
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

// A change, the health of a group and a broken group reach every router, whichever
// router they come from.
func TestHealthReachesEveryRouter(t *testing.T) {
	nodes := zone(t, 9)
	nodes[4].Publish(peer.Entry{Key: peer.KeyGroup("tartu", "g"), Number: 1, Value: []byte(`{}`)})
	eventually(t, "every router holds the register", func() bool {
		for _, n := range nodes {
			if _, ok := n.Store.Get(peer.KeyGroup("tartu", "g")); !ok {
				return false
			}
		}
		return true
	})
	health := redwinghall.GroupHealth{Group: "g", Generation: 1, Ready: true, SeenAt: time.Now()}
	nodes[8].Observe(health)
	eventually(t, "every router has the group as ready", func() bool { return allHave(nodes, func(h redwinghall.GroupHealth) bool { return h.Ready }) })
	health.Broken = true
	nodes[5].Observe(health)
	eventually(t, "every router has the group as broken", func() bool {
		return allHave(nodes, func(h redwinghall.GroupHealth) bool { return h.Broken })
	})
}

func allHave(nodes []*peer.Node, expected func(redwinghall.GroupHealth) bool) bool {
	for _, n := range nodes {
		h, ok := n.Health.Get("g")
		if !ok || !expected(h) {
			return false
		}
	}
	return true
}

// A large register that several peers offer is requested once, and again only if
// it does not arrive. At 8,000 changes of a manifest a day, a copy from each of
// several peers would use up the whole byte budget. The test offers the same
// register three times; the first peer never sends it.
func TestLargeRegisterIsRequestedOnce(t *testing.T) {
	n := node("a")
	now := time.Date(2026, 1, 14, 5, 0, 0, 0, time.UTC)
	offer := []peer.Mark{{Key: peer.KeyManifest, Number: 7}}
	require.Equal(t, []string{peer.KeyManifest}, n.AcceptOffers(now, offer))
	require.Empty(t, n.AcceptOffers(now.Add(time.Millisecond), offer), "already requested")
	require.Equal(t, []string{peer.KeyManifest}, n.AcceptOffers(now.Add(time.Second), offer), "the request has timed out")
	n.Store.Apply(peer.Entry{Key: peer.KeyManifest, Number: 7})
	require.Empty(t, n.AcceptOffers(now.Add(time.Minute), offer), "already held")
	require.Empty(t, n.AcceptOffers(now.Add(time.Minute), []peer.Mark{{Key: peer.KeyManifest, Number: 6}}), "older than the entry held")
}

func TestLargeRegisterReachesEveryRouter(t *testing.T) {
	nodes := zone(t, 9)
	nodes[2].Publish(peer.Entry{Key: peer.KeyManifest, Number: 1, Value: make([]byte, 1<<20)})
	eventually(t, "every router holds the register", func() bool {
		for _, n := range nodes {
			if e, ok := n.Store.Get(peer.KeyManifest); !ok || len(e.Value) != 1<<20 {
				return false
			}
		}
		return true
	})
}

// Health must still reach every router when the root of the rounds is gone.
func TestRoundsContinueWithoutRoot(t *testing.T) {
	nodes := zone(t, 5)
	seeds := nodes[1].Members("tartu")
	dead := peer.Member{ID: "A", AvailabilityZone: "tartu", Program: peer.Router, Address: "127.0.0.1:1"} // sorts before "a"
	for _, n := range nodes {
		n.Publish(peer.Entry{Key: peer.KeyMember("tartu", dead.ID), Number: 1, Value: []byte(`{"id":"A","availability_zone":"tartu","program":"router","address":"127.0.0.1:1"}`)})
	}
	require.Len(t, seeds, 5)
	nodes[0].Publish(peer.Entry{Key: peer.KeyGroup("tartu", "g"), Number: 1, Value: []byte(`{}`)})
	nodes[3].Observe(redwinghall.GroupHealth{Group: "g", Generation: 1, Ready: true, SeenAt: time.Now()})
	eventually(t, "every router has the group as ready", func() bool { return allHave(nodes, func(h redwinghall.GroupHealth) bool { return h.Ready }) })
}

// FuzzExchange sends arbitrary bytes as an exchange request.
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
			t.Fatal("a register was replaced by an older one")
		}
	})
}
