package fleet

import "context"

// OrderKind is what an endpoint is told to do.
type OrderKind string

// The orders.
const (
	OrderJoin  OrderKind = "join"
	OrderOpen  OrderKind = "open"
	OrderClose OrderKind = "close"
	OrderLeave OrderKind = "leave"
	OrderStage OrderKind = "stage"
)

// Order tells an endpoint which group to belong to, or what to load.
type Order struct {
	Kind    OrderKind
	Group   string
	Epoch   int64
	Model   string
	Members []string // ids, the head first
	// Cancel ends the work of a group that closes; else it is finished first.
	Cancel bool
}

// Outcome is how an endpoint took an order.
type Outcome string

// The outcomes of an order.
const (
	// Begun orders were accepted and may take a while.
	Begun Outcome = "begun"
	// Done orders hold already.
	Done Outcome = "done"
	// Refused orders were not carried out and will not be.
	Refused Outcome = "refused"
	// Unanswered orders may have been carried out, or may be seconds later.
	Unanswered Outcome = "unanswered"
)

// Orderer gives orders to endpoints and asks what they are doing.
type Orderer interface {
	Order(ctx context.Context, endpoint *Endpoint, order Order) (Outcome, error)
	Report(ctx context.Context, endpoint *Endpoint) (Report, error)
	// Healthy asks an endpoint whether it considers itself fit and stays.
	Healthy(ctx context.Context, endpoint *Endpoint, path string) (bool, error)
}
