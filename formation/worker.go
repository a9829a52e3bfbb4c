package formation

import (
	"time"

	"redwinghall/fleet"
)

// Worker is an endpoint as the planner sees it: its entry, overlaid with the
// order that was given last and not yet shown, and with what was found out.
type Worker struct {
	Endpoint *fleet.Endpoint
	Member   fleet.Membership
	// LastModel is the model of its last group since its start.
	LastModel string
	// Suspect says that it didn't answer when it was asked.
	Suspect bool
	// RejoinUntil is until when an order that got no answer may put it back into
	// a group that it left.
	RejoinUntil time.Time
	// OrderedAt is when it was last given an order of a kind.
	OrderedAt map[fleet.OrderKind]time.Time
	// DrainingSince is when its entry first said that it leaves.
	DrainingSince time.Time
	// FreeSince is when it was first seen without a group that serves.
	FreeSince time.Time
	// ChangedAt is when its membership last changed, and ShownAt when its own
	// word of it last did.
	ChangedAt  time.Time
	ReportedAt time.Time
	// Slow says that it works slower than it should.
	Slow bool
	// Unlisted says that its entry is missing but it answers: it can be a
	// member, but no head, as requests don't go to it.
	Unlisted bool
	// Silent says that it is unlisted and doesn't answer this node.
	Silent bool

	// Staging is the model that it was last told to take into its host's memory.
	Staging string
	// StaleEntryUntil is until when its entry is known not to show what it does.
	StaleEntryUntil time.Time

	loading string // the model that it takes in as a standby
	proof   Proof  // why it may join another group
}

func (w *Worker) usable() bool {
	return !w.Suspect && !w.Silent && w.Endpoint.State == fleet.EndpointReady
}

func (w *Worker) orderedWithin(kind fleet.OrderKind, now time.Time, within time.Duration) bool {
	at, ok := w.OrderedAt[kind]
	return ok && now.Sub(at) < within
}

// changePending reports whether the worker's entry is about to change in a way that the
// next plan needs. A standby takes a model in for a load's time, and no group waits
// for the moment in which it has it.
func (w *Worker) changePending() bool {
	if _, standby := parseName(w.Member.Group); standby {
		return false
	}
	return w.Member.State == fleet.Joining || w.Member.State == fleet.Closing || w.Member != w.Endpoint.Member
}

// joinTime is how long the worker takes to join a group of a model.
func (w *Worker) joinTime(m fleet.Model, now time.Time) time.Duration {
	switch {
	case w.loading == m.Name:
		// Not before it is done: a join would start the load anew.
		return max(0, m.Load-now.Sub(w.ChangedAt)) + m.Warm + warmJoinTime
	case w.loading == "" && w.LastModel == m.Name:
		return warmJoinTime
	case w.loading == "" && w.Endpoint.HasStaged(m.Name):
		return m.Warm
	}
	return max(m.Load, warmJoinTime) + m.Warm
}

// needsLoad reports whether the worker would have to load the model from the
// weight store, and isn't doing so.
func (w *Worker) needsLoad(m fleet.Model) bool {
	if w.loading != "" {
		return w.loading != m.Name
	}
	return w.LastModel != m.Name && !w.Endpoint.HasStaged(m.Name)
}
