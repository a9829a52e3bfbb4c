// Package admission decides whose requests get the room of a zone while there is too
// little of it: those of more urgent kinds first, and within a kind those of client
// accounts that have less than their share. It does no I/O and doesn't read the clock.
package admission

import (
	"math"
	"sync"
	"time"

	"redwinghall"
)

const (
	// activeTime is how long after its last request a kind is expected to ask again, and
	// how long its tightest objective applies.
	activeTime = 3 * time.Second
	// shortTime is how long after a refusal a model's room counts as short.
	shortTime = 2 * time.Second
	// planInterval is how long the sums of a model's room are used.
	planInterval = 20 * time.Millisecond
	// floorShare is the share of a model's work that no kind is kept from by more urgent
	// ones, as long as these are served no worse than it.
	floorShare = 0.05
	// floorReach is up to how much of its floor a kind competes as an equal. Its share
	// falls between its requests, so up to the floor alone it would have less on average.
	floorReach = 1.5
	// fullForUrgent is the accepted chance that the room kept for more urgent requests is
	// too small for them, fullForAccounts the same for accounts within their due.
	fullForUrgent   = 0.0005
	fullForAccounts = 0.02
	// maxBusy bounds the share of the room for which room is kept. Close to 1, the queue
	// of those requests has no bound.
	maxBusy = 0.95
	// unknownTime is how long a place that came free is unknown to the node that decides
	// for all, the interval of load reports and their way; unknownOthersTime is how long one
	// of several doesn't know what the others accept.
	unknownTime       = 75 * time.Millisecond
	unknownOthersTime = 150 * time.Millisecond
	// workWeight is the weight of a new request in the mean work of a model's requests.
	workWeight = 0.02
	// forgetAfter is how long the counts of an account without requests are kept.
	forgetAfter = 15 * time.Second
)

// Room implements redwinghall.Admission for the models and plain services that a node
// decides on. It counts what each client account asked for and got.
type Room struct {
	mu      sync.Mutex
	models  map[modelKey]*modelRoom
	reports map[string]report // by node or zone
}

var _ redwinghall.Admission = (*Room)(nil)

type modelKey struct{ service, model string }

// modelRoom is the room of one model.
type modelRoom struct {
	kinds      map[int]*kind // by urgency
	work       time.Duration // mean of a request
	shortUntil time.Time
	// reportedAt and zoneReportedAt are when others, or other nodes of this zone, last
	// reported uses of the model, which they do while its room is short for them.
	reportedAt, zoneReportedAt time.Time
	plan                       plan
}

// kind counts the requests of one urgency.
type kind struct {
	accounts   map[string]use
	reported   map[string]reportedUse // by others
	askedAt    time.Time
	objective  time.Duration // the tightest lately
	tightestAt time.Time
}

// NewRoom returns a Room without counts.
func NewRoom() *Room {
	return &Room{models: map[modelKey]*modelRoom{}, reports: map[string]report{}}
}

// Record implements redwinghall.Admission.
func (a *Room) Record(now time.Time, r redwinghall.RoomRequest, accepted bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	m := a.room(modelKey{service: r.Service, model: r.Model})
	k := m.kind(r.Urgency)
	k.askedAt = now
	if k.objective == 0 || r.Objective <= k.objective || now.Sub(k.tightestAt) > activeTime {
		k.objective, k.tightestAt = r.Objective, now
	}
	m.work += time.Duration(workWeight * float64(r.Work-m.work))
	k.accounts[r.Account] = k.accounts[r.Account].With(now, r.Work, accepted)
	if !accepted {
		m.shortUntil = now.Add(shortTime)
	}
}

// Limit implements redwinghall.Admission.
func (a *Room) Limit(now time.Time, r redwinghall.RoomRequest) redwinghall.AdmissionLimit {
	a.mu.Lock()
	defer a.mu.Unlock()
	open := redwinghall.AdmissionLimit{Predicted: r.Objective}
	key := modelKey{service: r.Service, model: r.Model}
	m, ok := a.models[key]
	if !ok {
		return open
	}
	if age := now.Sub(m.plan.at); age < 0 || age >= planInterval {
		a.expire(now)
		m.plan = m.makePlan(now, key)
	}
	open.Short = m.plan.short
	limit, before := m.plan.behindUrgent(open, r.Urgency)
	own, known := m.plan.kind(r.Urgency)
	if !known {
		limit.Ahead = ahead(before.asked(r.Deciders), r, m.work, limit.Reason)
		return limit
	}
	if limit.Reason != "" && m.plan.belowFloor(own) {
		before = localUse{}
	}
	limit, before = own.behindAccounts(limit, before, r.Account)
	limit.Ahead = ahead(before.asked(r.Deciders), r, m.work, limit.Reason)
	if limit.Reason != "" && r.Deciders > 1 {
		limit.Rivals = requestsIn(unknownOthersTime, own.overAsked(r.Deciders), m.work)
	}
	return limit
}

