package reach

import (
	"sync"
	"time"
)

// Timing of the paths to endpoints.
const (
	// minHold is how long an endpoint is reached through other nodes at least, once they
	// reach it and this node doesn't. If the path fails again within flapTime of its return,
	// the time doubles, up to maxHold: each change of the path costs the requests that
	// meet it.
	minHold  = time.Second
	maxHold  = 8 * time.Second
	flapTime = 10 * time.Second
	// minProbeDelay is the time until the first attempt to connect again. It doubles with each
	// failure, up to maxProbeDelay.
	minProbeDelay = 250 * time.Millisecond
	maxProbeDelay = 2 * time.Second
	// doubtTime is how long after a broken connection this node distrusts its other open
	// connections.
	doubtTime = 3 * time.Second
	// partedEndpoints is the number of endpoints of a service that only other nodes reach
	// from which this node assumes the same of the service's other endpoints.
	partedEndpoints = 2
	forgetAfter     = 30 * time.Second
)

// Table holds the paths to the endpoints. It is safe for concurrent use.
type Table struct {
	mu        sync.Mutex
	endpoints map[string]*path
	services  map[string]*service
	troubleAt time.Time // when a connection to any endpoint last failed or broke
	goodAt    time.Time // when any connection was last opened or brought something
}

// If connections to severalFailed endpoints fail or break within failWindow and nothing comes from
// any for quietTime, this node seems to be parted.
const (
	severalFailed = 3
	failWindow    = time.Second
	quietTime     = 300 * time.Millisecond
)

// path is the state of this node's own path to one endpoint.
type path struct {
	service  string
	failedAt time.Time // when a connection could last not be opened
	brokeAt  time.Time // when a connection last broke, fell silent or could not be opened
	goodAt   time.Time // when a connection was last opened or brought something
	heardAt  time.Time // when a connection last brought something
	// indirect means that requests go through other nodes.
	indirect   bool
	indirectAt time.Time // since when
	holdUntil  time.Time
	hold       time.Duration
	returnedAt time.Time // when the path last worked again
	probeAt    time.Time
	probeDelay time.Duration
	usedAt     time.Time
	// servesOthersAt is when another node had something from the endpoint while it was silent
	// here.
	servesOthersAt time.Time
}

// service is what the paths to its endpoints have in common.
type service struct {
	troubleAt time.Time // when a connection to any of its endpoints last failed or broke
	// failingSince is when the first connection failed since one was last opened, zero if
	// none did.
	failingSince time.Time
	indirect     int // endpoints that are reached through other nodes
}

// NewTable returns a table in which all endpoints are reached directly.
func NewTable() *Table {
	return &Table{endpoints: map[string]*path{}, services: map[string]*service{}}
}

func (t *Table) path(now time.Time, serviceName, id string) (*path, *service) {
	p, ok := t.endpoints[id]
	if !ok {
		p = &path{service: serviceName, hold: minHold}
		t.endpoints[id] = p
	}
	p.usedAt = now
	s, ok := t.services[serviceName]
	if !ok {
		s = &service{}
		t.services[serviceName] = s
	}
	return p, s
}

// Direct reports whether the next request to an endpoint goes over this node's own
// connections.
//
// While other nodes reach several endpoints of a service and this node reaches none, it
// doesn't try the others one by one: callers would wait for a connection timeout at each.
func (t *Table) Direct(now time.Time, serviceName, id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, s := t.path(now, serviceName, id)
	if !p.indirect && s.parted() && !p.goodAt.After(s.failingSince) {
		p.goIndirect(now)
		p.holdUntil = now // it may work: nobody has tried
		s.indirect++
	}
	return !p.indirect
}

