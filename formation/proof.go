package formation

import (
	"time"

	"redwinghall/fleet"
)

// Proof is the reason why a VM may leave its last group for another one.
//
// A VM that joins another group while the head of its old group is open leaves that
// head with requests that make no progress. Reachability doesn't show whether a head
// serves: a head that leaves stops listening but finishes its requests, a partitioned
// head serves whoever still reaches it, and an entry can expire because of a store
// outage. So only reports about the membership itself count, and only those that no
// order still in flight can undo.
type Proof string

// Reasons why a VM's group no longer serves.
const (
	// Unproven means that the group may still serve.
	Unproven Proof = ""
	// ProofNoGroup means that the VM itself reported that it belongs to no group.
	ProofNoGroup Proof = "no_group"
	// ProofNeverOpen means that nobody can have ordered the group's head to open.
	ProofNeverOpen Proof = "never_open"
	// ProofHeadLeft means that the group's head itself reported that it is no longer in
	// the group, or that its process restarted.
	ProofHeadLeft Proof = "head_left"
	// ProofHeadIdle means that the group's head itself reported that it doesn't serve,
	// after the last order to open it could take effect.
	ProofHeadIdle Proof = "head_idle"
)

// GroupHistory is what the lease holder of a zone recorded about a group, in addition to
// its members' current reports. The zero value is that of a group formed by another
// holder.
type GroupHistory struct {
	// FormedHere reports whether this holder formed the group. No other holder opens
	// it.
	FormedHere bool
	// OpenOrdered reports whether this holder ordered the head to open, and OpenUntil
	// is until when such an order may take effect.
	OpenOrdered bool
	OpenUntil   time.Time
	// HeadLeft reports whether, by its last report, the head is not in the group.
	HeadLeft bool
	// MembersRemoved reports whether this holder joined a member to another group or
	// ordered one to leave.
	MembersRemoved bool
}

// Evidence is what Proof is derived from: a VM's last reported membership, and the head
// and history of that group.
type Evidence struct {
	// Member is the VM's last reported membership.
	Member fleet.Membership
	// RejoinUntil is until when an unanswered order may put the VM back into a group
	// that it left.
	RejoinUntil time.Time
	// Standby reports whether the group is a standby, which never opens.
	Standby bool
	// Head is the head's last reported membership, and HeadSince is when it last
	// changed. Both are zero if the group has no head.
	Head      fleet.Membership
	HeadSince time.Time
	History   GroupHistory
	// EarlierOrders reports whether orders of an earlier holder may still be carried out.
	EarlierOrders bool
}

// Proof returns the reason why the VM may join another group now, or Unproven.
func (e Evidence) Proof(now time.Time) Proof {
	switch {
	case e.Member.Group == "" && !now.Before(e.RejoinUntil):
		return ProofNoGroup
	case e.Member.Group == "":
		return Unproven
	case e.Standby, e.History.FormedHere && !e.History.OpenOrdered:
		return ProofNeverOpen
	case e.History.HeadLeft && (e.History.FormedHere || !e.EarlierOrders):
		// Orders of an earlier holder could put the head back and open its group again.
		return ProofHeadLeft
	case e.headIdle():
		return ProofHeadIdle
	}
	return Unproven
}

// headIdle reports whether the head's report that it doesn't serve can be relied on. It
// can't for a group that an earlier holder formed, because an order to open may still
// be in flight, nor if the report is older than an order that this holder sent.
func (e Evidence) headIdle() bool {
	if e.Head.Group != e.Member.Group || e.Head.Epoch != e.Member.Epoch || serves(e.Head.State) {
		return false
	}
	return e.History.FormedHere && e.HeadSince.After(e.History.OpenUntil)
}

// serves reports whether a head in this state may have requests in progress.
func serves(state fleet.GroupState) bool { return state == fleet.Open || state == fleet.Closing }
