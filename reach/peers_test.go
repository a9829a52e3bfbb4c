package reach_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/reach"
	"redwinghall/relay"
)

func zoneOf(zone string, nodes int) reach.ZonePeers {
	z := reach.ZonePeers{Zone: zone}
	for i := range nodes {
		z.Peers = append(z.Peers, relay.Peer{Name: fmt.Sprintf("%s-%d", zone, i)})
	}
	return z
}

// play sends requests by way of peers, of which parted ones refuse. It returns how many were
// carried, how many nodes were asked in all, and the most that one node carried.
func play(peers *reach.Peers, own reach.ZonePeers, others []reach.ZonePeers, parted func(string) bool, requests int) (carried, asked, most int) {
	const interval, duration = 20 * time.Millisecond, 400 * time.Millisecond
	byNode := map[string]int{}
	type running struct {
		until time.Duration
		end   func()
	}
	var inProgress []running
	for i := range requests {
		now := time.Duration(i) * interval
		for len(inProgress) > 0 && inProgress[0].until <= now {
			inProgress[0].end()
			inProgress = inProgress[1:]
		}
		var tried []reach.Peer
		for len(tried) < reach.MaxPeersAsked {
			peer, ok := peers.Choose(after(now), "llm", own, others, tried)
			if !ok {
				break
			}
			asked++
			tried = append(tried, peer)
			if parted(peer.Name) {
				continue
			}
			carried++
			byNode[peer.Name]++
			inProgress = append(inProgress, running{now + duration, peers.Begin(peer.Name)})
			peers.Succeeded(after(now), "llm", peer)
			for _, one := range tried[:len(tried)-1] {
				peers.FailedToForward(after(now), "llm", one)
			}
			break
		}
	}
	for _, count := range byNode {
		most = max(most, count)
	}
	return carried, asked, most
}

// Many nodes are parted. The others must carry the requests of a parted one, without one of them
// carrying all, and without most of the nodes being asked for each request.
func TestPeersCarryRequestsOfPartedNodes(t *testing.T) {
	const requests = 500
	for name, c := range map[string]struct {
		zones  []int // nodes by zone, the own zone first
		parted func(node string) bool
		least  float64 // share of the requests that must be carried
		most   float64 // share that one node may carry
		asked  float64 // nodes asked for each request
	}{
		"3 nodes, one parted":          {[]int{2, 1}, func(string) bool { return false }, 1, 1, 1},
		"8 nodes, the own zone parted": {[]int{2, 3, 2}, func(n string) bool { return n[0] == 'a' }, 0.95, 0.5, 1.5},
		"8 nodes, 7 parted":            {[]int{2, 3, 2}, func(n string) bool { return n != "c-1" }, 0.95, 1, 3},
		"74 nodes, the own zone":       {[]int{24, 25, 24}, func(n string) bool { return n[0] == 'a' }, 0.95, 0.1, 1.5},
		"300 nodes, 90 parted": {[]int{60, 60, 60, 60, 60}, func(n string) bool {
			var i int
			_, _ = fmt.Sscanf(n[2:], "%d", &i) // the name always matches
			return i%10 < 3
		}, 0.95, 0.05, 1.5},
	} {
		t.Run(name, func(t *testing.T) {
			own := zoneOf("a", c.zones[0])
			var others []reach.ZonePeers
			for i, nodes := range c.zones[1:] {
				others = append(others, zoneOf(string(rune('b'+i)), nodes))
			}
			carried, asked, most := play(reach.NewPeers(), own, others, c.parted, requests)
			require.GreaterOrEqual(t, float64(carried), c.least*requests)
			require.LessOrEqual(t, float64(most), c.most*requests)
			require.LessOrEqual(t, float64(asked), c.asked*requests)
		})
	}
}

