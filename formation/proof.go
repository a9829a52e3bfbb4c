package formation

import (
	"time"

	"redwinghall/fleet"
)

// Proof says why a VM may join another group than the one that it was in.
//
// Guard: a VM that joins another group while the head of its own is open
// leaves that head with callers for whom nothing moves. Whether a head serves
// can't be told from how it is reached: one that leaves stops listening and
// works off what it has, one that is cut off serves whoever still reaches it,
// and an entry lapses with the store. So only words count that tell of the
// membership itself, and that no order still on its way can undo.
type Proof string

// What proves that a VM's group no longer serves.
const (
	// Unproven: the group may serve.
	Unproven Proof = ""
	// ProofNoGroup: the VM itself said that it belongs to none.
	ProofNoGroup Proof = "no_group"
	// ProofNeverOpen: nobody can have told the group's head to open.
	ProofNeverOpen Proof = "never_open"
	// ProofHeadLeft: the group's head said itself that it is no longer in it, or
	// its process started again.
	ProofHeadLeft Proof = "head_left"
	// ProofHeadIdle: the group's head said itself that it doesn't serve, after
	// the last order to open it could take effect.
	ProofHeadIdle Proof = "head_idle"
)

// GroupHistory is what the holder of a zone's lease knows of a group beside its
// members' words. The zero value is that of a group that another one formed.
type GroupHistory struct {
	// FormedHere says that this holder formed the group. Nobody else opens it.
	FormedHere bool
	// OpenOrdered says that this holder told the head to open, and OpenUntil is until
	// when such an order may take effect.
	OpenOrdered bool
	OpenUntil   time.Time
	// HeadLeft says that the head's last word is that it isn't in the group.
	HeadLeft bool
	// MembersRemoved says that this holder took a member away or told one to leave.
	MembersRemoved bool
}

// Evidence is how a VM stands to the group that it was last known to be in.
type Evidence struct {
	// Member is the VM's membership by its own last word.
	Member fleet.Membership
	// RejoinUntil is until when an order without an answer may put the VM back
	// into a group that it left.
	RejoinUntil time.Time
	// Standby says that the group is one that never opens.
	Standby bool
	// Head is the head's membership by its own last word, and HeadSince is since
	// when that is known. Both are zero where no word of it is known.
	Head      fleet.Membership
	HeadSince time.Time
	History   GroupHistory
}

// Proof returns why the VM may join another group at a time, or Unproven.
func (s Evidence) Proof(now time.Time) Proof {
	switch {
	case s.Member.Group == "" && !now.Before(s.RejoinUntil):
		return ProofNoGroup
	case s.Member.Group == "":
		return Unproven
	case s.Standby, s.History.FormedHere && !s.History.OpenOrdered:
		return ProofNeverOpen
	case s.History.HeadLeft:
		return ProofHeadLeft
	case s.headIdle():
		return ProofHeadIdle
	}
	return Unproven
}

// headIdle reports whether the head's word that it doesn't serve is to be
// trusted. Of a group that an earlier holder formed an order to open may still
// be on its way; and a word from before an order of its own tells nothing.
func (s Evidence) headIdle() bool {
	if s.Head.Group != s.Member.Group || s.Head.Epoch != s.Member.Epoch || serves(s.Head.State) {
		return false
	}
	return s.History.FormedHere && s.HeadSince.After(s.History.OpenUntil)
}

// serves reports whether a head in a state may have requests in progress.
func serves(state fleet.GroupState) bool { return state == fleet.Open || state == fleet.Closing }
