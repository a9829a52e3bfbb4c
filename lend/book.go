package lend

import (
	"sync"
	"time"

	"redwinghall"
)

const (
	// loanTime is how long a loan lasts. It outlasts askInterval, so that loans follow each
	// other without a gap.
	loanTime = 1500 * time.Millisecond
	// askInterval is how often a zone may ask another one.
	askInterval = time.Second
	// borrowerTime is how long a zone that asked for room of a model lends none of that
	// model. Otherwise two zones that are short by turns would send each other their streams.
	borrowerTime = 3 * time.Second
	// standingTime is how long streams may go to a zone without a loan after it failed to
	// answer a wish: it may run an older version, or know no more than this one.
	standingTime = 5 * time.Second
	// forgetAfter is how long a model without streams is kept.
	forgetAfter = 10 * time.Second
)

// Model identifies what is lent: room of the groups that serve a model of a service.
type Model struct{ Service, Name string }

// Room is what the groups of a zone can take.
type Room struct {
	Free      int     // streams that can be placed now and get their first event in time
	PerSecond float64 // streams of usual length that the groups can serve in each second
	// FirstEvent is the predicted time to the first event, 0 if no group serves the model.
	FirstEvent time.Duration
	Age        time.Duration // of the loads that this is based on
	InProgress int           // streams that the groups have now
	// UsualRate is how many streams would begin in each second if those in progress were of usual length.
	UsualRate float64
}

// Options are what a Book needs.
type Options struct {
	Zone string // of the node
	// Room returns the room of a zone for streams of a model with an objective.
	Room func(now time.Time, zone string, model Model, objective time.Duration) Room
	// Price is the price of a KiB that crosses a border, 0 for DefaultPrice.
	Price time.Duration
}

// Book holds what a zone borrows and lends, at the node that chooses for the zone.
type Book struct {
	Options
	mu      sync.Mutex
	started time.Time // of the first stream
	models  map[Model]*account
	zones   map[string]*zone
}

var _ redwinghall.RoomLender = (*Book)(nil)

// NewBook returns an empty book.
func NewBook(o Options) *Book {
	if o.Price <= 0 {
		o.Price = DefaultPrice
	}
	return &Book{Options: o, models: map[Model]*account{}, zones: map[string]*zone{}}
}

// party is a zone and an urgency, between which and this zone a loan stands.
type party struct {
	zone    string
	urgency int
}

// loan is what is left of a loan.
type loan struct {
	streams int
	until   time.Time
}

// left returns the streams that may still be sent.
func (l loan) left(now time.Time) int {
	if now.Before(l.until) {
		return l.streams
	}
	return 0
}

// account holds what this zone's callers ask of a model, and the loans of its room.
type account struct {
	countedFrom time.Time       // when the first stream was counted
	demand      map[int]*demand // by urgency
	objectives  map[int]time.Duration
	lastStream  Stream
	askedAt     time.Time // by this zone's callers
	borrowedAt  time.Time // when this zone last asked another one
	borrowed    map[party]loan
	lent        map[party]loan
	wishes      map[party]wish    // of other zones
	answers     map[string]answer // by zone asked
	spare       spareLimit
	received    demand // of other zones
	shorter     shorter
}

// wish is what another zone last asked for.
type wish struct {
	streams int
	at      time.Time
}

// answer is what another zone granted of the last wish.
type answer struct {
	askedAt time.Time
	granted float64 // part of the wish, 0 until the zone answers
}

// granted returns the part of the last wish that a zone granted, 1 if it wasn't asked lately.
func (a *account) granted(now time.Time, zone string) float64 {
	last, ok := a.answers[zone]
	if !ok || now.Sub(last.askedAt) >= borrowerTime {
		return 1
	}
	return last.granted
}

// zone is what is known about another zone.
type zone struct {
	askedAt       time.Time
	answeredAt    time.Time
	lastRoundTrip time.Duration
	standingUntil time.Time
	lends         bool // it has a node that chooses for it
}

func (b *Book) account(m Model) *account {
	a, ok := b.models[m]
	if !ok {
		a = &account{
			demand: map[int]*demand{}, objectives: map[int]time.Duration{}, borrowed: map[party]loan{}, lent: map[party]loan{}, wishes: map[party]wish{},
			answers: map[string]answer{},
		}
		b.models[m] = a
	}
	return a
}

func (b *Book) zone(name string) *zone {
	z, ok := b.zones[name]
	if !ok {
		z = &zone{}
		b.zones[name] = z
	}
	return z
}

// age returns the time since the start of the book.
func (b *Book) age(now time.Time) time.Duration {
	if b.started.IsZero() {
		b.started = now
	}
	return max(0, now.Sub(b.started)) // decisions are taken side by side, and one may have read the time before
}

// Record records that a caller of this zone asked for a stream, and whether a group of this
// zone took it.
func (b *Book) Record(now time.Time, s Stream, placed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(s.Model)
	d, ok := a.demand[s.Urgency]
	if !ok {
		d = &demand{}
		a.demand[s.Urgency] = d
	}
	d.record(b.age(now), placed)
	a.objectives[s.Urgency], a.askedAt, a.lastStream = s.Objective, now, s
	if a.countedFrom.IsZero() {
		a.countedFrom = now
	}
}

// Forget drops models that nobody has asked for in a while. It has to be called periodically.
func (b *Book) Forget(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for m, a := range b.models {
		if now.Sub(a.askedAt) > forgetAfter && now.Sub(a.borrowedAt) > forgetAfter && a.lentLeft(now, "") == 0 {
			delete(b.models, m)
		}
	}
}

// rates returns the streams that this zone's callers ask for, at all urgencies. A node that
// has just begun to count would take all streams for growth, so it assumes none.
func (b *Book) rates(now time.Time, a *account) rates {
	var sum rates
	for _, d := range a.demand {
		sum = sum.With(d.rates(b.age(now)))
	}
	if now.Sub(a.countedFrom) < time.Duration(periodsKept)*demandPeriod {
		sum.before = sum.asked
	}
	return sum
}

// tightest returns the shortest objective of the model's streams.
func (a *account) tightest() time.Duration {
	var tightest time.Duration
	for _, objective := range a.objectives {
		if tightest == 0 || objective < tightest {
			tightest = objective
		}
	}
	return tightest
}

// lentLeft returns the streams that other zones may still send, except one of them.
func (a *account) lentLeft(now time.Time, except string) int {
	left := 0
	for p, l := range a.lent {
		if p.zone != except {
			left += l.left(now)
		}
	}
	return left
}
