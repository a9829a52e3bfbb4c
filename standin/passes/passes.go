// Package passes simulates a group of model engines with continuous batching, in
// virtual time. A pass consists of a few decode steps, in which all requests in
// the decode phase advance together, and of the prefill of chunks of prompts.
package passes

import (
	"time"

	"redwinghall/fleet"
)

// Request is one streamed request.
type Request struct {
	PromptTokens int // tokens to prefill
	AnswerTokens int // tokens to decode
	// OnEvent is called for each event of the stream.
	OnEvent func(at time.Time, last bool)

	unreadTokens  int
	writtenTokens int
}

// Group is a simulated group. It is not safe for concurrent use.
type Group struct {
	engine     *fleet.Engine
	timeFactor float64
	running    []*Request
	waiting    []*Request
	passEnd    time.Time
	busy       bool
	// Stalled makes the group accept requests without ever advancing them.
	Stalled bool
}

// NewGroup returns an idle group.
func NewGroup(engine *fleet.Engine, model fleet.Model) *Group {
	return &Group{engine: engine, timeFactor: model.TimeFactor}
}

// Load returns the number of running and of waiting requests.
func (g *Group) Load() (running, waiting int) { return len(g.running), len(g.waiting) }

// Send adds a request to the group's queue at now.
func (g *Group) Send(now time.Time, r *Request) {
	r.unreadTokens = r.PromptTokens
	g.waiting = append(g.waiting, r)
	if !g.busy {
		g.startPass(now)
	}
}

// Next returns the end of the current pass, and false if none will end.
func (g *Group) Next() (time.Time, bool) { return g.passEnd, g.busy && !g.Stalled }

// EndPass ends the current pass: each request in the decode phase gets an event,
// and the next pass starts if requests are left.
func (g *Group) EndPass() {
	now := g.passEnd
	var still []*Request
	for _, r := range g.running {
		if r.unreadTokens > 0 {
			still = append(still, r)
			continue
		}
		r.writtenTokens += g.engine.Stride
		last := r.writtenTokens >= r.AnswerTokens
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

// passTime prefills prompts up to the budget of the pass and returns the duration
// of the pass.
func (g *Group) passTime() time.Duration {
	writers, context := 0, 0
	for _, r := range g.running {
		if r.unreadTokens == 0 {
			writers++
			context += r.PromptTokens + r.writtenTokens
		}
	}
	budget := g.engine.Chunk * g.engine.Stride
	read := 0
	for _, r := range g.running {
		n := min(r.unreadTokens, budget-read)
		r.unreadTokens -= n
		read += n
	}
	step := float64(g.engine.Step) + float64(writers)*float64(g.engine.PerSequence) +
		float64(context)/1000*float64(g.engine.PerThousandContext)
	reading := float64(read) / g.engine.ReadPerSecond * float64(time.Second)
	return time.Duration(g.timeFactor * (float64(g.engine.Stride)*step + reading))
}
