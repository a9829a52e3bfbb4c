// Package balance chooses the endpoint for a request, or refuses the request. It
// decides by the requests in progress, their results and the load that endpoints
// report. It does no I/O and doesn't read the clock.
package balance

import (
	"math"
	"time"

	"redwinghall/fleet"
)

// Pace predicts the latency of a group. A group works in passes of a few token
// steps; in each pass all running requests generate tokens together, and waiting
// prompts are read (prefilled).
type Pace struct {
	engine *fleet.Engine
	factor float64 // factor of the group's model times the observed slowdown
}

// NewPace returns the pace of a group that serves a model. observed is the
// observed slowdown; 1 means as fast as declared.
func NewPace(engine *fleet.Engine, model fleet.Model, observed float64) Pace {
	factor := model.TimeFactor
	if factor <= 0 {
		factor = 1
	}
	return Pace{engine: engine, factor: factor * observed}
}

// maxPredicted is the longest time that is predicted. It is above all that callers wait for, and
// sums of a few predictions don't overflow.
const maxPredicted = time.Hour

// predicted converts nanoseconds to a duration from 0 to maxPredicted, as the parameters of an
// engine and reported loads may be of any size.
func predicted(nanoseconds float64) time.Duration {
	if !(nanoseconds > 0) { // also if it isn't a number
		return 0
	}
	return time.Duration(min(nanoseconds, float64(maxPredicted)))
}

// Pass returns the duration of one pass in which running requests generate tokens
// and reading prompt tokens are read.
func (p Pace) Pass(running, reading int) time.Duration {
	return p.writeTime(running) + p.readTime(min(reading, p.engine.Stride*p.engine.Chunk))
}

// writeTime returns the duration of the token steps of one pass.
func (p Pace) writeTime(running int) time.Duration {
	e := p.engine
	context := (e.MeanPromptTokens + e.MeanAnswerTokens/2) / 1000
	each := float64(e.PerSequence) + context*float64(e.PerThousandContext)
	step := float64(e.Step) + float64(running)*each
	return predicted(float64(e.Stride) * step * p.factor)
}

// readTime returns the time to read prompt tokens, counted as one prompt.
func (p Pace) readTime(tokens int) time.Duration {
	e := p.engine
	if e.ReadPerSecond <= 0 {
		return 0
	}
	n := float64(tokens)
	plain := n / e.ReadPerSecond * float64(time.Second)
	pairs := min(n, 2*e.MeanPromptTokens) * n / 2 / 1e6 * float64(e.PerMillionPairs)
	return predicted((plain + pairs) * p.factor)
}

// residenceTime is how long a request of mean length occupies a slot.
func (p Pace) residenceTime(running int) time.Duration {
	passes := p.engine.MeanAnswerTokens/float64(p.engine.Stride) + 1
	return predicted(passes * float64(p.writeTime(running)))
}

// unsharedRequests is how many requests of other nodes a group is assumed to have in
// addition to the loads that they last shared.
const unsharedRequests = 2

// FirstEvent predicts the time to the first event of a request that has a slot, in
// a group with running requests that generate tokens and unread prompt tokens
// ahead of this prompt.
func (p Pace) FirstEvent(running, unread, prompt int) time.Duration {
	// On average half of the current pass remains; then the prompts are read, and
	// the first event comes at the end of that pass.
	return p.writeTime(running)/2 + p.readTime(unread) + p.readTime(prompt) + p.writeTime(running+1)
}

// slotWait predicts how long the last of some requests waits for a slot. outside is
// the time that each request spends at the endpoint without a slot.
//
// A request that is in transit or being prepared counts as one at the endpoint but
// occupies no slot yet. Counting it as if it did would refuse callers while a
// tenth of the slots are free.
func (p Pace) slotWait(requests int, outside time.Duration) time.Duration {
	residence := float64(p.residenceTime(p.engine.Slots))
	slots := float64(p.engine.Slots)
	if residence <= 0 || slots <= 0 {
		return 0
	}
	placed := float64(requests) * residence / (residence + float64(outside))
	beyond := max(0, placed+unsharedRequests-slots)
	return predicted(beyond / slots * residence)
}

// requestsWithin returns how many requests wait no longer than some time for a slot.
func (p Pace) requestsWithin(wait, outside time.Duration) float64 {
	residence := float64(p.residenceTime(p.engine.Slots))
	slots := float64(p.engine.Slots)
	if residence <= 0 || slots <= 0 {
		return math.Inf(1)
	}
	placed := float64(wait)/residence*slots + slots - unsharedRequests
	return placed * (residence + float64(outside)) / residence
}
