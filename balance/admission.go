package balance

import (
	"math"
	"math/rand/v2"
	"time"

	"redwinghall"
	"redwinghall/fleet"
)

// hintWeight is the weight of a request's own hint of the length of its answer beside the
// mean of its kind. Hints are right at the median but often far off.
const hintWeight = 0.5

// answerWeight is the weight of a new answer in the mean of its kind.
const answerWeight = 0.05

// requestKind identifies requests whose answers are alike.
type requestKind struct {
	service, model string
	urgency        int
}

func (r Request) kind() requestKind { return requestKind{r.Service.Name, r.Model.Name, r.Urgency} }

// admissionOf returns what decides who gets the room of a request's service, nil if
// nothing does.
func (t *Tracker) admissionOf(request Request) redwinghall.Admission {
	if t.Admission == nil {
		return nil
	}
	return t.Admission(request.Service.Name)
}

// newLookup returns a lookup that keeps its candidates if admission decides on the request.
// The lock is held.
func (t *Tracker) newLookup(now time.Time, zonesOut map[string]bool, request Request, evaluate func(time.Time, *State, *fleet.Endpoint) candidate) *lookup {
	l := &lookup{request: request, now: now, zonesOut: zonesOut, evaluate: evaluate, admission: t.admissionOf(request)}
	if l.admission != nil {
		l.candidates = t.candidates[:0]
	}
	return l
}

// roomLimit returns the limit that a request exceeds with the best candidate of a lookup,
// nil if it is accepted. The lock is held.
//
// Without it, the requests with the widest objective fill the queues up to it, and those
// with a tighter one are refused, however urgent they are and whoever sends them.
//
// Of several nodes that see the same places, each takes its part of them at random.
//
// An idle group accepts any request. A resumed stream is worth finishing late.
func (t *Tracker) roomLimit(l *lookup, latest time.Duration) *redwinghall.AdmissionLimit {
	best, request := l.best, l.request
	t.candidates = l.candidates // their memory is used again
	if l.admission == nil || best == nil || best.full || best.predicted > latest || request.Resumed {
		return nil
	}
	limit := l.admission.Limit(l.now, t.roomRequest(best, request, l.evaluated))
	long := t.longPrompt(request)
	switch {
	case best.running == 0:
		return nil
	case limit.Short && best.predicted+request.margin(best, long) > latest:
		limit.Reason = redwinghall.LimitSize
		return &limit
	case limit.Reason == "":
		return nil
	case best.predicted > limit.Predicted:
		return &limit
	case limit.Ahead == 0 || request.places(best, limit.Predicted, long) >= limit.Ahead+1+limit.Rivals:
		return nil
	}
	if best.queued == 0 && request.places(best, limit.Predicted, long) >= 2 {
		return nil
	}
	free := -limit.Ahead
	for i := range l.candidates {
		free += request.places(&l.candidates[i], limit.Predicted, long)
	}
	if request.Service.Engine != nil {
		limit.Rivals = 0 // the prediction counts what other nodes send
	}
	if free >= 1 && rand.Float64()*(1+limit.Rivals) < free {
		return nil
	}
	return &limit
}

// recordRoom records that a request was made, and whether it was accepted. The lock is
// held.
func (t *Tracker) recordRoom(l *lookup, best *candidate, groups int, accepted bool) {
	if l.admission != nil {
		t.learnPrompt(l.request)
		l.admission.Record(l.now, t.roomRequest(best, l.request, groups), accepted)
	}
}

func (t *Tracker) roomRequest(best *candidate, request Request, groups int) redwinghall.RoomRequest {
	return redwinghall.RoomRequest{
		Service: request.Service.Name, Model: request.Model.Name, Account: request.Account, Urgency: request.Urgency,
		Objective: request.Objective, Work: t.work(best, request), Groups: groups, Deciders: request.deciders(),
	}
}

// deciders returns how many times the requests that this node decides on all nodes decide
// on that give out the same room.
func (r Request) deciders() float64 {
	switch {
	case r.Service.Engine == nil:
		return 1 + r.timesAllZones
	case r.IsDispatcher:
		return 1
	}
	return 1 + r.timesOwnZone
}

