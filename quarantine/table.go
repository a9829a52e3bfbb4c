package quarantine

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxSuspects bounds the suspects that a table holds.
	maxSuspects = 512
	// maxCleared bounds the parts of which a table holds when another node had an answer on them.
	maxCleared = 4096
	// keepAfter is how long a suspect is kept.
	keepAfter = 24 * time.Hour
	// keepClearedAfter is how long a suspect without suspected parts is kept, to be counted among the
	// ends and told to other nodes.
	keepClearedAfter = time.Minute
	// keepOwnAfter is how long a suspect is kept of which only its request's own parts are suspected. A caller
	// that repeats its request does so sooner.
	keepOwnAfter = 5 * time.Minute
	// sameAnswerTime is how much later an answer on a part must be to tell more than the one known before.
	sameAnswerTime = time.Second
)

// Verdict says what becomes of a request.
type Verdict string

// The verdicts.
const (
	// Send: nothing speaks against the request.
	Send Verdict = "send"
	// Trial: the request has a suspected part, so it is sent only as the one trial of all nodes.
	Trial Verdict = "trial"
	// Refuse: the request has a quarantined part.
	Refuse Verdict = "refuse"
)

// Decision is a verdict with its reason.
type Decision struct {
	Verdict Verdict
	Part    Part // the suspected or quarantined part
	// Wait is the time until a request with a quarantined part may be sent again.
	Wait time.Duration
}

// Table holds a node's evidence on parts under which endpoints ended. It is safe for concurrent use.
type Table struct {
	// suspecting spares requests the lock while nothing is suspected.
	suspecting atomic.Bool

	mu       sync.Mutex
	suspects map[suspectKey]*suspect
	// live holds the suspects of each part on which no endpoint has answered since.
	live map[Part][]*suspect
	// cleared holds when any node last had an answer on a part that was suspected.
	cleared map[Part]*clearing
	proven  recentParts
	// provenOwn holds the same of requests' own parts. They are many, and would push out those that are shared.
	provenOwn recentParts
	trials    map[Part]trial
	digest    uint64 // of all suspects
	seq       uint64
	changed   chan struct{} // closed at the next change
}

// clearing is the time of an endpoint's answer on a part.
type clearing struct {
	at time.Time
	news
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		suspects: map[suspectKey]*suspect{}, live: map[Part][]*suspect{}, cleared: map[Part]*clearing{}, trials: map[Part]trial{},
		changed: make(chan struct{}),
	}
}

// Changed returns a channel that is closed at the next change of the table.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// notify records that the table has changed. The lock is held.
func (t *Table) notify() {
	t.suspecting.Store(len(t.live) > 0)
	close(t.changed)
	t.changed = make(chan struct{})
}

// IsSuspecting reports whether any part is suspected or quarantined.
func (t *Table) IsSuspecting() bool { return t.suspecting.Load() }

