package lend

import (
	"math"
	"time"

	"redwinghall"
)

const (
	// freeShare is the part of the free places that is lent. The rest is for what the zone's
	// own callers ask at once.
	freeShare = 0.25
	// reserveDeviations is how many standard deviations of chance the zone's own callers may
	// ask for more than expected.
	reserveDeviations = 2
)

// Why a wish isn't granted.
const (
	lenderBorrows = "lender_borrows"
	lenderFull    = "lender_full"
	lenderNeedsIt = "lender_needs_it"
)

// Grant is the answer to a wish, with what it is based on.
type Grant struct {
	Loan     redwinghall.RoomLoan
	Reason   string // why nothing is lent, "" if something is
	Room     Room
	Own      float64 // streams that this zone's own callers are expected to ask for in a second
	Lendable int     // streams of all zones together that may be lent
	Others   int     // streams that are lent to other zones
}

// Lend implements redwinghall.RoomLender.
func (b *Book) Lend(now time.Time, borrower string, w redwinghall.RoomWish) redwinghall.RoomLoan {
	return b.Grant(now, borrower, w).Loan
}

// Grant decides about a wish. A new loan replaces what is left of the last one.
func (b *Book) Grant(now time.Time, borrower string, w redwinghall.RoomWish) Grant {
	b.mu.Lock()
	defer b.mu.Unlock()
	m := Model{w.Service, w.Model}
	a := b.account(m)
	to := party{borrower, w.Urgency}
	delete(a.lent, to)
	a.wishes[to] = wish{w.Streams, now}
	g := Grant{Loan: redwinghall.RoomLoan{Service: w.Service, Model: w.Model, Urgency: w.Urgency, Lasts: loanTime}}
	if b.borrows(now, a) {
		return g.denied(lenderBorrows)
	}
	objective := w.Objective
	if own := a.tightest(); own > 0 {
		objective = min(objective, own)
	}
	g.Room = b.ownRoom(now, m, a, objective)
	if g.Room.Free == 0 {
		return g.denied(lenderFull)
	}
	g.Own = b.rates(now, a).expected(loanTime) / loanTime.Seconds()
	g.Lendable = lendable(g.Room, g.Own)
	g.Others = a.lentLeft(now, borrower)
	streams := min(w.Streams, g.Lendable-g.Others, a.share(now, to, g.Lendable))
	if streams <= 0 {
		return g.denied(lenderNeedsIt)
	}
	g.Loan.Streams = streams
	a.lent[to] = loan{streams, now.Add(loanTime)}
	return g
}

func (g Grant) denied(reason string) Grant {
	g.Reason = reason
	return g
}

// borrows reports whether this zone is short itself. It wouldn't lend what it borrowed, but
// room of its own that it needs.
func (b *Book) borrows(now time.Time, a *account) bool {
	return !a.borrowedAt.IsZero() && now.Sub(a.borrowedAt) < borrowerTime
}

// lendable returns the streams that a zone may lend for a second in which its own callers are
// expected to ask for own streams.
func lendable(room Room, own float64) int {
	reserve := reserveDeviations * math.Sqrt(own)
	return int(room.PerSecond*askInterval.Seconds() + freeShare*float64(room.Free) - own - reserve)
}

// share returns a wish's share of what is lent: more urgent wishes go first, and equally
// urgent ones share by size.
func (a *account) share(now time.Time, to party, spare int) int {
	own, equal := 0, 0
	for p, w := range a.wishes {
		switch {
		case now.Sub(w.at) >= loanTime:
			delete(a.wishes, p)
		case p.urgency < to.urgency:
			spare -= w.streams
		case p.urgency == to.urgency:
			equal += w.streams
		}
		if p == to {
			own = w.streams
		}
	}
	return spare * own / max(1, equal)
}

// Spend spends one stream of a loan as a stream of the borrower arrives. It reports false if
// none is left.
func (b *Book) Spend(now time.Time, borrower string, m Model, urgency int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(m)
	for p, l := range a.lent {
		if p.zone == borrower && p.urgency >= urgency && l.left(now) > 0 {
			a.lent[p] = loan{l.streams - 1, l.until}
			return true
		}
	}
	return false
}

// AcceptsWithoutLoan reports whether a stream of another zone may take room without a loan:
// what is lent to further zones is kept from it.
func (b *Book) AcceptsWithoutLoan(now time.Time, from string, m Model, objective time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	a, ok := b.models[m]
	if !ok {
		return true
	}
	lent := a.lentLeft(now, from)
	return lent == 0 || b.Room(now, b.Zone, m, objective).Free > lent
}
