// Package passes is a stand-in for a group of model engines, in virtual time:
// it works in passes of a few token steps, in which writing requests advance
// together and waiting prompts are read in pieces.
package passes

import (
	"time"

	"redwinghall/fleet"
)

// Request is one stream at a group.
type Request struct {
	PromptTokens int // tokens to read
	AnswerTokens int // tokens to write
	// OnEvent is told of each event, and whether it is the last.
	OnEvent func(at time.Time, last bool)

	unread  int
	written int
}

// Group is a stand-in group. It isn't safe for several goroutines.
type Group struct {
	engine  *fleet.Engine
	pace    float64
	running []*Request
	waiting []*Request
	passEnd time.Time
	busy    bool
	// Stalled groups accept requests, and nothing moves.
	Stalled bool
}

// NewGroup returns an idle group.
func NewGroup(engine *fleet.Engine, model fleet.Model) *Group {
	return &Group{engine: engine, pace: model.TimeFactor}
}

// Load returns how many requests run and wait.
func (g *Group) Load() (running, waiting int) { return len(g.running), len(g.waiting) }

// Send hands the group a request at now.
func (g *Group) Send(now time.Time, r *Request) {
	r.unread = r.PromptTokens
	g.waiting = append(g.waiting, r)
	if !g.busy {
		g.startPass(now)
	}
}

// Next returns when the group's present pass ends.
func (g *Group) Next() (time.Time, bool) { return g.passEnd, g.busy && !g.Stalled }

// EndPass ends the present pass: writers get an event, and the next pass starts.
func (g *Group) EndPass() {
	now := g.passEnd
	var still []*Request
	for _, r := range g.running {
		if r.unread > 0 {
			still = append(still, r)
			continue
		}
		r.written += g.engine.Stride
		last := r.written >= r.AnswerTokens
		r.OnEvent(now, last)
		if !last {
			still = append(still, r)
		}
	}
	g.running = still
	g.busy = false
	if len(g.running)+len(g.waiting) > 0 {
		g.startPass(now)
	}
}

func (g *Group) startPass(now time.Time) {
	for len(g.running) < g.engine.Slots && len(g.waiting) > 0 {
		g.running = append(g.running, g.waiting[0])
		g.waiting = g.waiting[1:]
	}
	g.busy = true
	g.passEnd = now.Add(g.passTime())
}

// passTime reads prompts as far as the pass's steps allow, and returns how long the pass takes.
func (g *Group) passTime() time.Duration {
	writers, context := 0, 0
	for _, r := range g.running {
		if r.unread == 0 {
			writers++
			context += r.PromptTokens + r.written
		}
	}
	budget := g.engine.Chunk * g.engine.Stride
	read := 0
	for _, r := range g.running {
		n := min(r.unread, budget-read)
		r.unread -= n
		read += n
	}
	step := float64(g.engine.Step) + float64(writers)*float64(g.engine.PerSequence) +
		float64(context)/1000*float64(g.engine.PerThousandContext)
	reading := float64(read) / g.engine.ReadPerSecond * float64(time.Second)
	return time.Duration(g.pace * (float64(g.engine.Stride)*step + reading))
}
