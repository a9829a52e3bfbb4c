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

// reportedUse is the sum of what others reported of an account.
type reportedUse struct {
	all     use // in all zones
	zone    use // in this zone
	reports int
}

// With returns the sum after one more report, or after one less if times is -1.
func (u reportedUse) With(now time.Time, more use, otherZone bool, times int) reportedUse {
	next := reportedUse{all: u.all.decayed(now), zone: u.zone.decayed(now), reports: u.reports + times}
	next.all = next.all.sum(more.times(float64(times)))
	if !otherZone {
		next.zone = next.zone.sum(more.times(float64(times)))
	}
	return next
}

// here returns what uses the room that this node gives out: endpoints of plain services
// serve all zones.
func (u reportedUse) here(model string) use {
	if model == "" {
		return u.all
	}
	return u.zone
}

// addReport adds what a report says to the sums, or takes it from them if times is -1. The
// sums are kept rather than computed: in a zone of many nodes, a decision would otherwise
// wait until all reports are added up. The lock is held.
func (a *Room) addReport(now time.Time, r report, times int) {
	for _, one := range r.uses {
		key := useKey{modelKey{service: one.Service, model: one.Model}, one.Account, one.Urgency}
		m := a.room(key.modelKey)
		m.noteReport(r)
		accounts := m.kind(one.Urgency).reported
		next := accounts[one.Account].With(now, r.useOf(now, one), r.otherZone, times)
		if next.reports == 0 {
			delete(accounts, one.Account)
			continue
		}
		accounts[one.Account] = next
	}
}

// noteReport records that a report is about the model.
func (m *modelRoom) noteReport(r report) {
	if r.at.After(m.reportedAt) {
		m.reportedAt = r.at
	}
	if !r.otherZone && r.at.After(m.zoneReportedAt) {
		m.zoneReportedAt = r.at
	}
}

// expire drops reports that count no longer. The lock is held.
func (a *Room) expire(now time.Time) {
	for source, r := range a.reports {
		if now.Sub(r.at) > reportTTL {
			a.addReport(now, r, -1)
			delete(a.reports, source)
		}
	}
}

func (r report) useOf(now time.Time, one redwinghall.AccountUse) use {
	return use{asked: one.Asked.Seconds(), given: one.Given.Seconds(), at: r.at}.decayed(now)
}

// SetReport replaces what another node of this zone, or another zone, reported.
func (a *Room) SetReport(now time.Time, source string, otherZone bool, uses []redwinghall.AccountUse) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expire(now)
	a.addReport(now, a.reports[source], -1)
	next := report{at: now, otherZone: otherZone, uses: uses}
	a.addReport(now, next, 1)
	a.reports[source] = next
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
	return a.uses(now, most, "", func(u reportedUse, _ string) (use, bool) { return u.zone, true })
}

// UsesExcept returns what all nodes of this zone except one counted, the largest uses
// first. For plain services, whose endpoints serve all zones, it adds the other zones.
func (a *Room) UsesExcept(now time.Time, node string, most int) []redwinghall.AccountUse {
	return a.uses(now, most, node, func(u reportedUse, model string) (use, bool) { return u.here(model), true })
}

// PlainUsesExcept is UsesExcept for plain services alone.
func (a *Room) PlainUsesExcept(now time.Time, node string, most int) []redwinghall.AccountUse {
	return a.uses(now, most, node, func(u reportedUse, model string) (use, bool) { return u.all, model == "" })
}

// useKey identifies an AccountUse.
type useKey struct {
	modelKey
	account string
	urgency int
}

// uses sums up the wanted part of what others reported, except one of them, and this node's
// own counts. It leaves out models whose room was short lately neither for this node
// nor for others of its zone.
func (a *Room) uses(now time.Time, most int, except string, wanted func(u reportedUse, model string) (use, bool)) []redwinghall.AccountUse {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expire(now)
	sums := map[useKey]use{}
	for key, m := range a.models {
		if _, ok := wanted(reportedUse{}, key.model); !ok || !now.Before(m.shortUntil) && now.Sub(m.zoneReportedAt) >= shortTime {
			continue
		}
		m.addTo(now, key, sums)
		for urgency, k := range m.kinds {
			for account, reported := range k.reported {
				one := useKey{key, account, urgency}
				more, _ := wanted(reported, key.model)
				sums[one] = sums[one].sum(more.decayed(now))
			}
		}
	}
	a.reports[except].takeFrom(now, sums)
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

// takeFrom takes what a report says from sums that include it.
func (r report) takeFrom(now time.Time, sums map[useKey]use) {
	for _, one := range r.uses {
		key := useKey{modelKey{service: one.Service, model: one.Model}, one.Account, one.Urgency}
		if all, ok := sums[key]; ok {
			sums[key] = all.sum(r.useOf(now, one).times(-1))
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
