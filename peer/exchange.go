package peer

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"redwinghall"
	"redwinghall/peer/rpc"
)

// outgoing is what an exchange hands over beside the digest.
type outgoing struct {
	entries    []Entry
	offers     []Mark
	health     []redwinghall.GroupHealth
	wantHealth bool
	round      time.Duration // time that the receiver has to hand a round on
	// repair compares the digests afterwards. A push does not: while news is
	// on its way the digests differ everywhere.
	repair bool
}

// periodicExchange returns what an exchange hands over that is not a push.
func (n *Node) periodicExchange(now time.Time, health bool) outgoing {
	out := outgoing{wantHealth: health, repair: true}
	if health {
		out.health = n.Health.Recent(now, n.HealthBound)
	}
	return out
}

// exchange hands entries and health to a peer, takes what it returns, and
// when the digests differ sends the marks so that both sides become equal.
func (n *Node) exchange(ctx context.Context, m Member, out outgoing) error {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	scope := ScopeOf(n.Self.AvailabilityZone, m.AvailabilityZone)
	client := rpc.NewPeerProtobufClient("http://"+m.Address, n.client)

	answer, err := client.Exchange(ctx, n.request(scope, out))
	if err == nil && len(answer.Wanted) > 0 {
		answer, err = client.Exchange(ctx, n.request(scope, outgoing{entries: n.Store.entriesOf(answer.Wanted)}))
	}
	if err == nil {
		n.takeAnswer(answer)
		if out.repair && answer.Digest != n.Store.Digest(scope) {
			err = n.reconcile(ctx, client, scope)
		}
	}
	n.noteResult(m, err)
	if err != nil {
		// A connection that something in between has lost track of stays
		// silent for good: idle ones to this peer are not trusted again.
		n.client.CloseIdleConnections()
		return redwinghall.NewOpError("Node.exchange", Unreachable, err)
	}
	return nil
}

// reconcile sends the marks; the peer answers with what is newer there, and
// its own marks tell what is newer here.
func (n *Node) reconcile(ctx context.Context, client rpc.Peer, scope Scope) error {
	request := n.request(scope, outgoing{})
	request.Marks = toMarks(n.Store.Marks(scope))
	answer, err := client.Exchange(ctx, request)
	if err != nil {
		return err
	}
	n.takeAnswer(answer)
	missing := n.Store.Newer(scope, fromMarks(answer.Marks))
	if len(missing) == 0 {
		return nil
	}
	_, err = client.Exchange(ctx, n.request(scope, outgoing{entries: missing}))
	return err
}

func (n *Node) request(scope Scope, out outgoing) *rpc.ExchangeRequest {
	return &rpc.ExchangeRequest{
		From:             n.Self.ID,
		AvailabilityZone: n.Self.AvailabilityZone,
		Digest:           n.Store.Digest(scope),
		Entries:          toEntries(out.entries),
		Offers:           toMarks(out.offers),
		Health:           toHealth(time.Now(), out.health),
		WantHealth:       out.wantHealth,
		RoundMs:          uint32(out.round.Milliseconds()),
	}
}

func (n *Node) takeAnswer(answer *rpc.ExchangeResponse) {
	n.push(n.Store.Apply(fromEntries(answer.Entries)...))
	n.takeHealth(time.Now(), answer.Health)
}

// takeHealth merges observations of groups and returns them by group. One of a
// group whose register is not here yet is left out; the next one finds it.
func (n *Node) takeHealth(now time.Time, health []*rpc.Health) map[string]redwinghall.GroupHealth {
	taken := make(map[string]redwinghall.GroupHealth, len(health))
	for _, h := range health {
		group, ok := n.names.id(n.Store, n.Self.AvailabilityZone, h.Group)
		if !ok {
			continue
		}
		observed := fromHealth(now, group, h)
		taken[group] = observed
		if n.Health.Merge(observed) {
			n.pushHealth(observed)
		}
	}
	return taken
}

func (n *Node) noteResult(m Member, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	before := n.failures[m.ID]
	if err == nil {
		delete(n.failures, m.ID)
	} else {
		n.failures[m.ID] = before + 1
	}
	if err != nil && before+1 == downAfter {
		klog.InfoS("peer_down", "peer", m.ID, "cause", err.Error())
	}
	if err == nil && before >= downAfter {
		klog.InfoS("peer_up", "peer", m.ID)
	}
}
