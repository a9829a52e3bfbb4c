package reach

import (
	"math/rand/v2"
	"sync"
	"time"

	"redwinghall/relay"
)

const (
	// minPeerPause is how long a node that could not forward a request isn't asked again for
	// that service. It doubles with each failure, up to maxPeerPause; after minPeerPause the
	// node is still asked if no other one is left.
	minPeerPause = 500 * time.Millisecond
	maxPeerPause = 4 * time.Second
	// zoneRefusals is the number of failures in a row after which the nodes of a zone are
	// asked last for that service: mostly the whole zone is parted then.
	zoneRefusals = 2
	// maxForwardsPerPeer is how many requests this node has forwarded by one node at a time
	// while others can take more.
	maxForwardsPerPeer = 16
	// MaxPeersAsked is how many nodes are asked to forward one request. The last one is a node
	// that has just done so, if there is one.
	MaxPeersAsked = 3
	// provenTime is how long a node counts as one that reaches a service.
	provenTime = 10 * time.Second
	// provenFailures is the number of failures in a row after which such a node isn't asked
	// for a while: a single one may be a busy moment.
	provenFailures = 2
)

// ZonePeers are the nodes of an availability zone.
type ZonePeers struct {
	Zone  string
	Peers []relay.Peer
}

// Peer is a node that can forward requests.
type Peer struct {
	relay.Peer
	Zone string
}

// Peers chooses the nodes that forward requests for this node. It is safe for concurrent use.
type Peers struct {
	mu    sync.Mutex
	nodes map[peerKey]*pause
	zones map[peerKey]*pause
	busy  map[string]int // requests in progress, by node
	// proven holds when a node last reached a service.
	proven map[peerKey]time.Time
}

// peerKey identifies a node or zone for one service.
type peerKey struct{ service, name string }

type pause struct {
	until    time.Time
	delay    time.Duration
	failures int       // in a row
	askedAt  time.Time // when the last failure or attempt was
}

// NewPeers returns a choice without experience.
func NewPeers() *Peers {
	return &Peers{nodes: map[peerKey]*pause{}, zones: map[peerKey]*pause{}, busy: map[string]int{}, proven: map[peerKey]time.Time{}}
}

// Choose returns the node that forwards the next request to a service. own is this node's own
// zone, which goes first; tried holds the nodes that this request has already been sent to.
//
// After a failure the next node is of another zone if possible, as the nodes of one zone are
// mostly parted together. If all nodes that aren't paused have failed this request, a paused one
// is tried: it may be the only one that reaches the service by now.
func (p *Peers) Choose(now time.Time, serviceName string, own ZonePeers, others []ZonePeers, tried []Peer) (Peer, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	peer, ok := p.choose(now, serviceName, own, others, tried)
	if !ok && len(tried) > 0 {
		return p.choosePaused(now, serviceName, append([]ZonePeers{own}, others...), tried)
	}
	return peer, ok
}

// ChooseToCheck returns the next node to ask whether it reaches a service. No caller waits for a
// check, so a paused node is asked even if no other one has been.
func (p *Peers) ChooseToCheck(now time.Time, serviceName string, own ZonePeers, others []ZonePeers, tried []Peer) (Peer, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if peer, ok := p.choose(now, serviceName, own, others, tried); ok {
		return peer, true
	}
	return p.choosePaused(now, serviceName, append([]ZonePeers{own}, others...), tried)
}

// choose returns a node that isn't paused.
func (p *Peers) choose(now time.Time, serviceName string, own ZonePeers, others []ZonePeers, tried []Peer) (Peer, bool) {
	zones := append([]ZonePeers{own}, others...)
	if len(tried) == MaxPeersAsked-1 {
		if peer, ok := p.lastProven(now, serviceName, zones, tried); ok {
			return peer, true
		}
	}
	rand.Shuffle(len(others), func(i, j int) { zones[i+1], zones[j+1] = zones[j+1], zones[i+1] })
	var last, busiest []ZonePeers
	for _, z := range zones {
		if zoneTried(tried, z.Zone) || p.paused(now, p.zones, peerKey{serviceName, z.Zone}) {
			last = append(last, z)
			continue
		}
		if peer, ok := p.leastBusy(now, serviceName, z, tried, maxForwardsPerPeer); ok {
			return peer, true
		}
		busiest = append(busiest, z)
	}
	for _, z := range append(last, busiest...) {
		if peer, ok := p.leastBusy(now, serviceName, z, tried, 0); ok {
			return peer, true
		}
	}
	return Peer{}, false
}

