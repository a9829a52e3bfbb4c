package balance

import (
	"time"

	"redwinghall/fleet"
)

const (
	// permitBurst is how many unused permits of an endpoint may accumulate.
	permitBurst = 1
	// minPermitRate is the lowest rate, per second, at which an endpoint is tried,
	// even if its limit is lower: only an answer can show that the limit has ended.
	minPermitRate = 0.1
	// firstPermitShare is the part of a limit that the node of the first rank issues,
	// and the part of the remainder that each following rank issues.
	firstPermitShare = 0.8
	// limitShareTime is how long a report of a limit is shared with others: several
	// of the intervals at which nodes and zones share their loads.
	limitShareTime = 2 * time.Second
	// sameReportTolerance is the difference in time below which two equal reports
	// count as the same one: each node that forwards a report adds its transit time.
	sameReportTolerance = 100 * time.Millisecond
	// minPermitRetry and maxPermitRetry bound how long a node skips an endpoint for
	// which it got no permit.
	minPermitRetry = 20 * time.Millisecond
	maxPermitRetry = 2 * time.Second
)

// LimitReport is a report of an endpoint's rate limit, as nodes share it.
type LimitReport struct {
	Endpoint string
	Limit    fleet.RateLimit
	Age      time.Duration
}

// limitState is the newest report of an endpoint's rate limit, and the permits for
// it. The tracker's lock guards it.
type limitState struct {
	limit      fleet.RateLimit
	namedAt    time.Time // when the endpoint reported it; zero if it never did
	receivedAt time.Time // when this node itself last got it from the endpoint
	changedAt  time.Time
	// permits holds the permits that this node may issue.
	permits bucket
	// permitDeniedUntil is until when this node skips the endpoint because it got no
	// permit for it.
	permitDeniedUntil time.Time
}

// PermitShare returns the part of an endpoint's limit that a node issues, by its
// rank among the nodes that may issue permits; 0 is the first.
//
// Nodes that don't see each other may disagree on which of them issues. The shares
// of all ranks add up to at most one, so the endpoint gets no more than its limit
// whichever nodes issue.
func PermitShare(rank int) float64 {
	share := firstPermitShare
	for range rank {
		share *= 1 - firstPermitShare
	}
	return share
}

// set applies a report. It returns whether the limit differs from the previous one.
func (l *limitState) set(now, namedAt time.Time, limit fleet.RateLimit) bool {
	changed := l.limit != limit
	if limit.Named && !l.limit.Named {
		// No permit is available at first: earlier requests are still in progress.
		l.permits = bucket{filledAt: now}
		l.permitDeniedUntil = time.Time{}
	}
	l.limit, l.namedAt = limit, namedAt
	if changed {
		l.changedAt = now
	}
	return changed
}

// issue issues one permit, or returns the wait until there is one.
func (l *limitState) issue(now time.Time, share float64) (ok bool, wait time.Duration) {
	if !l.limit.Named {
		return true, 0
	}
	rate := l.issueRate(share)
	if l.permits.take(now, rate, permitBurst) {
		return true, 0
	}
	return false, l.untilPermit(now, rate)
}

func (l *limitState) issueRate(share float64) float64 {
	return share * max(l.limit.PerSecond, minPermitRate)
}

// untilPermit returns how long it takes until a permit can be issued.
func (l *limitState) untilPermit(now time.Time, rate float64) time.Duration {
	if l.permits.has(now, rate, permitBurst) {
		return 0
	}
	if rate <= 0 {
		return maxPermitRetry
	}
	return time.Duration((1 - l.permits.tokens) / rate * float64(time.Second))
}

// RecordLimit records the rate limit in an endpoint's answer, the zero value if the
// answer has none. ran reports whether the request ran. It returns the previous
// limit and whether it has changed.
//
// Answers may arrive out of order. An answer without a limit ends a limit only if
// its request ran and was sent after the limit was named.
func (a *Attempt) RecordLimit(now time.Time, limit fleet.RateLimit, ran bool) (before fleet.RateLimit, changed bool) {
	a.t.mu.Lock()
	defer a.t.mu.Unlock()
	l := &a.s.limit
	before = l.limit
	if !limit.Named && (!before.Named || !ran || a.sentAt.Before(l.namedAt)) {
		return before, false
	}
	a.t.anyLimit = true
	l.receivedAt = now
	return before, l.set(now, now, limit)
}

