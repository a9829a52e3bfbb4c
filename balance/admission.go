package balance

import (
	"math"
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
// An idle group accepts any request. A resumed stream is worth finishing late, and a caller
// that came back to a place promised to it gets the place.
func (t *Tracker) roomLimit(l *lookup, latest time.Duration) *redwinghall.AdmissionLimit {
	best, request := l.best, l.request
	t.candidates = l.candidates // their memory is used again
	if l.admission == nil || best == nil || best.full || best.running == 0 || best.predicted > latest || request.Resumed || request.Promised {
		return nil
	}
	limit := l.admission.Limit(l.now, t.roomRequest(best, request, l.evaluated))
	model := t.modelOf(request)
	switch {
	case limit.Short && model.servesFewLarge(l.now) && best.predicted+request.margin(best, model.prompt(largePrompt)) > latest:
		limit.Reason = redwinghall.LimitSize
	case limit.Reason == "" || best.predicted <= limit.Predicted && l.leavesRoom(&limit, model):
		return nil
	}
	return &limit
}

// leavesRoom reports whether the endpoints of a lookup have places within a limit for the
// requests that go before this one, beside it.
func (l *lookup) leavesRoom(limit *redwinghall.AdmissionLimit, model *modelState) bool {
	prompt := model.prompt(keptPrompt)
	here := l.request.places(l.best, limit.Predicted, prompt)
	if limit.Ahead == 0 || here >= limit.Ahead+1+limit.Rivals {
		return true
	}
	startsAtOnce := l.best.queued == 0 && l.request.Service.Engine != nil
	if startsAtOnce && (limit.Reason == redwinghall.LimitAccount || l.request.places(l.best, limit.Predicted, model.prompt(1)) >= 2) {
		return true
	}
	if l.request.Service.Engine != nil {
		limit.Rivals = 0 // the prediction counts what other nodes send
	}
	free := -limit.Ahead
	for i := range l.candidates {
		free += l.request.places(&l.candidates[i], limit.Predicted, prompt)
	}
	return free >= 1 && l.request.random.Float64()*(1+limit.Rivals) < free
}

// recordRoom records that a request was made, and whether it was accepted. The lock is
// held.
func (t *Tracker) recordRoom(l *lookup, best *candidate, groups int, accepted bool) {
	if l.admission != nil {
		if l.request.Service.Engine != nil {
			t.modelOf(l.request).record(l.now, l.request.Prompt, accepted)
		}
		l.admission.Record(l.now, t.roomRequest(best, l.request, groups), accepted)
	}
}

// recordRefused records the refusal of another node's request. A request of another zone
// was counted there: it is asked in each zone that may have room. The lock is held.
func (t *Tracker) recordRefused(l *lookup, best *candidate, requester Requester) {
	if requester.Ticket > 0 {
		t.recordRoom(l, best, l.evaluated, false)
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

// margin returns how much longer the reading of a large prompt takes than that of this
// request's.
//
// While room is short, the small requests fill it up to their objective, and the large ones,
// which take longer to read, would be late at each group. So all leave room for them.
func (r Request) margin(c *candidate, large int) time.Duration {
	if r.Service.Engine == nil {
		return 0
	}
	pace := NewPace(r.Service.Engine, r.Model, max(1, c.state.slowdown))
	return max(0, pace.readTime(large)-pace.readTime(r.Prompt))
}

// places returns how many more requests with a prompt of some length an endpoint would serve
// within an objective. This request's own prompt doesn't count: large requests would otherwise be
// refused for their size.
func (r Request) places(c *candidate, objective time.Duration, prompt int) float64 {
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
	wait := objective - (c.predicted - c.queued - pace.readTime(r.Prompt) + pace.readTime(prompt))
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