// Check decides about a request with these parts.
func (t *Table) Check(now time.Time, service string, parts []string) Decision {
	if len(parts) == 0 || !t.suspecting.Load() {
		return Decision{Verdict: Send}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	decision, _ := t.check(now, service, parts)
	return decision
}

// check returns the decision and the parts of which a trial is due. The lock is held.
func (t *Table) check(now time.Time, service string, parts []string) (Decision, []Part) {
	var suspected []Part
	for _, id := range parts {
		part := Part{service, id}
		if len(t.live[part]) == 0 {
			continue
		}
		e := t.evidenceOn(part)
		// Of parts that were always together only a request that has all of them is refused. One that has
		// some shows which of them ends endpoints: else a caller could shut out the part of another one.
		if e.condemns(part) && containsAll(service, parts, e.companions) && now.Before(e.retestAt()) {
			return Decision{Verdict: Refuse, Part: part, Wait: e.retestAt().Sub(now)}, nil
		}
		if e.suspicious(t.provenAt(part)) {
			suspected = append(suspected, part)
		}
	}
	if len(suspected) == 0 {
		return Decision{Verdict: Send}, nil
	}
	return Decision{Verdict: Trial, Part: suspected[0]}, suspected
}

func containsAll(service string, parts []string, wanted []Part) bool {
	for _, one := range wanted {
		found := false
		for _, id := range parts {
			found = found || (Part{service, id}) == one
		}
		if !found {
			return false
		}
	}
	return true
}

// provenAt returns when an endpoint last answered on a part, zero if that isn't known. The lock is held.
func (t *Table) provenAt(part Part) time.Time {
	at := t.provenOf(part).at(part)
	if one, ok := t.cleared[part]; ok && one.at.After(at) {
		return one.at
	}
	return at
}

// provenOf returns the record that holds a part. The lock is held.
func (t *Table) provenOf(part Part) *recentParts {
	if isOwn(part.ID) {
		return &t.provenOwn
	}
	return &t.proven
}

// RecordProven records that an endpoint answered on some parts and lived on.
func (t *Table) RecordProven(now time.Time, service string, parts []string) {
	if len(parts) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := false
	for _, id := range parts {
		part := Part{service, id}
		t.provenOf(part).set(part, now)
		if len(t.live[part]) > 0 {
			changed = t.clear(part, now, true) || changed
		}
	}
	if changed {
		t.notify()
	}
}

// Release ends the suspicion of a part, as an operator wants it.
func (t *Table) Release(now time.Time, part Part) (known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.live[part]) == 0 {
		return false
	}
	t.clear(part, now, true)
	t.notify()
	return true
}

// clear records an answer on a part, which ends all suspicion of before. It reports whether that is new.
// The lock is held.
//
// Nodes tell each other the age of an answer, so each hears it later by the time of the message. They would otherwise
// give each other the same answer again, as a later one, without end.
func (t *Table) clear(part Part, at time.Time, local bool) bool {
	one, known := t.cleared[part]
	switch {
	case known && at.Sub(one.at) < sameAnswerTime && !t.endsSuspicion(part, at):
		return false
	case !known && len(t.cleared) >= maxCleared:
		return false
	case !known:
		one = &clearing{}
		t.cleared[part] = one
	}
	one.at, one.news = at, t.nextNews(local)
	var left []*suspect
	for _, s := range t.live[part] {
		if s.At.After(at) {
			left = append(left, s)
		} else {
			s.drop(part)
			t.updateDigest(s)
		}
	}
	t.setLive(part, left)
	return true
}

// endsSuspicion reports whether a process ended under a suspected part until a time. The lock is held.
func (t *Table) endsSuspicion(part Part, at time.Time) bool {
	return slices.ContainsFunc(t.live[part], func(s *suspect) bool { return !s.At.After(at) })
}

// setLive replaces the suspects of a part. The lock is held.
func (t *Table) setLive(part Part, suspects []*suspect) {
	if len(suspects) > 0 {
		t.live[part] = suspects
		return
	}
	delete(t.live, part)
	delete(t.trials, part)
}

func (t *Table) nextNews(local bool) news {
	t.seq++
	return news{seq: t.seq, local: local}
}

// RecordEnd records a request that was at an endpoint as its process ended.
func (t *Table) RecordEnd(one Suspect) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.add(one, true) {
		t.notify()
	}
}

// add adds a suspect, and reports whether it is new. The lock is held.
func (t *Table) add(one Suspect, local bool) bool {
	one = one.own()
	t.endTrials(one.Request)
	if known, ok := t.suspects[one.key()]; ok {
		if one.Trial && !known.Trial {
			known.Trial, known.news = true, t.nextNews(local)
			return true
		}
		return false
	}
	if !t.makeRoom(one) {
		return false
	}
	s := &suspect{Suspect: one, news: t.nextNews(local)}
	t.suspects[s.key()] = s
	for _, id := range s.Parts {
		part := Part{s.Service, id}
		proven := t.provenAt(part)
		if !proven.IsZero() && t.provenOf(part).at(part).Equal(proven) {
			t.clear(part, proven, true) // the other nodes may not know
		}
		if s.At.After(proven) {
			s.live = append(s.live, part)
			t.live[part] = append(t.live[part], s)
		}
	}
	t.updateDigest(s)
	return true
}

