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
		u, more := accounts[one.Account], r.useOf(now, one)
		u.all = u.all.sum(more)
		if !r.otherZone || key.model == "" { // endpoints of plain services serve all zones
			u.here = u.here.sum(more)
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

// OwnUses returns what this node counted itself, the largest uses first.
func (a *Room) OwnUses(now time.Time, most int) []redwinghall.AccountUse {
	return a.uses(now, most, func(string, report) bool { return false })
}

// ZoneUses returns what this node and the others of its zone counted, the largest uses first.
func (a *Room) ZoneUses(now time.Time, most int) []redwinghall.AccountUse {
	return a.uses(now, most, func(_ string, r report) bool { return !r.otherZone })
}

// UsesExcept returns what all nodes and zones except one node counted, the largest uses
// first.
func (a *Room) UsesExcept(now time.Time, node string, most int) []redwinghall.AccountUse {
	return a.uses(now, most, func(source string, _ report) bool { return source != node })
}

// useKey identifies an AccountUse.
type useKey struct {
	modelKey
	account string
	urgency int
}

// uses sums up this node's counts and the wanted reports.
func (a *Room) uses(now time.Time, most int, wanted func(source string, r report) bool) []redwinghall.AccountUse {
	a.mu.Lock()
	defer a.mu.Unlock()
	sums := map[useKey]use{}
	for key, m := range a.models {
		for urgency, k := range m.kinds {
			for account, u := range k.accounts {
				sums[useKey{key, account, urgency}] = u.decayed(now)
			}
		}
	}
	for source, r := range a.reports {
		if now.Sub(r.at) > reportTTL || !wanted(source, r) {
			continue
		}
		for _, one := range r.uses {
			key := useKey{modelKey{one.Service, one.Model}, one.Account, one.Urgency}
			sums[key] = sums[key].sum(r.useOf(now, one))
		}
	}
	return largest(sums, most)
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
