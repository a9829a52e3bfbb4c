package admission

import (
	"cmp"
	"slices"
	"time"

	"redwinghall"
)

// minReported is the least work of each second that is reported to others.
const minReported = 0.001

// reportTTL is how long a report counts; what it says decays meanwhile.
const reportTTL = 3 * time.Second

// report is what another node or zone reported.
type report struct {
	at        time.Time
	otherZone bool
	uses      []redwinghall.AccountUse
}

// addTo adds the report's uses of a kind to those of the accounts.
func (r report) addTo(now time.Time, key modelKey, urgency int, accounts map[string]accountUse) {
	if now.Sub(r.at) > reportTTL {
		return
	}
	for _, one := range r.uses {
		if one.Service != key.service || one.Model != key.model || one.Urgency != urgency {
			continue
		}
		u := accounts[one.Account]
		more := r.useOf(now, one)
		u.all = u.all.sum(more)
		if !r.otherZone || key.model == "" { // endpoints of plain services serve all zones
			u.here.known = u.here.known.sum(more)
		}
		accounts[one.Account] = u
	}
}

func (r report) useOf(now time.Time, one redwinghall.AccountUse) use {
	return use{asked: one.Asked.Seconds(), given: one.Given.Seconds(), at: r.at}.decayed(now)
}

// SetReport replaces what another node of this zone, or another zone, reported.
func (a *Room) SetReport(now time.Time, source string, otherZone bool, uses []redwinghall.AccountUse) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reports[source] = report{at: now, otherZone: otherZone, uses: uses}
	for name, r := range a.reports {
		if now.Sub(r.at) > reportTTL {
			delete(a.reports, name)
		}
	}
	for _, one := range uses {
		a.room(modelKey{service: one.Service, model: one.Model}).kind(one.Urgency)
	}
}

// OwnUses returns what this node counted itself at models whose room was short for it
// lately, the largest uses first.
//
// What others reported doesn't make a room short here: nodes would keep each other
// reporting for ever.
func (a *Room) OwnUses(now time.Time, most int) []redwinghall.AccountUse {
	a.mu.Lock()
	defer a.mu.Unlock()
	sums := map[useKey]use{}
	for key, m := range a.models {
		if now.Before(m.shortUntil) {
			m.addTo(now, key, sums)
		}
	}
	return largest(sums, most)
}

// ZoneUses returns what this node and the others of its zone counted, the largest uses first.
func (a *Room) ZoneUses(now time.Time, most int) []redwinghall.AccountUse {
	return a.uses(now, most, func(_ string, r report, _ string) bool { return !r.otherZone })
}

// UsesExcept returns what all nodes of this zone except one counted, the largest uses
// first. For plain services, whose endpoints serve all zones, it adds the other zones.
func (a *Room) UsesExcept(now time.Time, node string, most int) []redwinghall.AccountUse {
	return a.uses(now, most, func(source string, r report, model string) bool {
		return source != node && (!r.otherZone || model == "")
	})
}

// PlainUsesExcept is UsesExcept for plain services alone.
func (a *Room) PlainUsesExcept(now time.Time, node string, most int) []redwinghall.AccountUse {
	return a.uses(now, most, func(source string, _ report, model string) bool { return source != node && model == "" })
}

// useKey identifies an AccountUse.
type useKey struct {
	modelKey
	account string
	urgency int
}

// uses sums up the wanted reports, and this node's own counts, whose source is "". It leaves
// out models whose room was short lately neither for this node nor for others of its zone.
func (a *Room) uses(now time.Time, most int, wanted func(source string, r report, model string) bool) []redwinghall.AccountUse {
	a.mu.Lock()
	defer a.mu.Unlock()
	sums := map[useKey]use{}
	for key, m := range a.models {
		if !now.Before(m.shortUntil) && !anyAbout(now, key, a.reports, false) {
			continue
		}
		if wanted("", report{}, key.model) {
			m.addTo(now, key, sums)
		}
		for source, r := range a.reports {
			if wanted(source, r, key.model) {
				r.sumTo(now, key, sums)
			}
		}
	}
	return largest(sums, most)
}

// addTo adds a model's counts to sums.
func (m *modelRoom) addTo(now time.Time, key modelKey, sums map[useKey]use) {
	for urgency, k := range m.kinds {
		for account, u := range k.accounts {
			sums[useKey{key, account, urgency}] = sums[useKey{key, account, urgency}].sum(u.decayed(now))
		}
	}
}

// sumTo adds what a report says of a model to sums.
func (r report) sumTo(now time.Time, key modelKey, sums map[useKey]use) {
	if now.Sub(r.at) > reportTTL {
		return
	}
	for _, one := range r.uses {
		if one.Service == key.service && one.Model == key.model {
			sums[useKey{key, one.Account, one.Urgency}] = sums[useKey{key, one.Account, one.Urgency}].sum(r.useOf(now, one))
		}
	}
}

// largest returns the largest uses, at most most of them.
func largest(sums map[useKey]use, most int) []redwinghall.AccountUse {
	var uses []redwinghall.AccountUse
	for key, u := range sums {
		if u.asked < minReported {
			continue
		}
		uses = append(uses, redwinghall.AccountUse{
			Service: key.service, Model: key.model, Account: key.account, Urgency: key.urgency, Asked: seconds(u.asked), Given: seconds(u.given),
		})
	}
	slices.SortFunc(uses, func(x, y redwinghall.AccountUse) int {
		return cmp.Or(cmp.Compare(y.Asked, x.Asked), cmp.Compare(x.Account, y.Account), cmp.Compare(x.Urgency, y.Urgency))
	})
	return uses[:min(most, len(uses))]
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
