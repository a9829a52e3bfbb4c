package directory

import (
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"redwinghall/fleet"
)

// LapseGrace is how long an entry that lapsed while the store was unavailable may
// stay missing after the store is available again before its endpoint counts as
// gone: endpoints need some time to rewrite their entries.
const LapseGrace = 2200 * time.Millisecond

// Cache collects changes and publishes immutable views. It is safe for concurrent use.
type Cache struct {
	mu        sync.Mutex
	view      atomic.Pointer[View]
	indexed   *indexedConfig
	endpoints map[string]*fleet.Endpoint
	lapsed    map[string]time.Time // when a missing entry counts as gone
	zonesOut  map[string]bool
	restored  restored
	// graceUntil is the time from which missing entries again count as gone at once.
	graceUntil time.Time
	read       atomic.Pointer[fleet.Position]
	configured chan struct{} // closed once a configuration has been read
	listed     chan struct{} // closed once the endpoints' entries have been read
}

// NewCache returns an empty book.
func NewCache() *Cache {
	b := &Cache{endpoints: map[string]*fleet.Endpoint{}, lapsed: map[string]time.Time{}, zonesOut: map[string]bool{}, restored: newRestored()}
	b.configured, b.listed = make(chan struct{}), make(chan struct{})
	b.view.Store(&View{})
	b.read.Store(&fleet.Position{})
	return b
}

// View returns the latest view.
func (b *Cache) View() *View { return b.view.Load() }

// StoreReturned starts the grace for missing entries. It is called when the store responds
// again after an outage or was restored from an older copy.
func (b *Cache) StoreReturned(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.graceUntil = now.Add(LapseGrace)
}

// NoteRead records the position of the store up to which the endpoints' entries were read.
func (b *Cache) NoteRead(at fleet.Position) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.Read().IsZero() && !at.IsZero() {
		close(b.listed)
	}
	next := b.Read().Later(at)
	b.read.Store(&next)
}

// Configured returns a channel that is closed once a configuration has been read.
func (b *Cache) Configured() <-chan struct{} { return b.configured }

// Listed returns a channel that is closed once the endpoints' entries have been read.
func (b *Cache) Listed() <-chan struct{} { return b.listed }

// Read returns the position of the store up to which the endpoints' entries have been read.
func (b *Cache) Read() fleet.Position { return *b.read.Load() }

// Change is one change read from the store. Exactly one field other than Restored is set.
type Change struct {
	Config   *fleet.Configuration
	Endpoint *fleet.Endpoint
	Gone     string // id of an endpoint whose entry is missing
	ZoneOut  string
	ZoneIn   string
	// Restored is set if the store was restored from an older copy, so that the change may
	// be older than the known state.
	Restored bool
}

// Apply applies changes and publishes a single new view.
func (b *Cache) Apply(now time.Time, changes ...Change) {
	if len(changes) == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	first := b.indexed == nil
	for _, c := range changes {
		b.applyOne(now, c)
	}
	b.publish()
	if first && b.indexed != nil {
		close(b.configured)
	}
}

func (b *Cache) applyOne(now time.Time, c Change) {
	switch {
	case c.Config != nil:
		// Versions only increase. An older configuration that is read late must not
		// bring back routes and keys that were removed.
		if b.indexed == nil || c.Config.Version >= b.indexed.config.Version {
			b.indexed = newIndexedConfig(c.Config)
		}
	case c.Endpoint != nil:
		if c.Restored && b.restored.keeps(now, b.endpoints[c.Endpoint.ID], c.Endpoint) {
			return
		}
		b.put(c.Endpoint)
	case c.Gone != "":
		b.remove(now, c.Gone)
	case c.ZoneOut != "":
		b.zonesOut[c.ZoneOut] = true
		delete(b.restored.zonesIn, c.ZoneOut)
	case c.ZoneIn != "" && c.Restored:
		b.restored.zonesIn[c.ZoneIn] = now.Add(LapseGrace)
	case c.ZoneIn != "":
		delete(b.zonesOut, c.ZoneIn)
		delete(b.restored.zonesIn, c.ZoneIn)
	}
}

func (b *Cache) put(e *fleet.Endpoint) {
	b.endpoints[e.ID] = e
	delete(b.lapsed, e.ID)
	b.restored.forget(e.ID)
}

// remove drops an endpoint, or keeps it until the grace after a store outage ends.
func (b *Cache) remove(now time.Time, id string) {
	if now.Before(b.graceUntil) {
		if _, known := b.lapsed[id]; !known {
			b.lapsed[id] = b.graceUntil
		}
		return
	}
	b.drop(now, id)
}

func (b *Cache) drop(now time.Time, id string) {
	if e, known := b.endpoints[id]; known {
		b.restored.noteGone(now, e)
	}
	delete(b.endpoints, id)
	delete(b.lapsed, id)
	delete(b.restored.held, id)
}

// Expire drops endpoints whose entries are still missing at the end of their grace. It also
// applies the held-back state of a store restored from an older copy once its grace is over.
func (b *Cache) Expire(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	changed := false
	for id, until := range b.lapsed {
		if !now.Before(until) {
			b.drop(now, id)
			changed = true
		}
	}
	for _, e := range b.restored.due(now) {
		b.put(e)
		changed = true
	}
	for zone, at := range b.restored.zonesIn {
		if !now.Before(at) {
			delete(b.restored.zonesIn, zone)
			delete(b.zonesOut, zone)
			changed = true
		}
	}
	if changed {
		b.publish()
	}
}

// Known returns the IDs of all endpoints and the zones taken out of service, for
// comparison with a new list.
func (b *Cache) Known() (ids, zonesOut []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id := range b.endpoints {
		ids = append(ids, id)
	}
	for zone := range b.zonesOut {
		zonesOut = append(zonesOut, zone)
	}
	return ids, zonesOut
}

func (b *Cache) publish() {
	v := &View{
		indexed:   b.indexed,
		Endpoints: make(map[string]*fleet.Endpoint, len(b.endpoints)),
		ByService: map[string][]*fleet.Endpoint{},
		ZonesOut:  make(map[string]bool, len(b.zonesOut)),
		heads:     map[modelKey][]*fleet.Endpoint{},
	}
	for id, e := range b.endpoints {
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
	for zone := range b.zonesOut {
		v.ZonesOut[zone] = true
	}
	b.view.Store(v)
}