// makeRoom makes room for a suspect. If the table is full, it drops the suspect that tells least: the oldest one, those
// without suspected parts first, those of quarantined parts last. It reports false if that is the new one. The lock is held.
//
// Two full tables would otherwise give each other again what both have dropped, at each exchange and without end.
func (t *Table) makeRoom(one Suspect) bool {
	if len(t.suspects) < maxSuspects {
		return true
	}
	var least *suspect
	var leastRank int
	for _, s := range t.suspects {
		rank := t.rank(s)
		if least == nil || rank < leastRank || (rank == leastRank && s.At.Before(least.At)) {
			least, leastRank = s, rank
		}
	}
	rank := t.rankOfNew(one)
	if rank < leastRank || (rank == leastRank && !one.At.After(least.At)) {
		return false
	}
	t.remove(least)
	return true
}

// rankOfNew is the rank of a suspect that the table doesn't hold yet. The lock is held.
func (t *Table) rankOfNew(one Suspect) int {
	most := 0
	for _, id := range one.Parts {
		part := Part{one.Service, id}
		if one.At.After(t.provenAt(part)) {
			most = max(most, len(t.live[part])+1)
		}
	}
	return most
}

// rank orders suspects by how much they tell. The lock is held.
func (t *Table) rank(s *suspect) int {
	if len(s.live) == 0 {
		return 0
	}
	most := 0
	for _, part := range s.live {
		most = max(most, len(t.live[part]))
	}
	return most
}

func (t *Table) remove(s *suspect) {
	delete(t.suspects, s.key())
	t.digest ^= s.digest
	for _, part := range s.live {
		var left []*suspect
		for _, one := range t.live[part] {
			if one != s {
				left = append(left, one)
			}
		}
		t.setLive(part, left)
	}
}

// updateDigest counts a suspect's present digest in place of the one before. The lock is held.
//
// Each load report asks for the table's digest, so it is kept.
func (t *Table) updateDigest(s *suspect) {
	t.digest ^= s.digest
	s.digest = s.sum()
	t.digest ^= s.digest
}

// endsBetween returns how many processes ended in a span of time. The lock is held.
func (t *Table) endsBetween(from, to time.Time) int {
	ended := map[Process]bool{}
	for _, s := range t.suspects {
		if !s.At.Before(from) && !s.At.After(to) {
			ended[s.Process] = true
		}
	}
	return len(ended)
}

// Forget drops what is too old to count. It has to be called periodically.
func (t *Table) Forget(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.suspects {
		if age := now.Sub(s.At); age > keepClearedAfter && age > t.keepTime(s) {
			t.remove(s)
		}
	}
	named := map[Part]bool{}
	for _, s := range t.suspects {
		for _, id := range s.Parts {
			named[Part{s.Service, id}] = true
		}
	}
	for part, one := range t.cleared {
		// A node that missed the answer would otherwise suspect the part on, as long as it has the suspect.
		if now.Sub(one.at) > keepClearedAfter && !named[part] {
			delete(t.cleared, part)
		}
	}
	t.suspecting.Store(len(t.live) > 0)
}

// keepTime returns how long a suspect is kept. The lock is held.
func (t *Table) keepTime(s *suspect) time.Duration {
	if len(s.live) == 0 {
		return keepClearedAfter
	}
	for _, part := range s.live {
		if !isOwn(part.ID) || t.evidenceOn(part).condemns(part) {
			return keepAfter
		}
	}
	return keepOwnAfter
}
