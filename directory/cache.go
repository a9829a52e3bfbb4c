package directory

import (
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"redwinghall/fleet"
	"redwinghall/kernel"
)

// LapseGrace is how long an entry that lapsed while the store was unavailable may
// stay missing after the store is available again before its endpoint counts as
// gone: endpoints need some time to rewrite their entries.
const LapseGrace = 2200 * time.Millisecond

// cutGrace bounds LapseGrace, from the last moment at which the store is known not to have answered this node. It may
// have been cut off from a store that answered others, and an entry that is missing then was removed. It is below the
// time after which users ask of a node that was cut off that it knows what was removed meanwhile.
const cutGrace = 2800 * time.Millisecond

// Cache holds the state that was read from the store and publishes it as immutable views.
// It is safe for concurrent use.
type Cache struct {
	mu        sync.Mutex
	view      atomic.Pointer[View]
	indexed   *indexedConfig
	endpoints map[string]*fleet.Endpoint
	lapsed    map[string]time.Time // when a missing entry counts as gone
	zonesOut  map[string]bool
	restored  restored
	// rejections logs configurations that didn't come into force.
	rejections rejections
	read       atomic.Pointer[fleet.Position]
	// confirmed is when the store last answered with the operators' table, in Unix nanoseconds; 0 if never.
	confirmed  atomic.Int64
	configured chan struct{} // closed once a configuration has been read
	listed     chan struct{} // closed once the endpoints' entries have been read
}

// NewCache returns an empty cache.
func NewCache() *Cache {
	c := &Cache{endpoints: map[string]*fleet.Endpoint{}, lapsed: map[string]time.Time{}, zonesOut: map[string]bool{}, restored: newRestored()}
	c.configured, c.listed = make(chan struct{}), make(chan struct{})
	c.view.Store(&View{})
	c.read.Store(&fleet.Position{})
	return c
}

// View returns the latest view.
func (c *Cache) View() *View { return c.view.Load() }

// NoteRead records the position of the store up to which the endpoints' entries were read.
func (c *Cache) NoteRead(at fleet.Position) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.Read().IsZero() && !at.IsZero() {
		close(c.listed)
	}
	next := c.Read().Later(at)
	c.read.Store(&next)
}

// noteConfirmed records that the store answered with the operators' table.
func (c *Cache) noteConfirmed(at time.Time) { c.confirmed.Store(at.UnixNano()) }

// SinceConfirmed returns how long ago the store answered, this node or the one that reads for it, with the operators'
// table; -1 if it never did.
func (c *Cache) SinceConfirmed(now time.Time) time.Duration {
	at := c.confirmed.Load()
	if at == 0 {
		return -1
	}
	return now.Sub(time.Unix(0, at))
}

// Configured returns a channel that is closed once a configuration has been read.
func (c *Cache) Configured() <-chan struct{} { return c.configured }

// Listed returns a channel that is closed once the endpoints' entries have been read.
func (c *Cache) Listed() <-chan struct{} { return c.listed }

// Read returns the position of the store up to which the endpoints' entries have been read.
func (c *Cache) Read() fleet.Position { return *c.read.Load() }

// Change is one change read from the store. Exactly one field other than Restored and LapsedUntil is set.
type Change struct {
	Config   *fleet.Configuration
	Endpoint *fleet.Endpoint
	Gone     string // id of an endpoint whose entry is missing
	ZoneOut  string
	ZoneIn   string
	// LapsedUntil is the time until which an endpoint whose entry is missing is kept, as the entry may have lapsed
	// while the store was away. It is zero if the entry was removed.
	LapsedUntil time.Time
	// Restored is set if the store was restored from an older copy, so that the change may
	// be older than the known state.
	Restored bool
}

// Apply applies changes and publishes a single new view.
func (c *Cache) Apply(now time.Time, changes ...Change) {
	if len(changes) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	first := c.indexed == nil
	applyEach(changes, func(change Change) { c.applyOne(now, change) })
	before := c.View()
	c.publish()
	logInForce(before, c.View())
	if first && c.indexed != nil {
		close(c.configured)
	}
}

// applyEach applies each change. One that panics doesn't keep the others from being applied.
func applyEach(changes []Change, apply func(Change)) {
	for _, change := range changes {
		_ = kernel.Protect("apply_change", func() error { apply(change); return nil }) // it is logged
	}
}

