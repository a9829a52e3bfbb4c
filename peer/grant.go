package peer

import (
	"context"
	"slices"
	"time"

	"redwinghall"
	"redwinghall/kernel"
	"redwinghall/peer/rpc"
)

// GrantFunc returns which of the groups a router may send to while they are
// cold.
type GrantFunc func(now time.Time, router string, groups []string) []string

// SetGrantFunc sets the function that answers requests for grants. It is nil
// while this controller does not hold the zone's lease.
func (n *Node) SetGrantFunc(g GrantFunc) {
	if g == nil {
		n.grantFunc.Store(nil)
		return
	}
	n.grantFunc.Store(&g)
}

// Grant implements rpc.Peer.
func (s *server) Grant(_ context.Context, in *rpc.GrantRequest) (*rpc.GrantResponse, error) {
	grant := s.node.grantFunc.Load()
	if grant == nil {
		return &rpc.GrantResponse{}, nil
	}
	return &rpc.GrantResponse{Holder: true, Groups: (*grant)(time.Now(), in.From, in.Groups)}, nil
}

// RequestGrants asks the holder of the zone's lease which of the cold groups
// this router may send to. It calls the last known holder first, and the other
// controllers if that one no longer holds the lease.
func (n *Node) RequestGrants(ctx context.Context, groups []string) ([]string, error) {
	ctx, cancel := kernel.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var last error
	for _, m := range n.controllers() {
		client := rpc.NewPeerProtobufClient("http://"+m.Address, n.client)
		response, err := client.Grant(ctx, &rpc.GrantRequest{From: n.Self.ID, Groups: groups})
		if err != nil {
			last = err
			continue
		}
		if response.Holder {
			n.leaseHolder.Store(&m.ID)
			return response.Groups, nil
		}
	}
	return nil, redwinghall.NewOpError("Node.RequestGrants", Unreachable, last)
}

// controllers returns the zone's controllers, the last known lease holder first.
func (n *Node) controllers() []Member {
	out := slices.DeleteFunc(n.zonePeers(n.Self.AvailabilityZone), func(m Member) bool { return m.Program != Controller })
	holder := n.leaseHolder.Load()
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
