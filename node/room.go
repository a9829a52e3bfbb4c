package node

import (
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"redwinghall"
	"redwinghall/balance"
	"redwinghall/fleet"
	"redwinghall/relay"
)

const (
	// usesInterval is how often a node tells another one what client accounts use.
	usesInterval = 250 * time.Millisecond
	// maxUses is the most uses in one report.
	maxUses = 24
	// plainUsesInterval and maxPlainUses are the same for the nodes of a large zone, which
	// choose only among the endpoints of plain services.
	plainUsesInterval = 500 * time.Millisecond
	maxPlainUses      = 8
)

// roomUse holds for which services the configuration calls for admission, and what was
// told to others.
type roomUse struct {
	mu       sync.Mutex
	config   *fleet.Configuration
	services map[string]bool
	toldAt   map[string]time.Time // by node of this zone
}

// admissionOf returns what decides who gets the room of a service, nil if the
// configuration doesn't call for it.
func (n *Node) admissionOf(service string) redwinghall.Admission {
	config := n.cache.View().Config()
	u := &n.roomUse
	u.mu.Lock()
	defer u.mu.Unlock()
	if config != u.config || u.services == nil {
		u.config, u.services = config, servicesWithOrder(config)
	}
	if !u.services[service] {
		return nil
	}
	return n.room
}

// servicesWithOrder returns the services whose routes have more than one priority. Elsewhere
// the configuration names no order in which the requests of a service go, and keeping room
// for some accounts would only leave places empty that others could use.
func servicesWithOrder(config *fleet.Configuration) map[string]bool {
	services := map[string]bool{}
	if config == nil {
		return services
	}
	for name := range config.Services {
		services[name] = len(prioritiesOf(config, name)) > 1
	}
	return services
}

// prioritiesOf returns the priorities of a service's routes.
func prioritiesOf(config *fleet.Configuration, service string) map[int]bool {
	priorities := map[int]bool{}
	for _, route := range config.Routes {
		for _, share := range route.Split {
			if share.Service == service {
				priorities[route.Priority] = true
			}
		}
	}
	return priorities
}

// onUses stores what client accounts use at another node of this zone, or in another zone.
func (n *Node) onUses(now time.Time, from string, otherZone bool, uses []redwinghall.AccountUse) {
	if len(uses) > 0 {
		n.room.SetReport(now, from, otherZone, uses)
	}
}

// usesFor returns what client accounts use at the other nodes, as far as a node of this
// zone needs it. Nodes that choose groups themselves, or are the next to choose for all,
// need all of it, the others only that of plain services.
func (n *Node) usesFor(now time.Time, node string) []redwinghall.AccountUse {
	peers := n.peers()
	decides := len(peers) <= maxNodesWithoutDispatcher || isAmong(node, peers[:2])
	switch {
	case decides && n.roomUse.tell(now, node, usesInterval):
		return n.room.UsesExcept(now, node, maxUses)
	case !decides && n.roomUse.tell(now, node, plainUsesInterval):
		return n.room.PlainUsesExcept(now, node, maxPlainUses)
	}
	return nil
}

// tell reports whether a node is to be told again, which it then counts as.
func (u *roomUse) tell(now time.Time, node string, interval time.Duration) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if now.Sub(u.toldAt[node]) < interval {
		return false
	}
	if u.toldAt == nil {
		u.toldAt = map[string]time.Time{}
	}
	u.toldAt[node] = now
	return true
}

// recordRoomRefused records that a stream of another node was refused although a group
// would serve it in time.
func (n *Node) recordRoomRefused(request fleet.PlacementRequest, refused *balance.Refusal) {
	limit := refused.Limit
	n.metrics.RoomRefused(limit.Reason)
	klog.InfoS("room_refused", "node", request.Node, "ticket", request.Ticket, "model", request.Model, "account", request.Account,
		"urgency", request.Urgency, "reason", limit.Reason, "objective", request.Objective, "predicted", refused.Predicted, "limit", limit.Predicted,
		"ahead", limit.Ahead, "asked", limit.Asked, "given", limit.Given, "due", limit.Due)
}

func isAmong(node string, peers []relay.Peer) bool {
	return slices.ContainsFunc(peers, func(p relay.Peer) bool { return p.Name == node })
}