// Reaches reports whether this node's own connections to an endpoint worked when they were last used.
//
// That includes a path that works again and isn't used for callers' requests yet, as it may flap.
// Nodes that reach nothing can still be helped over it, and so can this node if no other one can.
func (t *Table) Reaches(now time.Time, serviceName, id string) bool {
	if t.Direct(now, serviceName, id) {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	p, _ := t.path(now, serviceName, id)
	return p.goodAt.After(p.indirectAt) && p.goodAt.After(p.brokeAt)
}

// Unconnected reports whether this node's last attempt to connect to an endpoint failed, or requests
// to it go through other nodes.
func (t *Table) Unconnected(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.endpoints[id]
	return ok && (p.indirect || p.failedAt.After(p.goodAt))
}

// parted reports whether this node seems to reach no endpoint of the service.
func (s *service) parted() bool {
	return s.indirect >= partedEndpoints && !s.failingSince.IsZero()
}

func (p *path) goIndirect(now time.Time) {
	if !p.returnedAt.IsZero() && now.Sub(p.returnedAt) < flapTime {
		p.hold = min(2*p.hold, maxHold)
	} else {
		p.hold = minHold
	}
	p.indirect, p.indirectAt = true, now
	p.holdUntil = now.Add(p.hold)
	p.probeDelay = minProbeDelay
	p.probeAt = now.Add(p.probeDelay)
}

// Failed records that a connection to an endpoint could not be opened.
func (t *Table) Failed(now time.Time, serviceName, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, s := t.path(now, serviceName, id)
	p.failedAt, p.brokeAt = now, now
	t.troubleAt, s.troubleAt = now, now
	if s.failingSince.IsZero() {
		s.failingSince = now
	}
}

// Broke records that an open connection to an endpoint broke or fell silent.
func (t *Table) Broke(now time.Time, serviceName, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, s := t.path(now, serviceName, id)
	p.brokeAt = now
	t.troubleAt, s.troubleAt = now, now
}

// SeemsParted reports whether connections to several endpoints failed or broke at about the same
// time, and nothing comes from any other one. The endpoints of a domain that goes dark fail
// together too, but the others go on.
func (t *Table) SeemsParted(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.seemsParted(now)
}

func (t *Table) seemsParted(now time.Time) bool {
	return now.Sub(t.goodAt) >= quietTime && t.severalFailed(now)
}

// SeveralFailed reports whether connections to several endpoints failed or broke at about the same
// time.
func (t *Table) SeveralFailed(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.severalFailed(now)
}

func (t *Table) severalFailed(now time.Time) bool {
	if t.troubleAt.IsZero() || now.Sub(t.troubleAt) > failWindow {
		return false
	}
	n := 0
	for _, p := range t.endpoints {
		if !p.brokeAt.IsZero() && now.Sub(p.brokeAt) <= failWindow {
			n++
		}
	}
	return n >= severalFailed
}

// RecordServesOthers records that another node has just had something from an endpoint that is
// silent here, so that this node's open connections to it are dead.
func (t *Table) RecordServesOthers(now time.Time, serviceName, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, _ := t.path(now, serviceName, id)
	p.servesOthersAt = now
}

// ServesOthers reports whether an endpoint that is silent here has recently served another node.
func (t *Table) ServesOthers(now time.Time, id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.endpoints[id]
	return ok && p.servesOthersAt.After(p.goodAt) && now.Sub(p.servesOthersAt) <= failWindow
}

// FailedRecently reports whether a connection to an endpoint could not be opened within
// failWindow and none was since.
func (t *Table) FailedRecently(now time.Time, id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.endpoints[id]
	return ok && !p.failedAt.IsZero() && p.failedAt.After(p.goodAt) && now.Sub(p.failedAt) <= failWindow
}

// SinceHeard returns how long ago an endpoint last sent something over this node's own
// connections.
func (t *Table) SinceHeard(now time.Time, id string) (age time.Duration, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.endpoints[id]
	if !ok || p.heardAt.IsZero() {
		return 0, false
	}
	return now.Sub(p.heardAt), true
}

// BrokeSinceHeard reports whether a connection to an endpoint broke, fell silent or could not be opened after one
// last brought something.
func (t *Table) BrokeSinceHeard(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.endpoints[id]
	return ok && p.brokeAt.After(p.heardAt)
}

// Responded records that an open connection brought a response.
func (t *Table) Responded(now time.Time, serviceName, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, _ := t.path(now, serviceName, id)
	p.goodAt, p.heardAt = now, now
	t.goodAt = now
}

// HeardFromOther reports whether something came from an endpoint other than one since a time.
func (t *Table) HeardFromOther(since time.Time, id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for other, p := range t.endpoints {
		if other != id && p.heardAt.After(since) {
			return true
		}
	}
	return false
}

// Connected records that this node opened a connection to an endpoint. It reports whether
// requests to it go over this node's own connections again.
func (t *Table) Connected(now time.Time, serviceName, id string) (returned bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, s := t.path(now, serviceName, id)
	p.goodAt = now
	t.goodAt = now
	s.failingSince = time.Time{}
	if !p.indirect {
		return false
	}
	if now.Before(p.holdUntil) {
		p.probeAt = p.holdUntil
		return false
	}
	p.indirect, p.returnedAt = false, now
	s.indirect = max(0, s.indirect-1)
	t.probeAllSoon(now, p.service)
	return true
}

// probeAllSoon makes the probes of a service's endpoints due, as one was reached again.
func (t *Table) probeAllSoon(now time.Time, serviceName string) {
	for _, p := range t.endpoints {
		if p.indirect && p.service == serviceName {
			p.probeDelay, p.probeAt = minProbeDelay, now
		}
	}
}

// ReachedByPeer records that another node reaches an endpoint. If this node doesn't, requests
// go through other nodes from now on; changed reports whether that is new.
func (t *Table) ReachedByPeer(now time.Time, serviceName, id string) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, s := t.path(now, serviceName, id)
	if p.indirect || p.failedAt.IsZero() || p.goodAt.After(p.failedAt) {
		return false
	}
	p.goIndirect(now)
	s.indirect++
	return true
}

