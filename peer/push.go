package peer

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"redwinghall"
	"redwinghall/kernel"
)

// Publish applies entries and pushes those that are new.
func (n *Node) Publish(entries ...Entry) { n.push(n.Store.Apply(entries...)) }

func (n *Node) push(entries []Entry) {
	if len(entries) == 0 {
		return
	}
	n.mu.Lock()
	n.pendingEntries = append(n.pendingEntries, entries...)
	n.mu.Unlock()
	n.signal()
}

func (n *Node) pushHealth(h redwinghall.GroupHealth) {
	n.mu.Lock()
	n.pendingHealth = append(n.pendingHealth, h)
	n.mu.Unlock()
	n.signal()
}

func (n *Node) signal() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

func (n *Node) pushLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-n.wake:
			n.flush(ctx)
		}
	}
}

func (n *Node) flush(ctx context.Context) {
	n.mu.Lock()
	entries, health := n.pendingEntries, n.pendingHealth
	n.pendingEntries, n.pendingHealth = nil, nil
	n.mu.Unlock()

	pushes := kernel.NewGroup(ctx)
	for _, m := range sample(n.zonePeers(n.Self.AvailabilityZone), zoneFanout) {
		pushes.Task("peer.push_one", func(ctx context.Context) {
			_ = n.exchange(ctx, m, newPush(entries, health)) // a lost push is repaired by the periodic exchange
		})
	}
	if global := globalOnly(entries); len(global) > 0 {
		for _, m := range sample(n.otherZoneSeeds(), crossZoneFanout) {
			pushes.Task("peer.push_one", func(ctx context.Context) { _ = n.exchange(ctx, m, newPush(global, nil)) })
		}
	}
	_ = pushes.Wait()
}

// largeValue is the size in bytes from which a register is offered before it is
// sent.
const largeValue = 256

// newPush returns what a push sends. Small registers are sent immediately. A
// large one, such as the manifest, would reach a process from several peers, so
// it is only offered, and sent to the peers that request it. Its bytes are then
// transferred once to each process and not once for each push.
func newPush(entries []Entry, health []redwinghall.GroupHealth) outgoingState {
	out := outgoingState{health: health}
	for _, e := range entries {
		if len(e.Value) < largeValue {
			out.entries = append(out.entries, e)
			continue
		}
		out.offers = append(out.offers, Mark{Key: e.Key, Number: e.Number})
	}
	return out
}

// offerRetryInterval is how long to wait for a requested register before it may
// be requested from another peer.
const offerRetryInterval = 500 * time.Millisecond

// AcceptOffers returns the keys of the offers to request: those that are newer
// than the entries held and have not been requested within offerRetryInterval.
func (n *Node) AcceptOffers(now time.Time, offers []Mark) []string {
	outdated := n.Store.Outdated(offers)
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []string
	for _, m := range offers {
		if !slices.Contains(outdated, m.Key) || now.Sub(n.requestedAt[m]) < offerRetryInterval {
			continue
		}
		n.requestedAt[m] = now
		out = append(out, m.Key)
	}
	for m, at := range n.requestedAt {
		if now.Sub(at) >= offerRetryInterval {
			delete(n.requestedAt, m)
		}
	}
	return out
}

func globalOnly(entries []Entry) []Entry {
	var out []Entry
	for _, e := range entries {
		if (Scope{}).contains(e.Key) {
			out = append(out, e)
		}
	}
	return out
}

func sample(members []Member, count int) []Member {
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	return members[:min(count, len(members))]
}
