package lend_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall"
	"redwinghall/lend"
)

// ample is the room of a zone that lends; a second of its groups is 200 streams.
var ample = lend.Room{Free: 100, PerSecond: 200, FirstEvent: 100 * time.Millisecond}

// rooms are the rooms of zones as one of them sees them; a zone that is missing has none.
type rooms map[string]lend.Room

func (r rooms) book(zone string) *lend.Book {
	return lend.NewBook(lend.Options{Zone: zone, Room: func(_ time.Time, of string, _ lend.Model, _ time.Duration) lend.Room { return r[of] }})
}

func after(d time.Duration) time.Time { return start.Add(d) }

func stream(urgency int) lend.Stream {
	return lend.Stream{Model: model, Urgency: urgency, Objective: objective, Prompt: 800, Answer: 200, Here: 400 * time.Millisecond}
}

func wishFor(streams, urgency int) redwinghall.RoomWish {
	return redwinghall.RoomWish{Service: model.Service, Model: model.Name, Urgency: urgency, Objective: objective, Streams: streams}
}

// recordSecond records the streams of the second before a time.
func recordSecond(b *lend.Book, before time.Time, placed, missed int) {
	for i := range placed + missed {
		at := before.Add(-time.Second + time.Duration(i)*time.Second/time.Duration(placed+missed))
		b.Record(at, stream(0), i < placed)
	}
}

var others = []lend.Other{{Name: "b", Lends: true}, {Name: "c", Lends: true}}

// shortBook returns the book of zone a, which is short two seconds after the start, with a
// loan of b of that many streams.
func shortBook(t *testing.T, loan int) *lend.Book {
	t.Helper()
	b := rooms{"b": ample}.book("a")
	recordSecond(b, after(time.Second), 50, 50)
	recordSecond(b, after(2*time.Second), 50, 50)
	asks := b.Ask(after(2*time.Second), others)
	require.Len(t, asks, 1)
	require.Equal(t, "b", asks[0].Zone)
	require.GreaterOrEqual(t, asks[0].Wishes[0].Streams, 50)
	b.RecordAnswer(after(2*time.Second), after(2*time.Second), asks[0], loans(loan), nil)
	return b
}

func loans(streams int) []redwinghall.RoomLoan {
	return []redwinghall.RoomLoan{{Service: model.Service, Model: model.Name, Streams: streams, Lasts: 1500 * time.Millisecond}}
}

func leave(b *lend.Book, at time.Duration) (string, lend.Exit) {
	return b.Leave(after(at), stream(0), func(string) bool { return true }, func() string { return "" })
}

// A loan is spent stream by stream, and then streams stay.
func TestLoanIsSpent(t *testing.T) {
	b := shortBook(t, 3)
	for range 3 {
		zone, exit := leave(b, 2100*time.Millisecond)
		require.Equal(t, lend.OnLoan, exit)
		require.Equal(t, "b", zone)
	}
	_, exit := leave(b, 2100*time.Millisecond)
	require.Equal(t, lend.Stays, exit)
}

// The lender dies or is cut off, or runs an older version: its answer is an error. Its loans
// must not be used any more, and streams go there as before, each with a question.
func TestLenderDoesNotAnswer(t *testing.T) {
	b := shortBook(t, 30)
	recordSecond(b, after(3100*time.Millisecond), 50, 50)
	asks := b.Ask(after(3100*time.Millisecond), others)
	require.Len(t, asks, 1)
	b.RecordAnswer(after(3100*time.Millisecond), after(3200*time.Millisecond), asks[0], nil, errors.New("no route"))
	for range 20 {
		zone, exit := b.Leave(after(3200*time.Millisecond), stream(0), func(string) bool { return true }, func() string { return "b" })
		require.Equal(t, lend.Standing, exit)
		require.Equal(t, "b", zone)
	}
	recordSecond(b, after(5*time.Second), 50, 50)
	require.Empty(t, b.Ask(after(5*time.Second), others), "asked again although it may be an older version")
	recordSecond(b, after(9*time.Second), 50, 50)
	require.Len(t, b.Ask(after(9*time.Second), others), 1)
}

