package formation

import (
	"context"

	"redwinghall"
	"redwinghall/fleet"
	"redwinghall/kernel"
	"redwinghall/platform"
)

// protectedOrderer turns a panic during a call, as on a response that can't be processed, into an error
// that says nothing about the endpoint. An order whose call panicked may have been carried out.
type protectedOrderer struct{ next fleet.Orderer }

// Order implements fleet.Orderer.
func (o protectedOrderer) Order(ctx context.Context, endpoint *fleet.Endpoint, order fleet.Order) (outcome fleet.Outcome, err error) {
	outcome = fleet.Unanswered
	err = protectCall("order", func() (err error) {
		outcome, err = o.next.Order(ctx, endpoint, order)
		return err
	})
	return outcome, err
}

// Report implements fleet.Orderer.
func (o protectedOrderer) Report(ctx context.Context, endpoint *fleet.Endpoint) (report fleet.Report, err error) {
	err = protectCall("report", func() (err error) {
		report, err = o.next.Report(ctx, endpoint)
		return err
	})
	return report, err
}

// Healthy implements fleet.Orderer.
func (o protectedOrderer) Healthy(ctx context.Context, endpoint *fleet.Endpoint, path string) (healthy bool, err error) {
	err = protectCall("health_check", func() (err error) {
		healthy, err = o.next.Healthy(ctx, endpoint, path)
		return err
	})
	return healthy, err
}

func protectCall(name string, call func() error) error {
	err := kernel.Protect(name, call)
	if redwinghall.KindOf[kernel.Kind](err) == kernel.Panicked {
		return redwinghall.NewOpError("Orderer."+name, platform.Unclear, err)
	}
	return err
}
