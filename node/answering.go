package node

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"redwinghall/kernel"
)

// Timing of the answers that a node which ends gives in portions.
const (
	// answerPollInterval is how often the next portion is chosen.
	answerPollInterval = 10 * time.Millisecond
	// minPortion is the least that is answered at once if more wait: fewer say little on how fast answers go.
	minPortion = 32
	// portionTime is for how long the answers of one portion may take. More at once would hold up what decides.
	portionTime = 100 * time.Millisecond
	// unmeasuredReserve is how much more time than expected is kept for the answers before any was given, and
	// measuredReserve the same from then on: a processor that others use too may become slower.
	unmeasuredReserve = 4
	measuredReserve   = 2
	// paceWeight is the weight of what was measured before beside a new measurement.
	paceWeight = 0.5
	// shareWeight is the weight that a round has in the next one, which makes the share that of some fifth of a second.
	shareWeight = 0.95
)

// answerPace is how fast a node answers the requests that it ends.
type answerPace struct {
	each     time.Duration // by the clock
	least    time.Duration // each is never believed to be less
	measured bool
}

// newAnswerPace returns the expected pace of a node with a share of a processor, 0 if unknown.
func newAnswerPace(processor float64) answerPace {
	if processor <= 0 || processor > 1 {
		processor = 1 // the runtime uses no more
	}
	each := time.Duration(float64(answerCost) / processor)
	return answerPace{each: each, least: each / 2}
}

// WithMeasured returns the pace after some requests were answered one after the other.
func (p answerPace) WithMeasured(answered int, took time.Duration) answerPace {
	each := took / time.Duration(answered)
	if p.measured {
		each = time.Duration(paceWeight*float64(p.each) + (1-paceWeight)*float64(each))
	}
	p.each, p.measured = max(each, p.least), true
	return p
}

// Due returns how many of the requests that wait for their answers must be answered now, so that all are in time.
func (p answerPace) Due(waiting int, left time.Duration) int {
	reserve := unmeasuredReserve
	if p.measured {
		reserve = measuredReserve
	}
	return max(0, waiting-int(left/(time.Duration(reserve)*p.each)))
}

// Portion returns how many requests may be without the answers that they were promised.
func (p answerPace) Portion() int { return max(minPortion, int(portionTime/p.each)) }

// processShare is what share of the time a process gets lately, as seen by a loop that sleeps for answerPollInterval.
type processShare struct {
	asked, took time.Duration
	seen        time.Time
}

// WithRound returns the share after one more round of the loop.
func (s processShare) WithRound(now time.Time) processShare {
	if !s.seen.IsZero() {
		s.asked = time.Duration(shareWeight*float64(s.asked)) + answerPollInterval
		s.took = time.Duration(shareWeight*float64(s.took)) + max(answerPollInterval, now.Sub(s.seen))
	}
	s.seen = now
	return s
}

// Of returns how much of a time the process gets if its share stays.
func (s processShare) Of(left time.Duration) time.Duration {
	if s.took == 0 {
		return left
	}
	return time.Duration(float64(left) * float64(s.asked) / float64(s.took))
}

// answering gives the answers of a node that ends, portion by portion.
type answering struct {
	conns *connections
	// mu is held while a portion is chosen.
	mu    sync.Mutex
	pace  answerPace
	share processShare
	since time.Time // of the answers that aren't measured yet
	seen  int       // of the answers that were given, those that are measured
	given int       // requests that were ended before the last moment
}

// measure records how fast answers went since they were last measured. None may come as the process was paused, so
// the time for which answers are awaited counts until one comes.
func (a *answering) measure(now time.Time) {
	answered, last := a.conns.endedAnswers()
	if answered == a.seen {
		return
	}
	if a.conns.awaited() == 0 {
		now = last
	}
	a.pace = a.pace.WithMeasured(answered-a.seen, max(0, now.Sub(a.since)))
	a.seen, a.since = answered, now
}

// next ends so many requests at most as belong to one portion, in an order, and returns how many it ended.
func (a *answering) next(now time.Time, count int, order []requestState) int {
	awaited := a.conns.awaited()
	if awaited == 0 {
		a.since = now
	}
	return a.conns.endRequests(now, min(count, a.pace.Portion()-awaited), order)
}

// early ends requests whose answers haven't begun, if there are so many that they would not all have their answers by a time
// if they were ended later. others are requests that need answers then too.
func (a *answering) early(now, until time.Time, others int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.measure(now)
	a.share = a.share.WithRound(now)
	waiting := a.conns.unbegun() + others
	due := a.pace.Due(waiting, a.share.Of(until.Sub(now))) - a.conns.awaited()
	if due <= 0 {
		return
	}
	if a.given == 0 {
		klog.InfoS("answers_begin_early", "waiting", waiting, "left", until.Sub(now), "usable", a.share.Of(until.Sub(now)), "each", a.pace.each)
	}
	a.given += a.next(now, due, []requestState{requestNotSent, requestSent})
}

// last ends requests of any kind, and reports whether none is left that isn't ended.
func (a *answering) last(now time.Time) (all bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.measure(now)
	a.next(now, a.pace.Portion(), []requestState{requestSent, requestNotSent, requestBegun})
	return a.conns.unended() == 0
}

// counts returns how many requests were ended before the last moment, and how long an answer took.
func (a *answering) counts() (given int, each time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.given, a.pace.each
}

// answerEarly answers what can't all be answered in the last moment, until that begins.
func (n *Node) answerEarly(ctx context.Context) {
	for now := time.Now(); now.Before(n.lastMomentBegins()); now = time.Now() {
		n.answers.early(now, n.plannedStop().End.Add(n.last.answers), n.gateway.Forwards())
		if !kernel.Sleep(ctx, answerPollInterval) {
			return
		}
	}
}
