// Package balance decides which endpoint gets a request, and whether any
// should. It knows what was sent, what came back and what endpoints say of
// their load; it does no I/O and is told the time.
package balance

import (
	"time"

	"redwinghall/fleet"
)

// Pace is the model of how a group works: in passes of a few token steps, in
// which all writing requests advance together and waiting prompts are read.
type Pace struct {
	engine *fleet.Engine
	factor float64 // of the group's model, times what was observed
}

// NewPace returns the pace of a group that serves a model, slowed by a factor
// that was observed (1 is as declared).
func NewPace(engine *fleet.Engine, model fleet.Model, observed float64) Pace {
	factor := model.TimeFactor
	if factor <= 0 {
		factor = 1
	}
	return Pace{engine: engine, factor: factor * observed}
}

// Pass returns the time of one pass in which running requests write and
// reading prompt tokens are read.
func (p Pace) Pass(running, reading int) time.Duration {
	return p.writeTime(running) + p.readTime(min(reading, p.engine.Stride*p.engine.Chunk))
}

// writeTime returns the time of the token steps of one pass.
func (p Pace) writeTime(running int) time.Duration {
	e := p.engine
	context := (e.MeanPromptTokens + e.MeanAnswerTokens/2) / 1000
	each := float64(e.PerSequence) + context*float64(e.PerThousandContext)
	step := float64(e.Step) + float64(running)*each
	return time.Duration(float64(e.Stride) * step * p.factor)
}

// readTime returns the time to read prompt tokens, as one prompt.
func (p Pace) readTime(tokens int) time.Duration {
	e := p.engine
	if e.ReadPerSecond <= 0 {
		return 0
	}
	n := float64(tokens)
	plain := n / e.ReadPerSecond * float64(time.Second)
	pairs := min(n, 2*e.MeanPromptTokens) * n / 2 / 1e6 * float64(e.PerMillionPairs)
	return time.Duration((plain + pairs) * p.factor)
}

// residenceTime is how long a usual request stays with the group.
func (p Pace) residenceTime(running int) time.Duration {
	passes := p.engine.MeanAnswerTokens/float64(p.engine.Stride) + 1
	return time.Duration(passes * float64(p.writeTime(running)))
}

// slotsUnsure is how many more requests a group may have than this node knows
// of: what others sent since they last said so.
const slotsUnsure = 2

// FirstEvent predicts the time to the first event of a prompt that has a place in
// a group in which running requests write and unread prompt tokens come first.
func (p Pace) FirstEvent(running, unread, prompt int) time.Duration {
	// On average half of a pass is still to go, then the prompts are read, and
	// the first event comes with the end of the pass.
	return p.writeTime(running)/2 + p.readTime(unread) + p.readTime(prompt) + p.writeTime(running+1)
}

// placeTime predicts how long the last of some requests waits for a place. Each
// request also spends a time outside of the places.
//
// Guard: a request that is on its way or being prepared is at the endpoint and
// takes no place yet. If it counted as one that does, callers would be refused
// while a tenth of the places is free.
func (p Pace) placeTime(requests int, outside time.Duration) time.Duration {
	residence := float64(p.residenceTime(p.engine.Slots))
	if residence <= 0 {
		return 0
	}
	slots := float64(p.engine.Slots)
	placed := float64(requests) * residence / (residence + float64(outside))
	beyond := max(0, placed+slotsUnsure-slots)
	return time.Duration(beyond / slots * residence)
}
