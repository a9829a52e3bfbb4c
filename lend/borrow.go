package lend

import (
	"cmp"
	"math"
	"slices"
	"time"

	"redwinghall"
)

const (
	// spareShare is the part of the streams without room that may go to another zone without
	// a loan, and sparePerSecond how many may in any case: so room is found that nobody
	// asked for.
	spareShare     = 0.05
	sparePerSecond = 1
	// loadsAge is how old the loads that zones share may be.
	loadsAge = 250 * time.Millisecond
	// wishReserve is the part of all streams that a zone without enough room wishes beyond
	// what found none: it may not ask again within askInterval.
	wishReserve = 0.2
	// leastShare is the least part of the room that is free in a zone to which a wish is sent,
	// after the zone granted less than was wished.
	leastShare = 0.1
)

// spareLimit bounds the streams that leave without a loan.
type spareLimit struct {
	tokens   float64
	filledAt time.Time
}

// take reports whether a stream may leave without a loan now, and counts it.
func (t *spareLimit) take(now time.Time, missed float64) bool {
	if t.filledAt.IsZero() {
		t.tokens = sparePerSecond
	} else {
		t.tokens = min(sparePerSecond, t.tokens+max(sparePerSecond, spareShare*missed)*now.Sub(t.filledAt).Seconds())
	}
	t.filledAt = now
	if t.tokens < 1 {
		return false
	}
	t.tokens--
	return true
}

// Ask is what is to be asked of another zone now.
type Ask struct {
	Zone   string
	Wishes []redwinghall.RoomWish
	// Expected and Missed are the streams of the next second and those that found no room in
	// the last one, Own the room of this zone; of the model of the first wish.
	Expected, Missed float64
	Own              Room
}

// Other is another zone. It lends if one of its nodes chooses for all of them.
type Other struct {
	Name  string
	Lends bool
}

// Applies reports whether zones lend each other room of a model: this zone and another one
// have nodes that choose for them, and more than one zone serves the model. Otherwise each
// stream chooses for itself.
func Applies(chooses bool, others []Other, servingZones int) bool {
	return chooses && servingZones > 1 && slices.ContainsFunc(others, func(one Other) bool { return one.Lends })
}

// Ask returns what is to be asked of which of the other zones; nothing if this zone has
// enough room. It has to be called a few times a second.
func (b *Book) Ask(now time.Time, others []Other) []Ask {
	b.mu.Lock()
	defer b.mu.Unlock()
	asks := map[string]*Ask{}
	lenders := b.learnOthers(others)
	for m, a := range b.models {
		b.askFor(now, m, a, lenders, asks)
	}
	var due []Ask
	for _, name := range lenders {
		if one, ok := asks[name]; ok {
			slices.SortFunc(one.Wishes, func(x, y redwinghall.RoomWish) int { return cmp.Compare(x.Urgency, y.Urgency) })
			b.zone(name).askedAt = now
			due = append(due, *one)
		}
	}
	return due
}

// learnOthers stores which zones lend, and returns them.
func (b *Book) learnOthers(others []Other) []string {
	var lenders []string
	for _, one := range others {
		b.zone(one.Name).lends = one.Lends
		if one.Lends {
			lenders = append(lenders, one.Name)
		}
	}
	return lenders
}

// askFor adds the wishes for a model.
func (b *Book) askFor(now time.Time, m Model, a *account, lenders []string, asks map[string]*Ask) {
	rates, own := b.rates(now, a), b.ownRoom(now, m, a, a.tightest())
	if rates.asked+rates.missed == 0 {
		return
	}
	short := shortBy(rates, own)
	if short <= 0 {
		return
	}
	parts := b.parts(now, m, a, lenders, own, asks)
	for _, zone := range lenders {
		part := parts[zone]
		if part == 0 {
			continue
		}
		one, ok := asks[zone]
		if !ok {
			one = &Ask{Zone: zone, Expected: rates.expected(time.Second), Missed: rates.missed, Own: own}
			asks[zone] = one
		}
		one.Wishes = append(one.Wishes, b.wishes(now, m, a, short*part)...)
		a.answers[zone] = answer{askedAt: now}
		if rates.missed > 0 {
			a.borrowedAt = now
		}
	}
}

