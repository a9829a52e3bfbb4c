package peer

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"redwinghall"
	"redwinghall/kernel"
)

// Publish takes entries and pushes those that are news.
func (n *Node) Publish(entries ...Entry) { n.push(n.Store.Apply(entries...)) }

func (n *Node) push(entries []Entry) {
	if len(entries) == 0 {
		return
	}
	n.mu.Lock()
	n.pending = append(n.pending, entries...)
	n.mu.Unlock()
	n.signal()
}

func (n *Node) pushHealth(h redwinghall.GroupHealth) {
	n.mu.Lock()
	n.urgent = append(n.urgent, h)
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
	entries, health := n.pending, n.urgent
	n.pending, n.urgent = nil, nil
	n.mu.Unlock()

	pushes := kernel.NewGroup(ctx)
	for _, m := range choose(n.others(n.Self.AvailabilityZone), zoneFanout) {
		pushes.Go("peer.push_one", func(ctx context.Context) error {
			_ = n.exchange(ctx, m, pushOf(entries, health)) // the periodic exchange repairs a lost push
			return nil
		})
	}
	if global := globalOnly(entries); len(global) > 0 {
		for _, m := range choose(n.foreign(), crossFanout) {
			pushes.Go("peer.push_one", func(ctx context.Context) error {
				_ = n.exchange(ctx, m, pushOf(global, nil))
				return nil
			})
		}
	}
	_ = pushes.Wait()
}

// largeValue is the size from which a register is offered before it is sent.
const largeValue = 256

// pushOf returns what a push hands over. Small registers go at once. A large one, as
// the manifest, reaches a process from several others: it is only offered,
// and sent to those that say that they lack it, so that its bytes travel once
// to each process and not once for each push.
func pushOf(entries []Entry, health []redwinghall.GroupHealth) outgoing {
	out := outgoing{health: health}
	for _, e := range entries {
		if len(e.Value) < largeValue {
			out.entries = append(out.entries, e)
			continue
		}
		out.offers = append(out.offers, Mark{Key: e.Key, Number: e.Number})
	}
	return out
}

// askAgainAfter is how long a register that was asked for may take.
const askAgainAfter = 500 * time.Millisecond

// AcceptOffers returns which offers to take: those that are newer than what is held
// and that no other peer was asked for lately.
func (n *Node) AcceptOffers(now time.Time, offers []Mark) []string {
	lacks := n.Store.Outdated(offers)
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []string
	for _, m := range offers {
		if !slices.Contains(lacks, m.Key) || now.Sub(n.asked[m]) < askAgainAfter {
			continue
		}
		n.asked[m] = now
		out = append(out, m.Key)
	}
	for m, at := range n.asked {
		if now.Sub(at) >= askAgainAfter {
			delete(n.asked, m)
		}
	}
	return out
}

func globalOnly(entries []Entry) []Entry {
	var out []Entry
	for _, e := range entries {
		if (Scope{}).has(e.Key) {
			out = append(out, e)
		}
	}
	return out
}

func choose(members []Member, count int) []Member {
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	return members[:min(count, len(members))]
}
