package quarantine

import "time"

// trialTime is how long a trial may take. Then the next one is allowed, whatever became of it.
const trialTime = 2 * time.Second

// trial is the one request that is sent with a suspected part.
type trial struct {
	request string
	until   time.Time
}

// TrialAnswer says whether a request may be sent as a trial.
type TrialAnswer string

// The answers.
const (
	// TrialGranted: the request may be sent, no other one with its suspected parts is.
	TrialGranted TrialAnswer = "granted"
	// TrialBusy: another request is the trial now.
	TrialBusy TrialAnswer = "busy"
	// TrialNeedless: nothing is suspected.
	TrialNeedless TrialAnswer = "needless"
	// TrialRefused: a part is quarantined.
	TrialRefused TrialAnswer = "refused"
)

// RequestTrial asks for the permission to send a request. Only the node that grants the trials of all nodes
// decides that.
func (t *Table) RequestTrial(now time.Time, request, service string, parts []string) TrialAnswer {
	t.mu.Lock()
	defer t.mu.Unlock()
	request = ownID(request)
	decision, suspected := t.check(now, service, parts)
	switch decision.Verdict {
	case Refuse:
		return TrialRefused
	case Send:
		return TrialNeedless
	}
	for _, part := range suspected {
		if one, ok := t.trials[part]; ok && now.Before(one.until) && one.request != request {
			return TrialBusy
		}
	}
	for _, part := range suspected {
		t.trials[part] = trial{request: request, until: now.Add(trialTime)}
	}
	return TrialGranted
}

// EndTrial ends the trial of a request that told nothing of its parts.
func (t *Table) EndTrial(request string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.endTrials(ownID(request)) {
		t.notify()
	}
}

// endTrials ends the trials of a request, and reports whether there was one. The lock is held.
func (t *Table) endTrials(request string) bool {
	ended := false
	for part, one := range t.trials {
		if one.request == request {
			delete(t.trials, part)
			ended = true
		}
	}
	return ended
}