// behindUrgent returns the limit of requests of an urgency behind the more urgent ones,
// and the use of these.
func (p *plan) behindUrgent(open redwinghall.AdmissionLimit, urgency int) (redwinghall.AdmissionLimit, localUse) {
	limit, before := open, localUse{}
	for i := range p.kinds {
		k := &p.kinds[i]
		if k.urgency >= urgency {
			break
		}
		if !k.active {
			continue
		}
		limit.Reason = redwinghall.LimitUrgency
		if k.objective > 0 {
			limit.Predicted = min(limit.Predicted, k.objective)
		}
		before = before.sum(k.use)
	}
	return limit, before
}

// belowFloor reports whether a kind has less than its floor, while more urgent kinds are
// served no worse than it.
func (p *plan) belowFloor(own *kindPlan) bool {
	urgentRefused := 0.0
	for _, k := range p.kinds {
		if k.urgency < own.urgency {
			urgentRefused = max(urgentRefused, k.use.known.refusedShare())
		}
	}
	return own.use.known.given < floorReach*floorShare*p.total.known.given && own.use.known.refusedShare() > urgentRefused
}

// behindAccounts returns the limit of an account that asks for more than its due behind
// the accounts that don't.
func (k *kindPlan) behindAccounts(limit redwinghall.AdmissionLimit, before localUse, account string) (redwinghall.AdmissionLimit, localUse) {
	one, above := k.accounts[account]
	if !above || k.within.known.asked+k.below.known.asked <= 0 {
		return limit, before
	}
	limit.Reason = redwinghall.LimitAccount
	limit.Asked, limit.Given, limit.Due = seconds(one.asked), seconds(one.given), seconds(one.due)
	if k.objective > 0 {
		limit.Predicted = min(limit.Predicted, k.objective)
	}
	before = before.sum(k.within)
	if one.over {
		before = before.sum(k.below)
	}
	return limit, before
}

// ahead returns the number of requests for which groups keep room, so that requests which
// ask for this much work each second find none left with a small chance at most.
//
// Requests that wait while other requests fill each place that they leave are a queue with
// random arrivals. The chance that it has n requests or more is the n-th power of the
// share of the room that they use. Those that come before a free place is known are added.
func ahead(asked float64, r redwinghall.RoomRequest, work time.Duration, reason string) float64 {
	busy := min(asked/float64(max(1, r.Groups)), maxBusy)
	if busy <= 0 {
		return 0
	}
	unknown := unknownTime
	full := fullForUrgent
	if reason == redwinghall.LimitAccount {
		full = fullForAccounts
	}
	if r.Deciders > 1 {
		unknown = unknownOthersTime
	}
	return math.Log(full)/math.Log(busy) + requestsIn(unknown, asked, work)
}

// requestsIn returns the number of requests in some time if this much work is asked for.
func requestsIn(span time.Duration, asked float64, work time.Duration) float64 {
	return asked / max(work, time.Millisecond).Seconds() * span.Seconds()
}

// room returns the room of a model. The lock is held.
func (a *Room) room(key modelKey) *modelRoom {
	m, ok := a.models[key]
	if !ok {
		m = &modelRoom{kinds: map[int]*kind{}}
		a.models[key] = m
	}
	return m
}

// kind returns the kind of an urgency.
func (m *modelRoom) kind(urgency int) *kind {
	k, ok := m.kinds[urgency]
	if !ok {
		k = &kind{accounts: map[string]use{}, reported: map[string]reportedUse{}}
		m.kinds[urgency] = k
	}
	return k
}

// accountUses returns the uses of each account, as counted here and as reported by others.
func (k *kind) accountUses(now time.Time, model string) map[string]accountUse {
	uses := make(map[string]accountUse, len(k.accounts))
	for name, counted := range k.accounts {
		u := counted.decayed(now)
		uses[name] = accountUse{all: u, here: localUse{own: u, known: u}}
	}
	for name, more := range k.reported {
		u := uses[name]
		u.all = u.all.sum(more.all.decayed(now))
		u.here.known = u.here.known.sum(more.here(model).decayed(now))
		uses[name] = u
	}
	return uses
}

// Forget drops counts that are out of use. It has to be called periodically.
func (a *Room) Forget(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expire(now)
	for key, m := range a.models {
		for urgency, k := range m.kinds {
			for name, u := range k.accounts {
				if now.Sub(u.at) > forgetAfter {
					delete(k.accounts, name)
				}
			}
			if len(k.accounts) == 0 && len(k.reported) == 0 && now.Sub(k.askedAt) > forgetAfter {
				delete(m.kinds, urgency)
			}
		}
		if len(m.kinds) == 0 {
			delete(a.models, key)
		}
	}
}
