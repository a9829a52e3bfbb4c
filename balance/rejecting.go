package balance

import "time"

// rejectingTTL is how long an endpoint counts as rejecting requests after another node
// last reported it. It outlasts a few of the intervals at which nodes and zones report.
const rejectingTTL = time.Second

// RecordRejecting records that endpoints rejected another node of this zone and asked it
// to send nothing for some time. They stay usable, but are chosen only if no other would
// answer within the objective.
//
// An overloaded endpoint rejects one node after the other, and each rejection costs a
// request one of its attempts. With hundreds of nodes, most requests would be rejected
// until each node has been told by the endpoint itself.
func (t *Tracker) RecordRejecting(now time.Time, ids []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, id := range ids {
		t.state(id, now).rejectingUntil = now.Add(rejectingTTL)
	}
}

// RecordRejectingElsewhere is RecordRejecting for what other zones report, or the
// collecting node of this zone passes on. It is not passed on again, so that no report
// outlives its cause by circulating.
func (t *Tracker) RecordRejectingElsewhere(now time.Time, ids []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, id := range ids {
		t.state(id, now).rejectingElsewhereUntil = now.Add(rejectingTTL)
	}
}

// RejectingNode returns the endpoints that asked this node to send nothing now.
func (t *Tracker) RejectingNode(now time.Time) []string {
	return t.rejectingEndpoints(func(s *State) bool { return s.rejectsNode(now) })
}

// RejectingZone returns the endpoints that asked this node or others of its zone to send
// nothing now.
func (t *Tracker) RejectingZone(now time.Time) []string {
	return t.rejectingEndpoints(func(s *State) bool { return s.rejectsNode(now) || now.Before(s.rejectingUntil) })
}

// Rejecting returns the endpoints that asked any node to send nothing now.
func (t *Tracker) Rejecting(now time.Time) []string {
	return t.rejectingEndpoints(func(s *State) bool { return s.rejectsNode(now) || s.rejectsOthers(now) })
}

func (t *Tracker) rejectingEndpoints(wanted func(*State) bool) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var ids []string
	for id, s := range t.states {
		if wanted(s) {
			ids = append(ids, id)
		}
	}
	return ids
}

func (s *State) rejectsNode(now time.Time) bool {
	return s.retryAfter.recovering && now.Before(s.retryAfter.until)
}

func (s *State) rejectsOthers(now time.Time) bool {
	return now.Before(s.rejectingUntil) || now.Before(s.rejectingElsewhereUntil)
}

// rejectingPenalty is added to the score of an endpoint that rejects other nodes, so
// that it is chosen only if no other would answer within the objective.
func (r Request) rejectingPenalty(now time.Time, s *State) time.Duration {
	if s.rejectsOthers(now) {
		return r.Objective
	}
	return 0
}
