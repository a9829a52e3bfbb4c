package formation

import (
	"time"

	"redwinghall/fleet"
)

// Worker is an endpoint as the planner sees it: its entry, overlaid with the effect of
// the last order until the entry shows it, and with the results of probes.
type Worker struct {
	Endpoint *fleet.Endpoint
	Member   fleet.Membership
	// LastModel is the model of the endpoint's last group since its process started.
	LastModel string
	// Suspect reports whether the endpoint recently failed to answer or contradicted
	// its entry.
	Suspect bool
	// SuspectedAt is when the question was asked whose outcome last made the endpoint suspect, and
	// TrustedSince when it last stopped to be suspect.
	SuspectedAt, TrustedSince time.Time
	// RejoinUntil is until when an unanswered order may put the endpoint back into a
	// group that it left.
	RejoinUntil time.Time
	// OrderedAt is when an order of each kind was last sent.
	OrderedAt map[fleet.OrderKind]time.Time
	// DrainingSince is when the endpoint was first seen to be leaving.
	DrainingSince time.Time
	// FreeSince is when the endpoint was first seen without a serving group.
	FreeSince time.Time
	// ChangedAt is when the membership last changed, and ReportedAt when the membership
	// in the endpoint's entry last did.
	ChangedAt  time.Time
	ReportedAt time.Time
	// Slow reports whether the endpoint works slower than it should.
	Slow bool
	// Unlisted reports that the endpoint's entry is missing. It can still be a member,
	// but no head, as requests aren't routed to it.
	Unlisted bool
	// Silent reports that the endpoint is unlisted and doesn't answer this node.
	Silent bool

	// Staging is the model that the endpoint was last ordered to stage in host memory.
	Staging string
	// StaleEntryUntil is until when the endpoint's entry is treated as stale.
	StaleEntryUntil time.Time

	// Orders is the number of orders that the endpoint had accepted when its own report
	// showed its present membership, unknown if none did.
	Orders fleet.OrderCount
	// JoinExpected is the number of accepted orders that the last order to join expected.
	JoinExpected fleet.OrderCount
	// JoinedHere reports whether the endpoint has joined a group of this holder, so that
	// it refuses orders of earlier holders to join.
	JoinedHere bool

	// ordersUnconfirmed reports that the plan can't use the worker until Orders is known,
	// and unconfirmedSince is since when that holds.
	ordersUnconfirmed bool
	unconfirmedSince  time.Time
	loading           string // the model being loaded as a standby
	proof             Proof  // why the endpoint may join another group
}

func (w *Worker) usable() bool {
	return !w.Suspect && !w.Silent && w.Endpoint.State == fleet.EndpointReady
}

func (w *Worker) orderedWithin(kind fleet.OrderKind, now time.Time, within time.Duration) bool {
	at, ok := w.OrderedAt[kind]
	return ok && now.Sub(at) < within
}

// changePending reports whether the worker's entry is about to change in a way that the
// next plan needs. A standby's load takes long, and no group waits for the moment it
// completes.
func (w *Worker) changePending() bool {
	if _, standby := parseName(w.Member.Group); standby {
		return false
	}
	return w.Member.State == fleet.Joining || w.Member.State == fleet.Closing || w.Member != w.Endpoint.Member
}

// joinTime estimates how long the worker takes to join a group of a model.
func (w *Worker) joinTime(m fleet.Model, now time.Time) time.Duration {
	switch {
	case w.loading == m.Name:
		// Not before the load is done: a join would restart it.
		return max(0, m.Load-now.Sub(w.ChangedAt)) + m.Warm + warmJoinTime
	case w.loading == "" && w.LastModel == m.Name:
		return warmJoinTime
	case w.loading == "" && w.Endpoint.HasStaged(m.Name):
		return m.Warm
	}
	return max(m.Load, warmJoinTime) + m.Warm
}

// needsLoad reports whether the worker would have to load the model from the weight
// store and isn't already doing so.
func (w *Worker) needsLoad(m fleet.Model) bool {
	if w.loading != "" {
		return w.loading != m.Name
	}
	return w.LastModel != m.Name && !w.Endpoint.HasStaged(m.Name)
}

// holdsModel reports whether the worker has a model loaded or staged.
func (w *Worker) holdsModel() bool { return w.LastModel != "" || len(w.Endpoint.Staged) > 0 }