// One of two lenders is cut off: the other one still lends.
func TestOneOfTwoLendersIsCutOff(t *testing.T) {
	b := rooms{"b": ample, "c": ample}.book("a")
	recordSecond(b, after(2*time.Second), 50, 50)
	for _, ask := range b.Ask(after(2*time.Second), others) {
		if ask.Zone == "b" {
			b.RecordAnswer(after(2*time.Second), after(2500*time.Millisecond), ask, nil, errors.New("cut off"))
			continue
		}
		b.RecordAnswer(after(2*time.Second), after(2010*time.Millisecond), ask, loans(10), nil)
	}
	zone, exit := leave(b, 2600*time.Millisecond)
	require.Equal(t, lend.OnLoan, exit)
	require.Equal(t, "c", zone)
}

// The borrower dies with a loan: the lender gets its room back when the loan's time is over.
func TestBorrowerDies(t *testing.T) {
	b := rooms{"b": ample}.book("b")
	first := b.Lend(start, "a", wishFor(500, 0))
	require.Positive(t, first.Streams)
	require.Zero(t, b.Lend(after(time.Second), "c", wishFor(500, 0)).Streams, "lent twice")
	require.Positive(t, b.Lend(after(1600*time.Millisecond), "c", wishFor(500, 0)).Streams)
}

// The borrower's process stands still: when it runs again, it must not use the loan that it
// believes in, and the lender doesn't count it either.
func TestBorrowerStandsStill(t *testing.T) {
	b := shortBook(t, 30)
	_, exit := leave(b, 7*time.Second)
	require.Equal(t, lend.Stays, exit)
	lender := rooms{"b": ample}.book("b")
	require.Positive(t, lender.Lend(start, "a", wishFor(30, 0)).Streams)
	require.False(t, lender.Spend(after(5*time.Second), "a", model, 0))
}

// The lender stands still with a loan: its own callers' streams of before are no demand, and
// the loan is over.
func TestLenderStandsStill(t *testing.T) {
	b := rooms{"b": ample}.book("b")
	recordSecond(b, after(time.Second), 180, 0)
	require.Positive(t, b.Lend(after(time.Second), "a", wishFor(30, 0)).Streams)
	require.False(t, b.Spend(after(9*time.Second), "a", model, 0))
	require.Equal(t, 150, b.Lend(after(9*time.Second), "a", wishFor(150, 0)).Streams)
}

// An answer is late: the loan counts from when it was asked for, so it may be over.
func TestAnswerIsLate(t *testing.T) {
	b := rooms{"b": ample}.book("a")
	recordSecond(b, after(2*time.Second), 50, 50)
	asks := b.Ask(after(2*time.Second), others)
	b.RecordAnswer(after(2*time.Second), after(3600*time.Millisecond), asks[0], loans(30), nil)
	_, exit := leave(b, 3600*time.Millisecond)
	require.Equal(t, lend.Stays, exit)
}

// An answer came late because this process stood still: the zone is asked again, as the way to it
// isn't longer than before.
func TestZoneIsAskedAgainAfterLateAnswer(t *testing.T) {
	b := rooms{"b": ample}.book("a")
	recordSecond(b, after(2*time.Second), 50, 50)
	b.RecordAnswer(after(2*time.Second), after(4*time.Second), b.Ask(after(2*time.Second), others)[0], loans(30), nil)
	recordSecond(b, after(9*time.Second), 50, 50)
	require.NotEmpty(t, b.Ask(after(9*time.Second), others))
}