// Two nodes are both parted and each takes the other for sound. Both must stop asking each other.
func TestPartedPeersAreNotAskedOverAndOver(t *testing.T) {
	peers := reach.NewPeers()
	own := zoneOf("a", 1)
	asked := 0
	for now := time.Duration(0); now < 10*time.Second; now += 50 * time.Millisecond {
		if peer, ok := peers.Choose(after(now), "llm", own, nil, nil); ok {
			asked++
			peers.FailedToForward(after(now), "llm", peer)
		}
	}
	require.LessOrEqual(t, asked, 6)
}

// A node that was passed over must be asked again if all others have failed a request: it may be the
// only one that reaches the endpoints by now.
func TestPausedNodeIsAskedIfAllOthersFailed(t *testing.T) {
	now := time.Now()
	p := reach.NewPeers()
	paused := reach.Peer{Peer: relay.Peer{Name: "b-1"}, Zone: "b"}
	other := reach.Peer{Peer: relay.Peer{Name: "a-1"}, Zone: "a"}
	for range 3 {
		p.FailedToForward(now, "llm", paused)
		now = now.Add(time.Second)
	}
	own, others := reach.ZonePeers{Zone: "b", Peers: []relay.Peer{paused.Peer}}, []reach.ZonePeers{{Zone: "a", Peers: []relay.Peer{other.Peer}}}
	first, ok := p.Choose(now, "llm", own, others, nil)
	require.True(t, ok)
	require.Equal(t, other, first)
	last, ok := p.Choose(now, "llm", own, others, []reach.Peer{other})
	require.True(t, ok, "no node is left to ask")
	require.Equal(t, paused, last)
}

// All nodes were parted, and some reach the endpoints again. Requests of a node that is still parted
// must be carried within a second, though it passes over the others, and it must not ask each of
// them over and over.
func TestReturnedNodesAreFound(t *testing.T) {
	const interval, returned, found, end = 50 * time.Millisecond, 10 * time.Second, time.Second, 15 * time.Second
	for name, c := range map[string]struct {
		zones []int // nodes by zone, the own zone first
		back  func(node string) bool
	}{
		"2 nodes":                 {[]int{1}, func(string) bool { return true }},
		"4 nodes, one back":       {[]int{1, 2}, func(n string) bool { return n == "b-1" }},
		"8 nodes, one back":       {[]int{2, 3, 2}, func(n string) bool { return n == "c-1" }},
		"74 nodes, one zone back": {[]int{24, 25, 24}, func(n string) bool { return n[0] == 'b' }},
	} {
		t.Run(name, func(t *testing.T) {
			own := zoneOf("a", c.zones[0])
			var others []reach.ZonePeers
			for i, nodes := range c.zones[1:] {
				others = append(others, zoneOf(string(rune('b'+i)), nodes))
			}
			peers := reach.NewPeers()
			asked, nodes := map[string]int{}, 0
			for _, z := range append([]reach.ZonePeers{own}, others...) {
				nodes += len(z.Peers)
			}
			ask := func(now time.Duration, choose func(time.Time, string, reach.ZonePeers, []reach.ZonePeers, []reach.Peer) (reach.Peer, bool)) bool {
				var tried []reach.Peer
				for len(tried) < reach.MaxPeersAsked {
					peer, ok := choose(after(now), "llm", own, others, tried)
					if !ok {
						return false
					}
					asked[peer.Name]++
					tried = append(tried, peer)
					if now >= returned && c.back(peer.Name) {
						peers.Succeeded(after(now), "llm", peer)
						return true
					}
					peers.FailedToForward(after(now), "llm", peer)
				}
				return false
			}
			for now := time.Duration(0); now < end; now += interval {
				carried := ask(now, peers.Choose)
				if !carried {
					ask(now, peers.ChooseToCheck)
				}
				if now >= returned+found {
					require.True(t, carried, now)
				}
				if now == returned {
					for name, times := range asked {
						require.LessOrEqual(t, times, int(2*returned/time.Second)+1, name)
					}
				}
			}
		})
	}
}