func (c *Cache) applyOne(now time.Time, change Change) {
	switch {
	case change.Config != nil:
		c.setConfig(now, change.Config)
	case change.Endpoint != nil:
		c.applyEntry(now, change.Endpoint, change.Restored)
	case change.Gone != "":
		c.remove(now, change.Gone, change.LapsedUntil)
	case change.ZoneOut != "":
		c.zonesOut[change.ZoneOut] = true
		delete(c.restored.zonesIn, change.ZoneOut)
	case change.ZoneIn != "" && change.Restored:
		c.restored.zonesIn[change.ZoneIn] = now.Add(LapseGrace)
	case change.ZoneIn != "":
		delete(c.zonesOut, change.ZoneIn)
		delete(c.restored.zonesIn, change.ZoneIn)
	}
}

// applyEntry replaces the known entry of an endpoint, unless the endpoint wrote that one later.
func (c *Cache) applyEntry(now time.Time, entry *fleet.Endpoint, isRestored bool) {
	known := c.endpoints[entry.ID]
	if c.restored.keepsKnown(now, known, entry) || (known == nil && isRestored && c.restored.keepsGone(now, entry)) {
		return
	}
	c.put(entry)
}

// setConfig puts a configuration in force, unless it must not replace the current one.
func (c *Cache) setConfig(now time.Time, next *fleet.Configuration) {
	since := now
	var current *fleet.Configuration
	if c.indexed != nil {
		current = c.indexed.config
	}
	if why := reasonToReject(next, current); why != "" {
		c.rejections.note(rejection{what: whatConfiguration, version: next.Version, why: why})
		return
	}
	if current != nil && current.Version == next.Version {
		since = c.indexed.since
	}
	c.indexed = newIndexedConfig(next, since)
}

func (c *Cache) put(e *fleet.Endpoint) {
	c.endpoints[e.ID] = e
	delete(c.lapsed, e.ID)
	c.restored.forget(e.ID)
}

// remove drops an endpoint, or keeps it if its entry may have lapsed.
func (c *Cache) remove(now time.Time, id string, lapsedUntil time.Time) {
	if now.Before(lapsedUntil) {
		if _, known := c.lapsed[id]; !known {
			c.lapsed[id] = lapsedUntil
		}
		return
	}
	c.drop(now, id)
}

func (c *Cache) drop(now time.Time, id string) {
	if e, known := c.endpoints[id]; known {
		c.restored.noteGone(now, e)
	}
	delete(c.endpoints, id)
	delete(c.lapsed, id)
	delete(c.restored.held, id)
}

// Expire drops endpoints whose entries are still missing at the end of their grace. It also
// applies the held-back state of a store restored from an older copy once its grace is over.
func (c *Cache) Expire(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	changed := false
	for id, until := range c.lapsed {
		if !now.Before(until) {
			c.drop(now, id)
			changed = true
		}
	}
	for _, e := range c.restored.due(now) {
		c.put(e)
		changed = true
	}
	for zone, at := range c.restored.zonesIn {
		if !now.Before(at) {
			delete(c.restored.zonesIn, zone)
			delete(c.zonesOut, zone)
			changed = true
		}
	}
	if changed {
		c.publish()
	}
}

// hasLapsed reports whether endpoints are kept whose entries are missing.
func (c *Cache) hasLapsed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.lapsed) > 0
}

// Known returns the IDs of all endpoints that have an entry and the zones taken out of service, for
// comparison with a new list. A list tells nothing new of an entry that was missing before.
func (c *Cache) Known() (ids, zonesOut []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id := range c.endpoints {
		if _, lapsed := c.lapsed[id]; !lapsed {
			ids = append(ids, id)
		}
	}
	for zone := range c.zonesOut {
		zonesOut = append(zonesOut, zone)
	}
	return ids, zonesOut
}

func (c *Cache) publish() {
	v := &View{
		indexed:   c.indexed,
		Endpoints: make(map[string]*fleet.Endpoint, len(c.endpoints)),
		ByService: map[string][]*fleet.Endpoint{},
		ZonesOut:  make(map[string]bool, len(c.zonesOut)),
		heads:     map[modelKey][]*fleet.Endpoint{},
	}
	for id, e := range c.endpoints {
		v.Endpoints[id] = e
		v.ByService[e.Service] = append(v.ByService[e.Service], e)
	}
	for _, list := range v.ByService {
		sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	}
	for service, list := range v.ByService {
		for _, e := range list {
			if e.Serves() {
				key := modelKey{service, e.Model()}
				v.heads[key] = append(v.heads[key], e)
			}
		}
	}
	for zone := range c.zonesOut {
		v.ZonesOut[zone] = true
	}
	c.view.Store(v)
}
