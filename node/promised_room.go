package node

import (
	"time"

	"k8s.io/klog/v2"

	"redwinghall/balance"
	"redwinghall/fleet"
	"redwinghall/gateway"
	"redwinghall/promise"
)

// honoredPart divides the time until a caller's deadline: it waits for one part at most
// before it comes back.
const honoredPart = 3

// promiser promises room of this node's zone to refused callers, while this node
// dispatches and the configuration names client accounts.
type promiser struct{ node *Node }

var _ gateway.Promiser = promiser{}

// applies reports whether room is promised at all.
func (p promiser) applies(now time.Time) bool {
	return p.node.cache.View().RequiresKey() && p.node.dispatches(now)
}

// WithKept implements gateway.Promiser.
func (p promiser) WithKept(now time.Time, request balance.Request) balance.Request {
	if !p.applies(now) {
		return request
	}
	request.Kept, request.Promised = p.node.promises.Kept(now, promisedModel(request), promisedCaller(request))
	return request
}

// Placed implements gateway.Promiser.
func (p promiser) Placed(now time.Time, request balance.Request) {
	if !request.Promised {
		return
	}
	if p.node.promises.Take(now, promisedModel(request), promisedCaller(request)) {
		p.node.metrics.RoomTaken()
	}
}

// Promise implements gateway.Promiser.
func (p promiser) Promise(now time.Time, heads []*fleet.Endpoint, request balance.Request, left time.Duration) time.Duration {
	if request.Account == "" || !p.applies(now) {
		return 0
	}
	longest := promise.Latest
	if left > 0 {
		longest = min(longest, left/honoredPart)
	}
	interval := request.PlaceInterval(now, heads, p.node.cache.View().ZonesOut)
	wait, ok := p.node.promises.Give(now, promisedModel(request), promisedCaller(request), interval, longest)
	klog.InfoS("room_promised", "given", ok, "service", request.Service.Name, "model", request.Model.Name, "account", request.Account,
		"urgency", request.Urgency, "wait", wait, "longest", longest, "interval", interval, "kept", request.Kept, "unclaimed", p.node.promises.Counts().Unclaimed)
	p.node.metrics.RoomPromised(ok)
	return wait
}

func promisedModel(r balance.Request) promise.Model {
	return promise.Model{Service: r.Service.Name, Name: r.Model.Name}
}

func promisedCaller(r balance.Request) promise.Caller {
	return promise.Caller{Account: r.Account, Urgency: r.Urgency, Prompt: r.Prompt, Answer: r.ExpectedAnswer}
}