// The lender's zone is evacuated: it lends nothing, and a loan of before isn't used.
func TestLenderIsEvacuated(t *testing.T) {
	g := rooms{}.book("b").Grant(start, "a", wishFor(10, 0))
	require.Zero(t, g.Loan.Streams)
	require.Equal(t, "lender_full", g.Reason)
	_, exit := shortBook(t, 30).Leave(after(2100*time.Millisecond), stream(0), func(zone string) bool { return zone != "b" }, func() string { return "" })
	require.Equal(t, lend.Stays, exit)
}

// The borrower's zone is evacuated and has no group left: what isn't borrowed isn't held to the part without a loan.
func TestBorrowerIsEvacuated(t *testing.T) {
	b := shortBook(t, 1)
	gone := stream(0)
	gone.Here = 0
	exits := map[lend.Exit]int{}
	for range 10 {
		zone, exit := b.Leave(after(2100*time.Millisecond), gone, func(string) bool { return true }, func() string { return "b" })
		require.Equal(t, "b", zone)
		exits[exit]++
	}
	require.Equal(t, map[lend.Exit]int{lend.OnLoan: 1, lend.Standing: 9}, exits)
}

// Two nodes believe that they choose for the borrower, and both ask: the lender counts one
// loan, so that no more is used than it can spare.
func TestTwoNodesBorrowForAZone(t *testing.T) {
	b := rooms{"b": ample}.book("b")
	require.Equal(t, 10, b.Lend(start, "a", wishFor(10, 0)).Streams)
	require.Equal(t, 10, b.Lend(start, "a", wishFor(10, 0)).Streams)
	spent := 0
	for range 20 {
		if b.Spend(after(time.Second), "a", model, 0) {
			spent++
		}
	}
	require.Equal(t, 10, spent)
}

// Two nodes believe that they choose for the lender: a stream reaches the one that didn't
// lend, and is placed there only if room is left beside what that one lent.
func TestTwoNodesLendForAZone(t *testing.T) {
	room := rooms{"b": ample}
	b := room.book("b")
	require.False(t, b.Spend(start, "a", model, 0))
	require.True(t, b.AcceptsWithoutLoan(start, "a", model, objective))
	require.Positive(t, b.Lend(start, "c", wishFor(500, 0)).Streams)
	room["b"] = lend.Room{Free: 5, PerSecond: 200}
	require.False(t, b.AcceptsWithoutLoan(start, "a", model, objective))
	require.True(t, b.AcceptsWithoutLoan(start, "c", model, objective), "kept from the zone that has the loan")
}

// A zone that is short itself lends nothing, however many of its places look free, and not
// for some time after; else two zones would send each other their streams by turns.
func TestBorrowerLendsNothing(t *testing.T) {
	room := rooms{"a": ample, "b": ample}
	b := room.book("a")
	recordSecond(b, after(2*time.Second), 50, 50)
	require.NotEmpty(t, b.Ask(after(2*time.Second), others))
	require.Equal(t, "lender_borrows", b.Grant(after(4900*time.Millisecond), "b", wishFor(10, 0)).Reason)
	require.Equal(t, 10, b.Lend(after(5100*time.Millisecond), "b", wishFor(10, 0)).Streams)
}

// A zone asks none that has a loan of its own.
func TestAsksNoBorrower(t *testing.T) {
	room := rooms{"a": ample, "b": ample, "c": ample}
	b := room.book("a")
	require.Positive(t, b.Lend(after(1900*time.Millisecond), "b", wishFor(10, 0)).Streams)
	recordSecond(b, after(2*time.Second), 50, 50)
	asks := b.Ask(after(2*time.Second), others)
	require.Len(t, asks, 1)
	require.Equal(t, "c", asks[0].Zone)
}

// The lender's own callers come more often each second: what they will ask for within the
// loan isn't lent.
func TestGrowingDemandIsNotLent(t *testing.T) {
	for name, c := range map[string]struct{ before, now int }{"steady": {60, 60}, "growing": {60, 150}} {
		t.Run(name, func(t *testing.T) {
			b := rooms{"b": {Free: 40, PerSecond: 200}}.book("b")
			for second, n := range []int{c.before, c.before, c.before, c.now} {
				recordSecond(b, after(time.Duration(second+1)*time.Second), n, 0)
			}
			loan := b.Lend(after(4*time.Second), "a", wishFor(100, 0))
			if c.now > c.before {
				require.Zero(t, loan.Streams)
				return
			}
			require.Equal(t, 100, loan.Streams)
		})
	}
}