// shortBy returns the streams that a zone lacks room for within a loan: those that will be
// asked for beyond its room, and at least as many as lately found none.
func shortBy(r rates, own Room) float64 {
	beyond := r.expected(loanTime) - float64(own.Free) - own.PerSecond*loanTime.Seconds()
	missed := 0.0
	if r.missed > 0 {
		missed = (r.missed + r.growth()) * loanTime.Seconds()
	}
	if beyond <= 0 && missed <= 0 {
		return 0
	}
	return max(beyond, missed) + wishReserve*r.asked*loanTime.Seconds()
}

// parts returns the part of the wish that each zone gets: by the places that are free there,
// and by what it granted of the last wish. If all went to the emptiest zone, that one would
// be full and the others idle.
func (b *Book) parts(now time.Time, m Model, a *account, lenders []string, own Room, asks map[string]*Ask) map[string]float64 {
	weights, sum := map[string]float64{}, 0.0
	for _, name := range lenders {
		z := b.zone(name)
		if a.lentTo(now, name) || (asks[name] == nil && !z.due(now)) {
			continue
		}
		there := b.Room(now, name, m, a.tightest())
		gain := Gain(max(own.FirstEvent, a.tightest()), Away{FirstEvent: there.FirstEvent, Age: there.Age, RoundTrip: z.roundTrip(now)})
		if there.Free == 0 || !Pays(gain, a.lastStream.Bytes(), b.Price) {
			continue
		}
		weights[name] = float64(there.Free) * max(leastShare, a.granted(now, name))
		sum += weights[name]
	}
	for name := range weights {
		weights[name] /= sum
	}
	return weights
}

// due reports whether the zone may be asked again.
func (z *zone) due(now time.Time) bool {
	return !now.Before(z.standingUntil) && (z.askedAt.IsZero() || now.Sub(z.askedAt) >= askInterval)
}

// roundTrip returns the time of the way to the zone and back, 0 if it isn't known. One late answer
// would keep all streams from the zone for good: nothing is asked where nothing pays, so no further
// answer would show that the way is short again.
func (z *zone) roundTrip(now time.Time) time.Duration {
	if now.Sub(z.answeredAt) >= standingTime {
		return 0
	}
	return z.lastRoundTrip
}

// lentTo reports whether a zone still has a loan of this one.
func (a *account) lentTo(now time.Time, zone string) bool {
	for p, l := range a.lent {
		if p.zone == zone && l.left(now) > 0 {
			return true
		}
	}
	return false
}

// wishes divides a wish among the urgencies, by the streams that found no room, or by all
// if each found some.
func (b *Book) wishes(now time.Time, m Model, a *account, streams float64) []redwinghall.RoomWish {
	all := b.rates(now, a)
	var wishes []redwinghall.RoomWish
	for urgency, d := range a.demand {
		one := d.rates(b.age(now))
		share := one.asked / max(1, all.asked)
		if all.missed > 0 {
			share = one.missed / all.missed
		}
		if n := int(math.Ceil(streams * share)); n > 0 {
			wishes = append(wishes, redwinghall.RoomWish{
				Service: m.Service, Model: m.Name, Urgency: urgency, Objective: a.objectives[urgency], Streams: n, Gain: returnTime,
			})
		}
	}
	return wishes
}

// RecordAnswer records the answer to an ask, or its failure. A loan counts from when it was
// asked for, so that it ends here before it ends at the lender.
func (b *Book) RecordAnswer(sentAt, now time.Time, ask Ask, loans []redwinghall.RoomLoan, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	z := b.zone(ask.Zone)
	if err != nil {
		z.standingUntil = now.Add(standingTime)
		for _, a := range b.models {
			a.dropBorrowed(ask.Zone)
		}
		return
	}
	z.lastRoundTrip, z.answeredAt = now.Sub(sentAt), now
	wished, granted := map[Model]int{}, map[Model]int{}
	for _, w := range ask.Wishes {
		m := Model{w.Service, w.Model}
		wished[m] += w.Streams
		delete(b.account(m).borrowed, party{ask.Zone, w.Urgency})
	}
	for _, l := range loans {
		m := Model{l.Service, l.Model}
		granted[m] += l.Streams
		a := b.account(m)
		a.borrowed[party{ask.Zone, l.Urgency}] = loan{l.Streams, sentAt.Add(min(l.Lasts, loanTime))}
		a.borrowedAt = now
	}
	for m, n := range wished {
		b.account(m).answers[ask.Zone] = answer{askedAt: sentAt, granted: min(1, float64(granted[m])/float64(max(1, n)))}
	}
}

