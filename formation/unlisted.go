package formation

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"redwinghall"
	"redwinghall/fleet"
	"redwinghall/kernel"
	"redwinghall/platform"
)

// Timing for endpoints whose entry is missing.
const (
	// unlistedTimeout is how long an endpoint without an entry counts as a member after
	// its last answer. Until its first answer, it counts for unlistedGrace.
	unlistedTimeout       = 1500 * time.Millisecond
	unlistedGrace         = 900 * time.Millisecond
	unlistedProbeInterval = 500 * time.Millisecond
	// unlistedMaxFailures is the number of consecutive failed requests after which the
	// endpoint counts as silent.
	unlistedMaxFailures = 2
	// unlistedAbsentFailures is the number after which the endpoint isn't asked again.
	unlistedAbsentFailures = 6
	// unlistedProbePeriod is how long an endpoint without an entry is asked at all.
	unlistedProbePeriod = 40 * time.Second
	stateRetention      = 2 * time.Minute
)

// unlisted is the state kept about an endpoint whose entry is missing.
//
// An endpoint that is partitioned from the store, but from nothing else, loses its
// entry while its group continues to serve. Closing the group for that would let a
// store outage end the service of healthy groups. So the endpoint is asked directly and
// counts as a member while it answers; only requests aren't routed to it.
type unlisted struct {
	since    time.Time
	askedAt  time.Time
	answered time.Time
	fails    int
	// silentFrom is what the clock of answers showed as the entry went missing or the endpoint last
	// answered, and silent reports that it was silent for long since, by that clock.
	silentFrom time.Duration
	silent     bool
	// absent reports that the endpoint's process no longer listens at its address, or
	// that another endpoint has that address; it isn't asked again.
	absent bool
}

// addUnlisted adds the workers of a zone and service whose entry is missing and that
// still answer.
//
// Another process may listen at the address of one that ended and answer in its place.
// It would count twice, under both ids. So an endpoint whose address appears in another
// entry no longer counts. This doesn't prove that the old process's group has ended.
func (m *Manager) addUnlisted(ctx context.Context, now time.Time, z *Zone, zone, service, healthPath string) {
	taken := m.listedAddresses()
	for id, n := range m.endpoints {
		e := n.worker.Endpoint
		if e == nil || n.seenAt.Equal(now) || e.Zone != zone || e.Service != service {
			continue
		}
		if now.Sub(n.seenAt) > stateRetention {
			delete(m.endpoints, id)
			continue
		}
		u := &n.unlisted
		if u.since.IsZero() {
			*u = unlisted{since: now, silentFrom: m.answers.at(now)}
			klog.InfoS("entry_missing", "endpoint", id, "group", n.worker.Member.Group, "entry", e.Revision)
		}
		u.absent = u.absent || taken[e.Address]
		if u.absent || now.Sub(u.since) > unlistedProbePeriod {
			continue
		}
		m.askUnlisted(ctx, now, n, healthPath)
		n.worker.Unlisted = true
		n.worker.Silent = m.isSilent(now, e, u)
		n.updateSuspicion(now)
		n.worker.Slow = now.Before(n.slowUntil)
		m.updateMembership(now, n)
		z.Workers = append(z.Workers, &n.worker)
	}
}

// listedAddresses returns the addresses of all endpoints that have an entry.
func (m *Manager) listedAddresses() map[string]bool {
	taken := map[string]bool{}
	for _, e := range m.Cache.View().Endpoints {
		taken[e.Address] = true
	}
	return taken
}

func (u *unlisted) responsive(now time.Time) bool {
	if u.answered.IsZero() {
		return kernel.RunTime(u.since, now) < unlistedGrace && u.fails < unlistedMaxFailures
	}
	return kernel.RunTime(u.answered, now) < unlistedTimeout && u.fails < unlistedMaxFailures
}

// isSilent reports whether an endpoint without an entry doesn't answer, though others do.
func (m *Manager) isSilent(now time.Time, e *fleet.Endpoint, u *unlisted) bool {
	if u.responsive(now) {
		return false
	}
	if !u.silent {
		m.askWitnesses(now, e)
		u.silent = m.answers.at(now)-u.silentFrom >= minSilence
	}
	return u.silent
}

// askUnlisted asks an endpoint for its report, and until its first answer also whether
// it is leaving.
func (m *Manager) askUnlisted(ctx context.Context, now time.Time, n *endpointState, healthPath string) {
	id := n.worker.Endpoint.ID
	if m.probing[id] || now.Sub(n.unlisted.askedAt) < unlistedProbeInterval {
		return
	}
	if n.unlisted.fails >= unlistedMaxFailures && now.Sub(n.unlisted.askedAt) < 4*unlistedProbeInterval {
		return
	}
	m.probing[id] = true
	n.unlisted.askedAt = now
	endpoint := n.worker.Endpoint
	first := n.unlisted.answered.IsZero()
	m.group.Task("ask_unlisted", func(context.Context) {
		report, err := m.Orderer.Report(ctx, endpoint)
		leaving := false
		if err == nil && first {
			healthy, healthErr := m.Orderer.Healthy(ctx, endpoint, healthPath)
			leaving = healthErr == nil && !healthy
		}
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.probing, id)
		m.recordUnlistedReport(time.Now(), n, report, leaving, err)
	})
}

func (m *Manager) recordUnlistedReport(now time.Time, n *endpointState, report fleet.Report, leaving bool, err error) {
	u := &n.unlisted
	if u.since.IsZero() {
		return // its entry is back
	}
	if redwinghall.KindOf[platform.Kind](err) == platform.Unclear {
		return
	}
	if err != nil {
		absent := redwinghall.KindOf[platform.Kind](err) == platform.Absent
		u.fails++
		u.absent = absent || (u.silent && u.fails >= unlistedAbsentFailures)
		klog.InfoS("unlisted_silent", "endpoint", n.worker.Endpoint.ID, "fails", u.fails, "absent", u.absent, "err", err)
		return
	}
	m.answers.record(now)
	u.fails, u.answered, u.silent, u.silentFrom = 0, now, false, m.answers.at(now)
	n.worker.Endpoint = n.worker.Endpoint.WithReport(report)
	leaving = leaving || m.IsLeaving(n.worker.Endpoint)
	if leaving && n.worker.DrainingSince.IsZero() {
		klog.InfoS("unlisted_leaving", "endpoint", n.worker.Endpoint.ID, "group", report.Member.Group)
		n.worker.DrainingSince = now
		n.worker.Endpoint = n.worker.Endpoint.WithState(fleet.EndpointDraining)
	}
}