// Several zones are short: the lender splits its room among them by their wishes.
func TestLenderSplitsRoom(t *testing.T) {
	b := rooms{"b": ample}.book("b")
	b.Lend(start, "a", wishFor(400, 0))
	b.Lend(start, "c", wishFor(200, 0))
	a := b.Lend(after(time.Second), "a", wishFor(400, 0)).Streams
	c := b.Lend(after(time.Second), "c", wishFor(200, 0)).Streams
	require.InDelta(t, 2, float64(a)/float64(c), 0.1)
	require.LessOrEqual(t, a+c, 225) // a second of the groups, and a quarter of the free places
}

// Answers are eight times shorter than usual, and the lender's own callers ask for more than its
// groups would serve of usual length, while most of its places are free.
func TestShortAnswersLeaveRoomToLend(t *testing.T) {
	for name, c := range map[string]struct{ asked, inProgress int }{"short": {300, 20}, "usual": {38, 20}} {
		t.Run(name, func(t *testing.T) {
			b := rooms{"b": {Free: 80, PerSecond: 180, InProgress: c.inProgress, UsualRate: 36, FirstEvent: 100 * time.Millisecond}}.book("b")
			for tick := range 60 {
				recordPart(b, after(time.Duration(tick)*100*time.Millisecond), c.asked/10)
				b.Ask(after(time.Duration(tick+1)*100*time.Millisecond), nil)
			}
			loan := b.Lend(after(6*time.Second), "a", wishFor(1000, 0))
			if name == "short" {
				require.Greater(t, loan.Streams, 300)
				return
			}
			require.LessOrEqual(t, loan.Streams, 180+20-c.asked)
		})
	}
}

// recordPart records streams that found room, in the tenth of a second after a time.
func recordPart(b *lend.Book, from time.Time, placed int) {
	for i := range placed {
		b.Record(from.Add(time.Duration(i)*100*time.Millisecond/time.Duration(placed)), stream(0), true)
	}
}

// A more urgent wish is granted before a less urgent one.
func TestUrgentWishesFirst(t *testing.T) {
	b := rooms{"b": ample}.book("b")
	require.Equal(t, 200, b.Lend(start, "a", wishFor(200, 0)).Streams)
	require.Equal(t, 25, b.Lend(start, "c", wishFor(200, 2)).Streams)
}

// A borrower spreads its wish by the places that are free, so that the emptiest zone isn't
// filled while others have room.
func TestWishIsSpread(t *testing.T) {
	b := rooms{"b": {Free: 90, PerSecond: 200}, "c": {Free: 30, PerSecond: 200}}.book("a")
	recordSecond(b, after(2*time.Second), 50, 50)
	asks := b.Ask(after(2*time.Second), others)
	require.Len(t, asks, 2)
	require.InDelta(t, 3, float64(asks[0].Wishes[0].Streams)/float64(asks[1].Wishes[0].Streams), 0.2)
}

// A wave grows, and there is room yet: the zone asks before the first stream finds none.
func TestAsksBeforeTheNeed(t *testing.T) {
	b := rooms{"a": {Free: 10, PerSecond: 100}, "b": ample}.book("a")
	for second, n := range []int{50, 50, 50, 95} {
		recordSecond(b, after(time.Duration(second+1)*time.Second), n, 0)
	}
	require.NotEmpty(t, b.Ask(after(4*time.Second), others))
}

