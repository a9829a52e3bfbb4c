package balance

import (
	"time"

	"redwinghall/silence"
)

const (
	// stillTTL is how long an endpoint counts as still after it was last told. It outlasts one lost
	// message.
	stillTTL = 300 * time.Millisecond
	// minStill is the shortest time without events that is reported, and stillPasses the time in
	// multiples of the longest pass of the group's engine.
	minStill    = 200 * time.Millisecond
	stillPasses = 1.15
)

// StillAfter returns how long a group that goes on may send no events at most.
func StillAfter(pace Pace, running int) time.Duration {
	longest := pace.Pass(running, pace.engine.Stride*pace.engine.Chunk)
	return max(minStill, time.Duration(stillPasses*float64(longest)))
}

// Progress returns what this node sees of the endpoints at which its streams have begun. paceOf returns the pace of
// an endpoint's group; ok is false for an endpoint that heads none.
func (t *Tracker) Progress(now time.Time, paceOf func(id string, slowdown float64) (pace Pace, ok bool)) silence.Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	report := silence.Report{}
	for id, s := range t.states {
		if s.own-s.unstarted <= 0 || s.lastEvent.IsZero() {
			continue
		}
		pace, ok := paceOf(id, max(1, s.slowdown))
		if !ok {
			continue
		}
		still := t.runTime(s.lastEvent, now)
		if still < StillAfter(pace, s.running(now)) {
			report.Moving = append(report.Moving, id)
			continue
		}
		if report.Still == nil {
			report.Still = map[string]time.Duration{}
		}
		report.Still[id] = still
	}
	return report
}

// MarkStill records that no node of the zone gets events from an endpoint. It stays usable, but is chosen only if no
// other would answer within the objective.
func (t *Tracker) MarkStill(now time.Time, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state(id, now).stillUntil = now.Add(stillTTL)
}

// stillPenalty is added to the score of an endpoint that is still.
func (r Request) stillPenalty(now time.Time, s *State) time.Duration {
	if now.Before(s.stillUntil) {
		return r.Objective
	}
	return 0
}
