package peer

import (
	"context"
	"slices"
	"time"

	"redwinghall"
	"redwinghall/peer/rpc"
)

// GrantFunc answers which of the groups a router may feed while they are cold.
type GrantFunc func(now time.Time, router string, groups []string) []string

// SetGrantFunc makes this controller answer grants; nil while it does not hold
// the zone's lease.
func (n *Node) SetGrantFunc(g GrantFunc) {
	if g == nil {
		n.granter.Store(nil)
		return
	}
	n.granter.Store(&g)
}

// Grant implements the peers' protocol.
func (s *server) Grant(_ context.Context, in *rpc.GrantRequest) (*rpc.GrantResponse, error) {
	granter := s.node.granter.Load()
	if granter == nil {
		return &rpc.GrantResponse{}, nil
	}
	return &rpc.GrantResponse{Holder: true, Groups: (*granter)(time.Now(), in.From, in.Groups)}, nil
}

// RequestGrants asks the zone's holder which of the groups this router may feed. It
// asks the controller that answered last, and the others when that one does
// not hold the lease any more.
func (n *Node) RequestGrants(ctx context.Context, groups []string) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var last error
	for _, m := range n.controllers() {
		client := rpc.NewPeerProtobufClient("http://"+m.Address, n.client)
		answer, err := client.Grant(ctx, &rpc.GrantRequest{From: n.Self.ID, Groups: groups})
		if err != nil {
			last = err
			continue
		}
		if answer.Holder {
			n.holder.Store(&m.ID)
			return answer.Groups, nil
		}
	}
	return nil, redwinghall.NewOpError("Node.AskGrant", Unreachable, last)
}

// controllers returns the zone's controllers, the last known holder first.
func (n *Node) controllers() []Member {
	out := slices.DeleteFunc(n.others(n.Self.AvailabilityZone), func(m Member) bool { return m.Program != Controller })
	holder := n.holder.Load()
	if holder == nil {
		return out
	}
	slices.SortStableFunc(out, func(a, b Member) int {
		switch {
		case a.ID == *holder && b.ID != *holder:
			return -1
		case b.ID == *holder && a.ID != *holder:
			return 1
		}
		return 0
	})
	return out
}
