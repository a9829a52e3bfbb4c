package relay

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"redwinghall"
	"redwinghall/fleet"
)

// Peer is a node of the same zone.
type Peer struct {
	Name    string
	Address string
}

// reader returns the node to ask. There is none where this node is the reader
// itself.
func (s *Source) reader(now time.Time) (Peer, bool) {
	peers := s.config.Peers()
	if len(peers) <= maxDirectReaders {
		return Peer{}, false
	}
	order := leaderFirst(Ranked(peers), s.config.Leader())
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, one := range order {
		if one.Name == s.config.Self {
			return Peer{}, false
		}
		if now.After(s.avoidUntil[one.Name]) {
			return one, true
		}
	}
	return Peer{}, false
}

// helper returns a node to ask for help: of this zone first, then of others.
func (s *Source) helper(now time.Time) (Peer, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, group := range [][]Peer{s.config.Peers(), s.config.Others()} {
		for _, one := range Ranked(group) {
			if one.Name != s.config.Self && now.After(s.avoidUntil[one.Name]) {
				return one, true
			}
		}
	}
	return Peer{}, false
}

// backOff avoids a node that failed, longer each time.
func (s *Source) backOff(peer Peer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.backoff[peer.Name] = min(max(2*s.backoff[peer.Name], backoffFirst), backoffLongest)
	s.avoidUntil[peer.Name] = time.Now().Add(s.backoff[peer.Name])
}

// resetBackoff forgets that a node failed before.
func (s *Source) resetBackoff(peer Peer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.backoff, peer.Name)
}

// avoidIfAway avoids a node that doesn't reach a store that others may reach.
func (s *Source) avoidIfAway(reader Peer, asked error) {
	if redwinghall.KindOf[fleet.StoreKind](asked) == fleet.StoreAway {
		s.backOff(reader)
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

// Ranked returns nodes in an order that all nodes agree on and that doesn't
// change for those that stay when others come and go.
func Ranked(peers []Peer) []Peer {
	ranked := append([]Peer(nil), peers...)
	sort.Slice(ranked, func(i, j int) bool { return rank(ranked[i]) < rank(ranked[j]) })
	return ranked
}

func rank(p Peer) uint64 { return xxhash.Sum64String(p.Name) }