// choosePaused returns a paused node, any of those that were not asked within minPeerPause.
func (p *Peers) choosePaused(now time.Time, serviceName string, zones []ZonePeers, tried []Peer) (Peer, bool) {
	var chosen Peer
	found := 0
	for _, z := range zones {
		for _, one := range z.Peers {
			state, ok := p.nodes[peerKey{serviceName, one.Name}]
			if !ok || now.Sub(state.askedAt) < minPeerPause || wasTried(tried, one.Name) {
				continue
			}
			if found++; rand.N(found) == 0 {
				chosen = Peer{Peer: one, Zone: z.Zone}
			}
		}
	}
	if found > 0 {
		p.nodes[peerKey{serviceName, chosen.Name}].askedAt = now
	}
	return chosen, found > 0
}

// lastProven returns the node that reached the service last, if it did so within provenTime.
func (p *Peers) lastProven(now time.Time, serviceName string, zones []ZonePeers, tried []Peer) (Peer, bool) {
	var best Peer
	var bestAt time.Time
	for _, z := range zones {
		for _, one := range z.Peers {
			at := p.proven[peerKey{serviceName, one.Name}]
			if at.After(bestAt) && now.Sub(at) <= provenTime && !wasTried(tried, one.Name) {
				best, bestAt = Peer{Peer: one, Zone: z.Zone}, at
			}
		}
	}
	return best, !bestAt.IsZero()
}

func zoneTried(tried []Peer, zone string) bool {
	for _, one := range tried {
		if one.Zone == zone {
			return true
		}
	}
	return false
}

// leastBusy returns the node of a zone with the fewest requests in progress; ties are broken
// at random. limit bounds them; 0 is no limit.
func (p *Peers) leastBusy(now time.Time, serviceName string, z ZonePeers, tried []Peer, limit int) (Peer, bool) {
	var best Peer
	found := 0
	for _, one := range z.Peers {
		busy := p.busy[one.Name]
		if p.paused(now, p.nodes, peerKey{serviceName, one.Name}) || wasTried(tried, one.Name) || (limit > 0 && busy >= limit) {
			continue
		}
		switch least := p.busy[best.Name]; {
		case found == 0 || busy < least:
			best, found = Peer{Peer: one, Zone: z.Zone}, 1
		case busy == least:
			found++
			if rand.N(found) == 0 {
				best = Peer{Peer: one, Zone: z.Zone}
			}
		}
	}
	return best, found > 0
}

func wasTried(tried []Peer, name string) bool {
	for _, one := range tried {
		if one.Name == name {
			return true
		}
	}
	return false
}

func (p *Peers) paused(now time.Time, all map[peerKey]*pause, key peerKey) bool {
	one, ok := all[key]
	return ok && now.Before(one.until)
}

// Begin counts a request that a node forwards; the returned function ends it.
func (p *Peers) Begin(name string) (end func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.busy[name]++
	return sync.OnceFunc(func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.busy[name]--; p.busy[name] <= 0 {
			delete(p.busy, name)
		}
	})
}

// Succeeded records that a node reaches endpoints of a service.
func (p *Peers) Succeeded(now time.Time, serviceName string, peer Peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.proven[peerKey{serviceName, peer.Name}] = now
	delete(p.nodes, peerKey{serviceName, peer.Name})
	delete(p.zones, peerKey{serviceName, peer.Zone})
}

// FailedToForward records that a node could not forward a request to a service.
func (p *Peers) FailedToForward(now time.Time, serviceName string, peer Peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	key, from := peerKey{serviceName, peer.Name}, 1
	if at, ok := p.proven[key]; ok && now.Sub(at) <= provenTime {
		from = provenFailures
	}
	if fail(now, p.nodes, key, from) {
		delete(p.proven, key)
	}
	fail(now, p.zones, peerKey{serviceName, peer.Zone}, zoneRefusals)
}

// fail records a failure and starts a pause from the given number of failures in a row. It reports
// whether one is in force.
func fail(now time.Time, all map[peerKey]*pause, key peerKey, from int) bool {
	one, ok := all[key]
	if !ok {
		one = &pause{}
		all[key] = one
	}
	one.askedAt = now
	if now.Before(one.until) {
		return true // concurrent failures count once
	}
	one.failures++
	if one.failures < from {
		return false
	}
	one.delay = min(max(2*one.delay, minPeerPause), maxPeerPause)
	one.until = now.Add(one.delay)
	return true
}