// work returns the time for which a request keeps one group or endpoint busy.
func (t *Tracker) work(best *candidate, request Request) time.Duration {
	engine := request.Service.Engine
	if engine == nil {
		return best.latency() / time.Duration(max(1, best.endpoint.Slots))
	}
	pace := NewPace(engine, request.Model, 1)
	passes := t.expectedAnswer(request)/float64(max(1, engine.Stride)) + 1
	slots := float64(max(1, engine.Slots))
	return pace.readTime(request.Prompt) + predicted(passes*float64(pace.writeTime(engine.Slots))/slots)
}

// expectedAnswer returns the expected length of the answer in tokens.
func (t *Tracker) expectedAnswer(request Request) float64 {
	mean, learned := t.answers[request.kind()]
	if !learned {
		mean = request.Service.Engine.MeanAnswerTokens
	}
	if request.ExpectedAnswer <= 0 {
		return mean
	}
	return hintWeight*float64(request.ExpectedAnswer) + (1-hintWeight)*mean
}

// learnAnswer records the length of an answer. The lock is held.
func (t *Tracker) learnAnswer(kind requestKind, tokens float64) {
	mean, learned := t.answers[kind]
	if !learned {
		t.answers[kind] = tokens
		return
	}
	t.answers[kind] = mean + answerWeight*(tokens-mean)
}

// longPrompt is the length of a prompt for which room is left, as a multiple of the mean.
const longPrompt = 3

// promptWeight is the weight of a new prompt in the mean of its model.
const promptWeight = 0.02

func (r Request) promptKind() requestKind {
	return requestKind{service: r.Service.Name, model: r.Model.Name}
}

// learnPrompt records the length of a prompt. The lock is held.
func (t *Tracker) learnPrompt(request Request) {
	if request.Service.Engine == nil {
		return
	}
	mean := t.meanPrompt(request)
	t.prompts[request.promptKind()] = mean + promptWeight*(float64(request.Prompt)-mean)
}

// meanPrompt returns the mean length of the prompts of a model's requests, in tokens.
func (t *Tracker) meanPrompt(request Request) float64 {
	if mean, learned := t.prompts[request.promptKind()]; learned {
		return mean
	}
	return request.Service.Engine.MeanPromptTokens
}

// longPrompt returns the length of a long prompt, 0 for a plain service.
func (t *Tracker) longPrompt(request Request) int {
	if request.Service.Engine == nil {
		return 0
	}
	return int(min(longPrompt*t.meanPrompt(request), maxPromptTokens))
}

// maxPromptTokens is more than any prompt has.
const maxPromptTokens = 1 << 30

// margin returns how much longer the reading of a long prompt takes than that of this
// request's.
//
// While room is short, the small requests fill it up to their objective, and the large ones,
// which take longer to read, would be late at each group. So all leave room for them.
func (r Request) margin(c *candidate, long int) time.Duration {
	if r.Service.Engine == nil {
		return 0
	}
	pace := NewPace(r.Service.Engine, r.Model, max(1, c.state.slowdown))
	return max(0, pace.readTime(long)-pace.readTime(r.Prompt))
}

// places returns how many more requests with long prompts an endpoint would serve within
// an objective. This request's own prompt doesn't count: large requests would otherwise be
// refused for their size.
func (r Request) places(c *candidate, objective time.Duration, long int) float64 {
	engine := r.Service.Engine
	if c.full {
		return 0
	}
	if engine == nil {
		slots := float64(max(1, c.endpoint.Slots))
		waiting := float64(objective-c.latency()) / float64(max(1, c.latency())) * slots
		return whole(slots + waiting - float64(c.running))
	}
	pace := NewPace(engine, r.Model, max(1, c.state.slowdown))
	wait := objective - (c.predicted - c.queued - pace.readTime(r.Prompt) + pace.readTime(long))
	if wait < 0 {
		return 0
	}
	return whole(pace.requestsWithin(wait, r.bias) - float64(c.running))
}

// whole rounds a number of requests down; it is at least 0.
func whole(requests float64) float64 { return max(0, math.Floor(requests)) }

// latency returns the latency of a plain service's endpoint.
func (c *candidate) latency() time.Duration {
	if c.state.latency == 0 {
		return defaultLatency
	}
	return c.state.latency
}

// limitRefusal returns the refusal of a request that the best group could serve in time,
// but whose room is for others.
func limitRefusal(now time.Time, best *candidate, request Request, limit redwinghall.AdmissionLimit) *Refusal {
	refusal := lateRefusal(now, best, request)
	refusal.Reason, refusal.Limit = limit.Reason, limit
	return refusal
}