// Exit is how a stream leaves the zone.
type Exit string

// The ways of a stream that finds no room in its zone.
const (
	// Stays: it is refused, or waits for a place of its own zone.
	Stays Exit = "stays"
	// OnLoan: it takes room that the other zone lent.
	OnLoan Exit = "on_loan"
	// Spare: it asks for room without a loan, where nobody asked for it: at a zone that has
	// some to spare and wasn't asked yet or granted all, or as one of few at another one.
	Spare Exit = "spare"
	// Standing: it asks for room without a loan, as that zone lends none by any wish, or its
	// own zone has no group for it.
	Standing Exit = "standing"
)

// Leave returns the zone for a stream that finds no room in its own one, and spends a loan
// if there is one. emptiest returns the zone that looks emptiest, "" if none has room.
func (b *Book) Leave(now time.Time, s Stream, usable func(zone string) bool, emptiest func() string) (zone string, exit Exit) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(s.Model)
	if zone := a.spendBorrowed(now, s, usable, func(zone string) bool { return b.pays(now, zone, s) }); zone != "" {
		return zone, OnLoan
	}
	return b.leaveWithoutLoan(now, a, s, emptiest)
}

func (b *Book) pays(now time.Time, name string, s Stream) bool {
	there := b.Room(now, name, s.Model, s.Objective)
	gain := Gain(max(s.Here, s.Objective), Away{FirstEvent: there.FirstEvent, Age: there.Age, RoundTrip: b.zone(name).roundTrip(now)})
	return Pays(gain, s.Bytes(), b.Price)
}

// spendBorrowed spends one stream of the largest loan that suits, "" if there is none. A stream may take what
// was lent for less urgent ones, but not the reverse.
func (a *account) spendBorrowed(now time.Time, s Stream, usable, pays func(zone string) bool) string {
	var best party
	most := 0
	for p, l := range a.borrowed {
		if left := l.left(now); left > most && p.urgency >= s.Urgency && usable(p.zone) {
			best, most = p, left
		}
	}
	if most == 0 || !pays(best.zone) {
		return ""
	}
	rest := a.borrowed[best]
	rest.streams--
	a.borrowed[best] = rest
	return best.zone
}

// leaveWithoutLoan decides about a stream for which nothing is borrowed. A wish may have been
// too small, as the zone may not ask again at once: what the other zone has to spare isn't
// left idle then. A zone without groups of the model has nothing to wait for.
func (b *Book) leaveWithoutLoan(now time.Time, a *account, s Stream, emptiest func() string) (string, Exit) {
	name := emptiest()
	if name == "" || !b.pays(now, name, s) {
		return "", Stays
	}
	z := b.zone(name)
	switch {
	case !z.lends || now.Before(z.standingUntil) || s.Here == 0:
		return name, Standing
	case !b.hasRoomToSpare(now, name, s):
		return "", Stays
	case a.granted(now, name) >= 1:
		return name, Spare
	case !a.spare.take(now, b.rates(now, a).missed):
		return "", Stays
	}
	return name, Spare
}

// hasRoomToSpare reports whether a zone has more places free than its own callers may have
// taken since it shared its loads.
func (b *Book) hasRoomToSpare(now time.Time, name string, s Stream) bool {
	there := b.Room(now, name, s.Model, s.Objective)
	return float64(there.Free) > there.PerSecond*loadsAge.Seconds()
}

// dropBorrowed drops all loans of a zone.
func (a *account) dropBorrowed(zone string) {
	for p := range a.borrowed {
		if p.zone == zone {
			delete(a.borrowed, p)
		}
	}
}
