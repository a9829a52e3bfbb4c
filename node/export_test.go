package node

import (
	"context"
	"time"

	"redwinghall/fleet"
)

// FailPart makes a part of a running node fail.
func (n *Node) FailPart(err error) {
	n.group.Go("failing", func(context.Context) error { return err })
}

// ExceedsConnectionRate returns a function that counts a new connection at a node with that many cores, and reports
// whether it is one too many.
func ExceedsConnectionRate(processor float64) func(now time.Time) bool {
	return newConnectionRate(processor).exceeded
}

// ServicesWithOrder returns the services for which a configuration calls for admission.
func ServicesWithOrder(config *fleet.Configuration) map[string]bool { return servicesWithOrder(config) }