// A stream whose bytes cost more than the time that its caller gains stays.
func TestLargeStreamStays(t *testing.T) {
	b := shortBook(t, 30)
	large := stream(0)
	large.Prompt = 100_000
	_, exit := b.Leave(after(2100*time.Millisecond), large, func(string) bool { return true }, func() string { return "b" })
	require.Equal(t, lend.Stays, exit)
}

// Beside loans only a small part of the streams leaves, and only to ample room.
func TestPartWithoutLoanIsSmall(t *testing.T) {
	b := rooms{"b": ample}.book("a")
	left := 0
	for i := range 2000 { // 10 s
		at := after(time.Duration(i) * 5 * time.Millisecond)
		b.Record(at, stream(0), false)
		if i%20 == 0 {
			b.Ask(at, others) // isn't answered
		}
		if _, exit := b.Leave(at, stream(0), func(string) bool { return true }, func() string { return "b" }); exit == lend.Spare {
			left++
		}
	}
	require.Positive(t, left)
	require.LessOrEqual(t, left, 2000/20)
}

// 300 nodes in 16 zones, of which half are short all the time: a zone sends each other one at
// most one message a second.
func TestMessagesOfManyZones(t *testing.T) {
	const zones, seconds = 16, 10
	room := rooms{}
	var all []lend.Other
	for z := range zones {
		name := fmt.Sprintf("z%d", z)
		all = append(all, lend.Other{Name: name, Lends: true})
		if z >= zones/2 {
			room[name] = ample
		}
	}
	b := room.book("z0")
	asked := map[string]int{}
	for i := range seconds * 20 {
		at := after(time.Duration(i) * 50 * time.Millisecond)
		for range 10 {
			b.Record(at, stream(0), false)
		}
		for _, ask := range b.Ask(at, all[1:]) {
			asked[ask.Zone]++
			b.RecordAnswer(at, at, ask, nil, nil)
		}
	}
	require.Len(t, asked, zones/2)
	for zone, n := range asked {
		require.LessOrEqual(t, n, seconds, zone)
	}
}

// A zone without a dispatcher isn't asked, and streams go there as before.
func TestZoneWithoutDispatcher(t *testing.T) {
	b := rooms{"b": ample}.book("a")
	recordSecond(b, after(2*time.Second), 50, 50)
	require.Empty(t, b.Ask(after(2*time.Second), []lend.Other{{Name: "b"}}))
	zone, exit := b.Leave(after(2*time.Second), stream(0), func(string) bool { return true }, func() string { return "b" })
	require.Equal(t, lend.Standing, exit)
	require.Equal(t, "b", zone)
}

// Models that nobody asks for any more are forgotten, and their loans with them.
func TestForget(t *testing.T) {
	b := shortBook(t, 30)
	b.Forget(after(20 * time.Second))
	_, exit := leave(b, 2100*time.Millisecond)
	require.Equal(t, lend.Stays, exit)
}

// Deployments of one zone, zones of few nodes, and models that a single zone serves keep the
// decision of each stream for itself.
func TestApplies(t *testing.T) {
	for name, c := range map[string]struct {
		chooses bool
		others  []lend.Other
		serving int
		want    bool
	}{
		"two zones that choose":       {true, []lend.Other{{Name: "b", Lends: true}}, 2, true},
		"one of the others chooses":   {true, []lend.Other{{Name: "b"}, {Name: "c", Lends: true}}, 2, true},
		"one zone":                    {true, nil, 1, false},
		"this zone has few nodes":     {false, []lend.Other{{Name: "b", Lends: true}}, 2, false},
		"the others have few nodes":   {true, []lend.Other{{Name: "b"}, {Name: "c"}}, 3, false},
		"a single zone serves it":     {true, []lend.Other{{Name: "b", Lends: true}}, 1, false},
		"no zone serves it right now": {true, []lend.Other{{Name: "b", Lends: true}}, 0, false},
	} {
		t.Run(name, func(t *testing.T) { require.Equal(t, c.want, lend.Applies(c.chooses, c.others, c.serving)) })
	}
}
