package fleet

import "context"

// OrderKind is the kind of an order.
type OrderKind string

// The orders.
const (
	OrderJoin  OrderKind = "join"
	OrderOpen  OrderKind = "open"
	OrderClose OrderKind = "close"
	OrderLeave OrderKind = "leave"
	OrderStage OrderKind = "stage"
)

// Order instructs an endpoint to join, open, close or leave a group, or to stage a model.
type Order struct {
	Kind    OrderKind
	Group   string
	Epoch   int64
	Model   string
	Members []string // ids, the head first
	// Cancel aborts the requests of a group that closes; otherwise they are finished first.
	Cancel bool
	// Expected makes the endpoint refuse the order if the number of orders that it has
	// accepted is another one, also if it is carried out late.
	Expected OrderCount
}

// OrderCount is the number of orders that an endpoint has accepted since its process
// started. The zero value means that it is unknown.
type OrderCount struct {
	Known bool
	Count int64
}

// Outcome is an endpoint's response to an order.
type Outcome string

// The outcomes of an order.
const (
	// Begun: the order was accepted and is in progress.
	Begun Outcome = "begun"
	// Done: the endpoint is already in the ordered state.
	Done Outcome = "done"
	// Refused: the order was not carried out and will not be.
	Refused Outcome = "refused"
	// Unanswered: the order may have been carried out, or may be carried out seconds later.
	Unanswered Outcome = "unanswered"
)

// Orderer sends orders to endpoints and queries their state.
type Orderer interface {
	Order(ctx context.Context, endpoint *Endpoint, order Order) (Outcome, error)
	Report(ctx context.Context, endpoint *Endpoint) (Report, error)
	// Healthy queries the health check of an endpoint, which also fails if it is about to leave.
	Healthy(ctx context.Context, endpoint *Endpoint, path string) (bool, error)
}
