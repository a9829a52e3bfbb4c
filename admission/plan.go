package admission

import (
	"cmp"
	"slices"
	"time"
)

// plan is the state of a model's room, summed up for the decisions of a short time.
type plan struct {
	at    time.Time
	total use        // of all kinds
	kinds []kindPlan // the most urgent first
}

// kindPlan sums up the requests of one urgency.
type kindPlan struct {
	urgency   int
	active    bool          // requests were made within activeTime
	objective time.Duration // the tightest, 0 if unknown
	use       use           // in the groups that this node decides on
	// Accounts whose demand is above their due, and the work of the others.
	accounts map[string]accountPlan
	within   use
	// below is the part of their due that accounts above it have not got yet.
	below use
}

// accountPlan is what an account that asks for more than its due has.
type accountPlan struct {
	asked, given, due float64
	over              bool // it got all of its due
}

// withinDue is the share of its due up to which an account isn't limited.
const withinDue = 0.9

// kind returns the plan of an urgency.
func (p *plan) kind(urgency int) (*kindPlan, bool) {
	for i := range p.kinds {
		if p.kinds[i].urgency == urgency {
			return &p.kinds[i], true
		}
	}
	return nil, false
}

// accountUse is what an account uses of a kind.
type accountUse struct {
	all  use // in all zones
	here use // in the groups that this node decides on
}

// makePlan sums up a model's room as of now.
func (m *modelRoom) makePlan(now time.Time, key modelKey, reports map[string]report) plan {
	p := plan{at: now}
	short := now.Before(m.shortUntil)
	for urgency, k := range m.kinds {
		one := kindPlan{urgency: urgency, objective: k.objective, use: use{at: now}}
		uses := k.accountUses(now)
		for _, r := range reports {
			r.addTo(now, key, urgency, uses)
		}
		for _, u := range uses {
			one.use = one.use.sum(u.here)
		}
		one.active = now.Sub(k.askedAt) < activeTime || one.use.asked > minReported
		if short {
			one.divide(uses)
		}
		p.total = p.total.sum(one.use)
		p.kinds = append(p.kinds, one)
	}
	slices.SortFunc(p.kinds, func(a, b kindPlan) int { return cmp.Compare(a.urgency, b.urgency) })
	return p
}

// divide finds the accounts that ask for more than they are due.
func (k *kindPlan) divide(accounts map[string]accountUse) {
	supply, asked := 0.0, make([]float64, 0, len(accounts))
	for _, u := range accounts {
		supply += u.all.given
		asked = append(asked, u.all.asked)
	}
	due := fairLevel(supply, asked)
	k.accounts = map[string]accountPlan{}
	for name, u := range accounts {
		if u.all.asked <= due || u.all.given < withinDue*due {
			k.within = k.within.sum(u.here.times(min(1, due/max(u.all.asked, minReported))))
			continue
		}
		k.accounts[name] = accountPlan{asked: u.all.asked, given: u.all.given, due: due, over: u.all.given > due}
		if missing := due - u.all.given; missing > 0 {
			k.below = k.below.sum(u.here.times(missing / u.all.asked))
		}
	}
}
