package balance

import (
	"math"
	"time"
)

const (
	// largePrompt is the length of a large prompt, as a multiple of the mean.
	largePrompt = 2
	// keptPrompt is the length of prompt with which requests find the places that others
	// leave to them, as a multiple of the mean.
	keptPrompt = 2.5
	// promptWeight is the weight of a new prompt in the mean of its model.
	promptWeight = 0.02
	// fewLarge is how often large requests are served, as a share of how often all are,
	// below which all leave room for them. It is above the half that is their due.
	fewLarge = 0.75
	// sizesWindow is the time over which served requests are counted, with exponential decay.
	sizesWindow = 2 * time.Second
	// maxPromptTokens is more than any prompt has.
	maxPromptTokens = 1 << 30
)

// modelState summarizes the requests of a model.
type modelState struct {
	meanPrompt float64 // tokens
	// Numbers of requests as of at.
	asked, accepted, largeAsked, largeAccepted float64
	at                                         time.Time
}

// modelOf returns the state of a request's model, or of a plain service. The lock is held.
func (t *Tracker) modelOf(request Request) *modelState {
	kind := requestKind{service: request.Service.Name, model: request.Model.Name}
	m, ok := t.models[kind]
	if !ok {
		m = &modelState{}
		if request.Service.Engine != nil {
			m.meanPrompt = request.Service.Engine.MeanPromptTokens
		}
		t.models[kind] = m
	}
	return m
}

// record records a request with a prompt of some length.
func (m *modelState) record(now time.Time, prompt int, accepted bool) {
	m.decay(now)
	large := prompt > m.prompt(largePrompt)
	m.asked++
	if large {
		m.largeAsked++
	}
	if accepted {
		m.accepted++
	}
	if accepted && large {
		m.largeAccepted++
	}
	m.meanPrompt += promptWeight * (float64(prompt) - m.meanPrompt)
}

func (m *modelState) decay(now time.Time) {
	if now.After(m.at) && !m.at.IsZero() {
		left := math.Exp(-now.Sub(m.at).Seconds() / sizesWindow.Seconds())
		m.asked, m.accepted, m.largeAsked, m.largeAccepted = m.asked*left, m.accepted*left, m.largeAsked*left, m.largeAccepted*left
	}
	m.at = now
}

// prompt returns the length of a prompt that is a multiple of the mean, in tokens.
func (m *modelState) prompt(times float64) int { return int(min(times*m.meanPrompt, maxPromptTokens)) }

// servesFewLarge reports whether large requests were lately served far less often than all.
func (m *modelState) servesFewLarge(now time.Time) bool {
	m.decay(now)
	return m.largeAccepted*m.asked < fewLarge*m.accepted*m.largeAsked
}
