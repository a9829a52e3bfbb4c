package relay

import (
	"math"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"redwinghall"
	"redwinghall/fleet"
)

// Peer is a node that other nodes can call.
type Peer struct {
	Name    string
	Address string
	// Capacity is the class of the node's VM; a higher class can take more load.
	Capacity int
}

// Role is a task that one node of a zone performs for the whole zone.
type Role string

// The roles.
const (
	// Reader reads the store for the zone and forms the zone's groups.
	Reader Role = "reading"
	// Dispatcher collects the loads of the zone's nodes, chooses groups for their
	// streams and represents the zone to other zones.
	Dispatcher Role = "dispatching"
)

// reader returns the node from which to read. It returns none if this node reads
// the store itself.
func (s *Source) reader(now time.Time) (Peer, bool) {
	peers := s.config.Peers()
	if len(peers) <= maxDirectReaders {
		return Peer{}, false
	}
	peer, ok := s.backoff.FirstAvailable(now, s.readers(peers))
	if peer.Name == s.config.Self {
		return Peer{}, false
	}
	return peer, ok
}

// readers returns the nodes from which this one reads, in order of preference.
//
// The answers to all nodes of a large zone would take more of its reader's network link than a small VM has. So the
// nodes that are next in the order, some relays, read from it, and the other nodes from one of these each.
func (s *Source) readers(peers []Peer) []Peer {
	ranked := leaderFirst(RankPeers(peers, Reader), s.config.Leader())
	relays, self := relayCount(len(peers)), s.place(ranked)
	if self <= relays || relays == 0 {
		return ranked
	}
	first := 1 + self%relays
	return slices.Concat(ranked[first:1+relays], ranked[1:first], ranked[:1], ranked[1+relays:])
}

// place returns the place of this node in an order, -1 if it isn't in it.
func (s *Source) place(ranked []Peer) int {
	return slices.IndexFunc(ranked, func(p Peer) bool { return p.Name == s.config.Self })
}

// relayCount returns how many nodes of a zone pass on what they read from its reader. The reader and each of them
// have about as many nodes to tell.
func relayCount(nodes int) int {
	if nodes <= maxWithoutRelays {
		return 0
	}
	return int(math.Sqrt(float64(nodes)))
}

// peerWait returns how long a call for changes may wait at another node.
//
// Nodes that read from this one need a copy that isn't stale, and what it reads is as old as the reader's copy.
func (s *Source) peerWait(now time.Time, table string, wait time.Duration) time.Duration {
	peers := s.config.Peers()
	relays := relayCount(len(peers))
	if relays == 0 || s.place(leaderFirst(RankPeers(peers, Reader), s.config.Leader())) > relays {
		return min(wait, peerWait)
	}
	return max(0, min(wait, peerWait, confirmAfter-s.Mirror(table).age(now)))
}

// fallbackPeer returns a node to call when this node cannot reach the store: one of
// this zone if possible, else one of another zone, and never the one that was asked already.
func (s *Source) fallbackPeer(now time.Time, asked string) (Peer, bool) {
	for _, peers := range [][]Peer{s.config.Peers(), s.config.RemotePeers()} {
		for _, peer := range RankPeers(peers, Reader) {
			if peer.Name != s.config.Self && peer.Name != asked && !s.backoff.InBackoff(now, peer.Name) {
				return peer, true
			}
		}
	}
	return Peer{}, false
}

// recordUnreachable puts a reader in backoff if it reported that it cannot reach the
// store, since other nodes may still reach it.
func (s *Source) recordUnreachable(reader Peer, readerErr error) {
	if redwinghall.KindOf[fleet.StoreKind](readerErr) == fleet.StoreUnreachable {
		s.backoff.RecordFailure(time.Now(), reader.Name)
	}
}

// recordReader is recordUnreachable for a reader whose rows this node has read from the store itself. When the store
// has just returned, the reader is the one through which all nodes notice that.
func (s *Source) recordReader(now time.Time, reader Peer, readerErr error) {
	s.mu.Lock()
	regaining := now.Sub(s.regainedAt) < regainTime
	s.mu.Unlock()
	if !regaining {
		s.recordUnreachable(reader, readerErr)
	}
}

// leaderFirst moves the leader of a zone to the front of peers, in place.
func leaderFirst(peers []Peer, leader string) []Peer {
	for i, peer := range peers {
		if peer.Name == leader {
			copy(peers[1:i+1], peers[:i])
			peers[0] = peer
			break
		}
	}
	return peers
}

// RankPeers returns the nodes in order of preference for a role. All nodes compute
// the same order, and nodes that join or leave don't change the order of the rest:
// VMs of the highest class come first, and within a class the two roles use
// opposite orders.
//
// Most VMs of a zone may be small ones, and a hash alone would usually put one of
// them first. Its network link and CPU would then delay the node's own callers and
// every node that waits for its answers.
func RankPeers(peers []Peer, role Role) []Peer {
	ranked := append([]Peer(nil), peers...)
	sort.Slice(ranked, func(i, j int) bool { return PreferredFor(ranked[i], ranked[j], role) })
	return ranked
}

// PreferredFor reports whether a comes before b in the order of preference for a role.
func PreferredFor(a, b Peer, role Role) bool {
	switch {
	case a.Capacity != b.Capacity:
		return a.Capacity > b.Capacity
	case role == Dispatcher:
		return rank(a) < rank(b)
	}
	// Opposite order, so that no VM has both roles while there is another one of its class.
	return rank(a) > rank(b)
}

func rank(p Peer) uint64 { return xxhash.Sum64String(p.Name) }
