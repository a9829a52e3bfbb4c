package quarantine

import (
	"slices"
	"time"
)

const (
	// trustTime is how long an endpoint's answer on a part speaks for the part. A part that was answered on so
	// recently is suspected only once it was at two ends.
	trustTime = 30 * time.Second
	// clusterGap separates ends that count one by one. Processes that end together have another cause in
	// common than a part of which requests wait at all of them.
	clusterGap = 100 * time.Millisecond
	// sameEndTime is how far apart nodes may find the same end of a process. What is found later is the end of the
	// next process of the endpoint, whose entry the node hadn't read yet.
	sameEndTime = time.Second
	// condemningScore is the number of ends that condemns a part.
	condemningScore = 3
	// condemningShare is the least share of the ends, from the first to the last one at which the part was, in
	// hundredths. Where many processes end, a part is at some of them by chance.
	condemningShare = 33
	// condemningTrials is the number of trials in a row that condemns a part whatever else ends: a trial
	// is one request, and takes less than a second.
	condemningTrials = 3
	// condemningOwnTrials is the same for a request's own part. Only its own request pays if it was there by
	// chance, and the third end must be the last.
	condemningOwnTrials = 2
	// firstRetest is the time until a quarantined part is tried again, by one request of all nodes. Each
	// end doubles it, up to lastRetest: an endpoint may be mended meanwhile, and nobody tells.
	firstRetest = 10 * time.Minute
	lastRetest  = 8 * time.Hour
)

// evidence is what speaks against a part.
type evidence struct {
	score  int // ends that count one by one
	trials int // ends of trials
	ends   int // processes that ended
	all    int // processes that ended from the first of them to the last, under whatever; 0 if they don't decide
	// firstAt and lastAt are the times of the first and the last end.
	firstAt, lastAt time.Time
	// companions are the suspected parts that all its requests had, itself included. Parts that endpoints
	// answered on shortly before are left out: they don't end endpoints by themselves.
	companions []Part
}

// end is the end of one process at which a part was.
type end struct {
	at    time.Time
	trial bool
}

// evidenceOn collects what speaks against a part. The lock is held.
func (t *Table) evidenceOn(part Part) evidence {
	var e evidence
	ends := endsOf(t.live[part])
	for i, s := range t.live[part] {
		if i == 0 {
			e.companions = slices.Clone(s.live)
		} else {
			e.companions = slices.DeleteFunc(e.companions, func(p Part) bool { return !slices.Contains(s.live, p) })
		}
	}
	e.ends = len(ends)
	e.count(ends)
	if e.score >= condemningScore && e.trials > 0 {
		e.all = t.endsBetween(e.firstAt, e.lastAt)
	}
	e.companions = slices.DeleteFunc(e.companions, func(p Part) bool { return p != part && trusted(t.provenAt(p), e.firstAt) })
	return e
}

// endsOf returns the ends of processes at which some suspects were, in the order of time.
func endsOf(suspects []*suspect) []end {
	sorted := slices.SortedFunc(slices.Values(suspects), func(a, b *suspect) int { return a.At.Compare(b.At) })
	latest := map[Process]int{} // index of the process's latest end
	var ends []end
	for _, s := range sorted {
		i, known := latest[s.Process]
		if !known || s.At.Sub(ends[i].at) > sameEndTime {
			i = len(ends)
			latest[s.Process] = i
			ends = append(ends, end{at: s.At})
		}
		ends[i].trial = ends[i].trial || s.Trial
	}
	return ends
}

// trusted reports whether an endpoint's answer on a part speaks for the part at some later time.
func trusted(proven, at time.Time) bool { return !proven.IsZero() && at.Sub(proven) < trustTime }

// count derives the figures from the ends, which are in the order of time.
func (e *evidence) count(ends []end) {
	var counted time.Time // when the last end came that wasn't a trial's
	for _, one := range ends {
		switch {
		case one.trial:
			e.trials++
			e.score++
		case counted.IsZero() || one.at.Sub(counted) > clusterGap:
			e.score++
			counted = one.at
		}
	}
	if len(ends) > 0 {
		e.firstAt, e.lastAt = ends[0].at, ends[len(ends)-1].at
	}
}

// suspicious reports whether requests with the part are sent one at a time. proven is when an endpoint last
// answered on it.
func (e evidence) suspicious(proven time.Time) bool {
	return e.score > 1 || (e.score == 1 && !trusted(proven, e.firstAt))
}

// condemns reports whether requests with the part, and its companions, are refused.
func (e evidence) condemns(part Part) bool {
	if e.score < condemningScore || e.trials == 0 {
		return false
	}
	trials := condemningTrials
	if isOwn(part.ID) {
		trials = condemningOwnTrials
	}
	return e.trials >= trials || 100*e.ends >= condemningShare*e.all
}

// retestAt returns when one request with the part may be sent again.
func (e evidence) retestAt() time.Time {
	wait := firstRetest
	for range max(0, e.ends-condemningScore) {
		wait = min(2*wait, lastRetest)
	}
	return e.lastAt.Add(wait)
}
