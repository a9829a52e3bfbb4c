package admission

import (
	"cmp"
	"slices"
	"time"
)

// plan is the state of a model's room, summed up for the decisions of a short time.
type plan struct {
	at    time.Time
	short bool       // it was too little lately
	total localUse   // of all kinds
	kinds []kindPlan // the most urgent first
}

// kindPlan sums up the requests of one urgency.
type kindPlan struct {
	urgency   int
	active    bool          // requests were made within activeTime
	objective time.Duration // the tightest, 0 if unknown
	use       localUse
	// accounts holds those that ask for more than their due and have most of it, within what
	// those ask for that ask for no more.
	accounts map[string]accountPlan
	within   localUse
	// below is what is missing to their due for those that ask for more.
	below localUse
}

// accountPlan is what an account that asks for more than its due has.
type accountPlan struct {
	asked, given, due float64
	over              bool // it got all of its due
}

// catchUpTime is the time in which an account below its due is let to catch up.
const catchUpTime = 100 * time.Millisecond

// withinDue is the share of its due up to which an account isn't limited.
const withinDue = 0.99

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
	here localUse
}

// makePlan sums up a model's room as of now.
func (m *modelRoom) makePlan(now time.Time, key modelKey) plan {
	p := plan{at: now, short: now.Before(m.shortUntil) || now.Sub(m.reportedAt) < shortTime}
	for urgency, k := range m.kinds {
		one := kindPlan{urgency: urgency, objective: k.objective}
		uses := k.accountUses(now, key.model)
		for _, u := range uses {
			one.use = one.use.sum(u.here)
		}
		one.active = now.Sub(k.askedAt) < activeTime
		if p.short {
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
		if u.all.asked <= due {
			k.within = k.within.sum(u.here)
			continue
		}
		if u.all.given >= withinDue*due {
			k.accounts[name] = accountPlan{asked: u.all.asked, given: u.all.given, due: due, over: u.all.given > due}
		}
		if missing := due - u.all.given; missing > 0 {
			catchUp := min(missing*rateWindow.Seconds()/catchUpTime.Seconds(), due)
			k.below = k.below.sum(u.here.times(catchUp / u.all.asked))
		}
	}
}

// overAsked returns the work that the accounts ask for which aren't within their due; if
// accounts weren't compared, that of all.
func (k *kindPlan) overAsked(deciders float64) float64 {
	return max(0, k.use.asked(deciders)-k.within.asked(deciders))
}
