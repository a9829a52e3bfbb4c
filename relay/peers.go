package relay

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"redwinghall"
	"redwinghall/fleet"
)

// Peer is a node that another one can ask.
type Peer struct {
	Name    string
	Address string
	// Capacity is the class of the node's VM: a higher one bears more.
	Capacity int
}

// Role is work that one node of a zone does for all.
type Role string

// The duties.
const (
	// Reader is to read the store for the zone, and to form its groups.
	Reader Role = "reading"
	// Dispatcher is to gather the loads of the zone's nodes, to choose groups for
	// their streams, and to speak for the zone to others.
	Dispatcher Role = "dispatching"
)

// reader returns the node to ask. There is none where this node is the reader
// itself.
func (s *Source) reader(now time.Time) (Peer, bool) {
	peers := s.config.Peers()
	if len(peers) <= maxDirectReaders {
		return Peer{}, false
	}
	one, ok := s.avoided.FirstAvailable(now, leaderFirst(RankPeers(peers, Reader), s.config.Leader()))
	if one.Name == s.config.Self {
		return Peer{}, false
	}
	return one, ok
}

// helper returns a node to ask for help: of this zone first, then of others.
func (s *Source) helper(now time.Time) (Peer, bool) {
	for _, group := range [][]Peer{s.config.Peers(), s.config.RemotePeers()} {
		for _, one := range RankPeers(group, Reader) {
			if one.Name != s.config.Self && !s.avoided.InBackoff(now, one.Name) {
				return one, true
			}
		}
	}
	return Peer{}, false
}

// avoidIfAway avoids a node that doesn't reach a store that others may reach.
func (s *Source) avoidIfAway(reader Peer, asked error) {
	if redwinghall.KindOf[fleet.StoreKind](asked) == fleet.StoreUnreachable {
		s.avoided.RecordFailure(time.Now(), reader.Name)
	}
}

// leaderFirst moves the leader of a zone to the front.
func leaderFirst(peers []Peer, leader string) []Peer {
	for i, one := range peers {
		if one.Name == leader {
			copy(peers[1:i+1], peers[:i])
			peers[0] = one
			break
		}
	}
	return peers
}

// RankPeers returns nodes in the order in which they are to bear a duty. All nodes
// agree on it, and it doesn't change for those that stay when others come and
// go: the VMs that bear most go first, and among VMs of a class the two duties go
// from opposite ends.
//
// Guard: most VMs of a zone may be small ones, and a hash alone mostly puts one of
// them first. Its link and processor then serve its callers late, and whoever waits for
// its word.
func RankPeers(peers []Peer, duty Role) []Peer {
	ranked := append([]Peer(nil), peers...)
	sort.Slice(ranked, func(i, j int) bool { return PreferredFor(ranked[i], ranked[j], duty) })
	return ranked
}

// PreferredFor reports whether a node is to bear a duty rather than another one.
func PreferredFor(a, b Peer, duty Role) bool {
	switch {
	case a.Capacity != b.Capacity:
		return a.Capacity > b.Capacity
	case duty == Dispatcher:
		return rank(a) < rank(b)
	}
	// In the opposite order, so that no VM of a class bears both while there is another one.
	return rank(a) > rank(b)
}

func rank(p Peer) uint64 { return xxhash.Sum64String(p.Name) }
