package soak

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Bounds on the time after the start of all nodes, as the users state them for their smaller
// deployment.
const (
	// firstAnswerBound is the time in which a node that runs must be in touch.
	firstAnswerBound = 3 * time.Second
	// servedBound is the time from which requests must be served.
	servedBound = 12 * time.Second
	// servedWindow is the time over which nine of ten first tries must be served.
	servedWindow = time.Second
	servedStep   = 100 * time.Millisecond
	// minWindowTries is the least number of tries in a window that shows something.
	minWindowTries = 10
)

// firstTries are the first attempts of all requests, by the time at which they were made.
type firstTries struct {
	mu  sync.Mutex
	all []firstTry
}

type firstTry struct {
	sent, answered time.Time // answered is zero unless a successful response began
}

// begin records an attempt that is the first of its request.
func (f *firstTries) begin(x *exchange) {
	f.mu.Lock()
	defer f.mu.Unlock()
	i := len(f.all)
	f.all = append(f.all, firstTry{sent: time.Now()})
	x.onHead = func(status int) {
		if status != http.StatusOK {
			return
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		f.all[i].answered = time.Now()
	}
}

// count counts the tries sent in a time, and those of them that were answered with success.
func (f *firstTries) count(from, to time.Time) (sent, served int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, one := range f.all {
		if one.sent.Before(from) || !one.sent.Before(to) {
			continue
		}
		sent++
		if !one.answered.IsZero() {
			served++
		}
	}
	return sent, served
}

// firstAnswer returns when the first answer to a request sent after a time began.
func (f *firstTries) firstAnswer(after time.Time) (time.Time, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var first time.Time
	for _, one := range f.all {
		if one.sent.After(after) && !one.answered.IsZero() && (first.IsZero() || one.answered.Before(first)) {
			first = one.answered
		}
	}
	return first, !first.IsZero()
}

// servedFrom returns the beginning of the first window, which is complete by now, in which
// nine of ten tries were served.
func (f *firstTries) servedFrom(from, now time.Time) (time.Time, bool) {
	for at := from; !at.Add(servedWindow).After(now); at = at.Add(servedStep) {
		sent, served := f.count(at, at.Add(servedWindow))
		if sent >= minWindowTries && float64(served) >= minServedRatio*float64(sent) {
			return at, true
		}
	}
	return time.Time{}, false
}

// checkRecovery checks how soon after an end of all nodes they served again, and adds the
// times to the report.
func (f *firstTries) checkRecovery(report *Report, killedAt, firstStart, lastStart, now time.Time) {
	answer, answered := f.firstAnswer(killedAt)
	from, served := f.servedFrom(lastStart, now)
	switch {
	case !answered || answer.Sub(lastStart) > firstAnswerBound:
		report.violate("after the kill of all nodes at %s the first answer came at %s, the last start was at %s", clock(killedAt), clock(answer), clock(lastStart))
	case !served || from.Sub(lastStart) > servedBound:
		report.violate("after the kill of all nodes at %s and the last start at %s nine of ten first tries were served from %s", clock(killedAt), clock(lastStart), clock(from))
	}
	report.note("kill of all nodes at %s: first start %s, last start %s after; first answer %s after the first start; nine of ten first tries served from %s after the last start",
		clock(killedAt), round(firstStart.Sub(killedAt)), round(lastStart.Sub(killedAt)), round(answer.Sub(firstStart)), round(from.Sub(lastStart)))
}

func round(duration time.Duration) time.Duration { return duration.Round(10 * time.Millisecond) }

// note adds a figure of the run to the report.
func (r *Report) note(format string, args ...any) {
	r.Notes = append(r.Notes, fmt.Sprintf(format, args...))
}

func (r *Report) violate(format string, args ...any) {
	r.Violations = append(r.Violations, fmt.Sprintf(format, args...))
}
