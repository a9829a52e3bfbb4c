package peer

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"redwinghall"
	"redwinghall/kernel"
	"redwinghall/peer/rpc"
)

// outgoingState is what an exchange sends besides the digest.
type outgoingState struct {
	entries      []Entry
	offers       []Mark
	health       []redwinghall.GroupHealth
	wantHealth   bool
	roundTimeout time.Duration // time the receiver has to forward a round; 0: not part of a round
	// repair compares the digests after the exchange. A push does not: while a
	// change is spreading, the digests differ between all processes.
	repair bool
}

// periodicExchange returns what an exchange sends that is not a push.
func (n *Node) periodicExchange(now time.Time, health bool) outgoingState {
	out := outgoingState{wantHealth: health, repair: true}
	if health {
		out.health = n.Health.Recent(now, n.HealthBound)
	}
	return out
}

// exchange sends entries and health to a peer and applies its response. If the
// digests differ afterwards, it reconciles the two stores.
func (n *Node) exchange(ctx context.Context, m Member, out outgoingState) error {
	ctx, cancel := kernel.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	scope := ScopeOf(n.Self.AvailabilityZone, m.AvailabilityZone)
	client := rpc.NewPeerProtobufClient("http://"+m.Address, n.client)

	response, err := client.Exchange(ctx, n.request(scope, out))
	if err == nil && len(response.Wanted) > 0 {
		response, err = client.Exchange(ctx, n.request(scope, outgoingState{entries: n.Store.entriesOf(response.Wanted)}))
	}
	if err == nil {
		n.applyResponse(response)
		if out.repair && response.Digest != n.Store.Digest(scope) {
			err = n.reconcile(ctx, client, scope)
		}
	}
	n.recordResult(m, err)
	if err != nil {
		// A connection whose state a middlebox has lost never responds again,
		// so idle connections are closed and not reused.
		n.client.CloseIdleConnections()
		return redwinghall.NewOpError("Node.exchange", Unreachable, err)
	}
	return nil
}

// reconcile sends the marks of this store. The peer answers with its newer
// entries and with its own marks, by which this process finds the entries that
// the peer lacks and sends them.
func (n *Node) reconcile(ctx context.Context, client rpc.Peer, scope Scope) error {
	request := n.request(scope, outgoingState{})
	request.Marks = toMarks(n.Store.Marks(scope))
	response, err := client.Exchange(ctx, request)
	if err != nil {
		return err
	}
	n.applyResponse(response)
	missing := n.Store.Newer(scope, fromMarks(response.Marks))
	if len(missing) == 0 {
		return nil
	}
	_, err = client.Exchange(ctx, n.request(scope, outgoingState{entries: missing}))
	return err
}

func (n *Node) request(scope Scope, out outgoingState) *rpc.ExchangeRequest {
	return &rpc.ExchangeRequest{
		From:             n.Self.ID,
		AvailabilityZone: n.Self.AvailabilityZone,
		Digest:           n.Store.Digest(scope),
		Entries:          toEntries(out.entries),
		Offers:           toMarks(out.offers),
		Health:           toHealth(time.Now(), out.health),
		WantHealth:       out.wantHealth,
		RoundMs:          uint32(out.roundTimeout.Milliseconds()),
	}
}

func (n *Node) applyResponse(response *rpc.ExchangeResponse) {
	n.push(n.Store.Apply(fromEntries(response.Entries)...))
	n.mergeHealth(time.Now(), response.Health)
}

// mergeHealth merges observations of groups and returns them by group ID. An
// observation of a group whose register has not arrived yet is skipped; a later
// exchange brings it again.
func (n *Node) mergeHealth(now time.Time, health []*rpc.Health) map[string]redwinghall.GroupHealth {
	merged := make(map[string]redwinghall.GroupHealth, len(health))
	for _, h := range health {
		group, ok := n.groupIDs.id(n.Store, n.Self.AvailabilityZone, h.Group)
		if !ok {
			continue
		}
		observed := fromHealth(now, group, h)
		merged[group] = observed
		if n.Health.Merge(observed) {
			n.pushHealth(observed)
		}
	}
	return merged
}

func (n *Node) recordResult(m Member, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	failed := n.failures[m.ID]
	if err == nil {
		delete(n.failures, m.ID)
	} else {
		n.failures[m.ID] = failed + 1
	}
	if err != nil && failed+1 == maxFailures {
		klog.InfoS("peer_down", "peer", m.ID, "cause", err.Error())
	}
	if err == nil && failed >= maxFailures {
		klog.InfoS("peer_up", "peer", m.ID)
	}
}