// Doubtful reports whether this node distrusts its open connections to an endpoint: it seems to be
// parted, or a connection to an endpoint of the same service failed or broke, and this one has
// sent nothing since.
//
// A request that is written to a connection that is already dead has an unknown outcome
// until its deadline, and can't be repeated unless it is idempotent.
func (t *Table) Doubtful(now time.Time, serviceName, id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.seemsParted(now) {
		return true
	}
	p, s := t.path(now, serviceName, id)
	return !s.troubleAt.IsZero() && now.Sub(s.troubleAt) <= doubtTime && !p.goodAt.After(s.troubleAt)
}

// ProbesDue returns at most limit endpoints to which this node should try to connect now, and
// schedules their next probes.
func (t *Table) ProbesDue(now time.Time, limit int) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var due []string
	for id, p := range t.endpoints {
		if len(due) == limit {
			break
		}
		if p.indirect && !now.Before(p.probeAt) {
			p.probeAt = now.Add(p.probeDelay)
			p.probeDelay = min(2*p.probeDelay, maxProbeDelay)
			due = append(due, id)
		}
	}
	return due
}

// Parted reports whether this node seems to reach no endpoint of some service.
func (t *Table) Parted() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.services {
		if s.parted() {
			return true
		}
	}
	return false
}

// Indirect returns the number of endpoints that are reached through other nodes.
func (t *Table) Indirect() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, p := range t.endpoints {
		if p.indirect {
			n++
		}
	}
	return n
}

// Forget drops the paths that haven't been used for long. It has to be called periodically.
func (t *Table) Forget(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, p := range t.endpoints {
		if now.Sub(p.usedAt) <= forgetAfter {
			continue
		}
		if s := t.services[p.service]; p.indirect && s != nil {
			s.indirect = max(0, s.indirect-1)
		}
		delete(t.endpoints, id)
	}
}