// MergeLimits merges the limit reports of other nodes. The newest report of an
// endpoint wins.
func (t *Tracker) MergeLimits(now time.Time, reports []LimitReport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, report := range reports {
		t.mergeLimit(now, report)
	}
}

// mergeLimit merges one report. The lock is held.
func (t *Tracker) mergeLimit(now time.Time, report LimitReport) {
	l := &t.state(report.Endpoint, now).limit
	namedAt := now.Add(-report.Age)
	newer := namedAt.Sub(l.namedAt)
	if newer <= 0 || (report.Limit == l.limit && newer < sameReportTolerance) {
		return
	}
	t.anyLimit = true
	l.set(now, namedAt, report.Limit)
}

// OwnLimitReports returns the limits that endpoints reported to this node within
// limitShareTime.
func (t *Tracker) OwnLimitReports(now time.Time) []LimitReport {
	return t.limitReports(now, func(l *limitState) bool { return now.Sub(l.receivedAt) < limitShareTime })
}

// ChangedLimits returns the limits of which this node recorded a change within
// limitShareTime.
func (t *Tracker) ChangedLimits(now time.Time) []LimitReport {
	return t.limitReports(now, func(l *limitState) bool { return now.Sub(l.changedAt) < limitShareTime })
}

// Limits returns all limits in force.
func (t *Tracker) Limits(now time.Time) []LimitReport {
	return t.limitReports(now, func(l *limitState) bool { return l.limit.Named })
}

func (t *Tracker) limitReports(now time.Time, wanted func(*limitState) bool) []LimitReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.anyLimit {
		return nil
	}
	var reports []LimitReport
	for id, s := range t.states {
		if !s.limit.namedAt.IsZero() && wanted(&s.limit) {
			reports = append(reports, s.limit.report(now, id))
		}
	}
	return reports
}

func (l *limitState) report(now time.Time, id string) LimitReport {
	return LimitReport{Endpoint: id, Limit: l.limit, Age: now.Sub(l.namedAt)}
}

// Limit returns the newest report of an endpoint's limit, without a limit if there
// is none.
func (t *Tracker) Limit(now time.Time, id string) LimitReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.states[id]; ok {
		return s.limit.report(now, id)
	}
	return LimitReport{Endpoint: id}
}

// Permit is the answer to a node that asks to send a request to an endpoint with a
// rate limit.
type Permit struct {
	Given bool
	// Wait is the time until the next permit if none was given.
	Wait time.Duration
	// Limit is the issuing node's newest report of the limit.
	Limit LimitReport
}

// IssuePermit issues a permit for one request to an endpoint from this node's share
// of the limit. reported is the requesting node's newest report of it.
func (t *Tracker) IssuePermit(now time.Time, reported LimitReport, share float64) Permit {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.mergeLimit(now, reported)
	l := &t.state(reported.Endpoint, now).limit
	given, wait := l.issue(now, share)
	return Permit{Given: given, Wait: wait, Limit: l.report(now, reported.Endpoint)}
}

// RecordPermitDenied records that this node got no permit for an endpoint. The
// endpoint is skipped until there may be one.
func (t *Tracker) RecordPermitDenied(now time.Time, id string, wait time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state(id, now).limit.permitDeniedUntil = now.Add(min(max(wait, minPermitRetry), maxPermitRetry))
}

// limitedFor returns this node's estimate of how long an endpoint's rate limit
// allows no further request.
func (r Request) limitedFor(now time.Time, s *State) time.Duration {
	l := &s.limit
	switch {
	case !l.limit.Named:
		return 0
	case r.PermitShare > 0:
		return l.untilPermit(now, l.issueRate(r.PermitShare))
	}
	return max(0, l.permitDeniedUntil.Sub(now))
}
