package directory

import (
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"redwinghall/fleet"
)

// LapseGrace is how long an entry that lapsed while the store was away may
// stay missing after the store's return before its endpoint counts as gone:
// endpoints need a while to write again.
const LapseGrace = 2200 * time.Millisecond

// Book gathers changes and publishes views. Its methods may be called from
// several goroutines.
type Book struct {
	mu        sync.Mutex
	view      atomic.Pointer[View]
	indexed   *indexedConfig
	endpoints map[string]*fleet.Endpoint
	lapsed    map[string]time.Time // when a missing entry counts as gone
	out       map[string]bool
	restored  restored
	// graceUntil is when entries that are missing count as gone at once again.
	graceUntil time.Time
	read       atomic.Pointer[fleet.Position]
	configured chan struct{} // closed once a configuration is known
	listed     chan struct{} // closed once the endpoints' entries were read
}

// NewBook returns an empty book.
func NewBook() *Book {
	b := &Book{endpoints: map[string]*fleet.Endpoint{}, lapsed: map[string]time.Time{}, out: map[string]bool{}, restored: newRestored()}
	b.configured, b.listed = make(chan struct{}), make(chan struct{})
	b.view.Store(&View{})
	b.read.Store(&fleet.Position{})
	return b
}

// View returns the newest view.
func (b *Book) View() *View { return b.view.Load() }

// StoreReturned notes that the store answers again after it was away.
func (b *Book) StoreReturned(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.graceUntil = now.Add(LapseGrace)
}

// NoteRead notes up to which position of the store the endpoints' entries were read.
func (b *Book) NoteRead(at fleet.Position) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.Read().IsZero() && !at.IsZero() {
		close(b.listed)
	}
	next := b.Read().Later(at)
	b.read.Store(&next)
}

// Configured is closed once a configuration is known.
func (b *Book) Configured() <-chan struct{} { return b.configured }

// Listed is closed once the endpoints' entries were read.
func (b *Book) Listed() <-chan struct{} { return b.listed }

// Read returns up to which position of the store the endpoints' entries are known.
func (b *Book) Read() fleet.Position { return *b.read.Load() }

// Change is one thing learned. Exactly one of its parts is set.
type Change struct {
	Config   *fleet.Configuration
	Endpoint *fleet.Endpoint
	Gone     string // id of an endpoint whose entry is missing
	ZoneOut  string
	ZoneIn   string
	// Restored says that it is what the store holds since it came back from an older
	// copy, and may be older than what is known.
	Restored bool
}

// Apply takes changes in and publishes one new view.
func (b *Book) Apply(now time.Time, changes ...Change) {
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

func (b *Book) applyOne(now time.Time, c Change) {
	switch {
	case c.Config != nil:
		// Guard: an older copy read late would bring back routes and keys that
		// were taken away. Versions only rise.
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
		b.out[c.ZoneOut] = true
		delete(b.restored.zonesIn, c.ZoneOut)
	case c.ZoneIn != "" && c.Restored:
		b.restored.zonesIn[c.ZoneIn] = now.Add(LapseGrace)
	case c.ZoneIn != "":
		delete(b.out, c.ZoneIn)
		delete(b.restored.zonesIn, c.ZoneIn)
	}
}

func (b *Book) put(e *fleet.Endpoint) {
	b.endpoints[e.ID] = e
	delete(b.lapsed, e.ID)
	b.restored.forget(e.ID)
}

// remove drops an endpoint, or lets it stay for the grace that an outage of
// the store asks for.
func (b *Book) remove(now time.Time, id string) {
	if now.Before(b.graceUntil) {
		if _, known := b.lapsed[id]; !known {
			b.lapsed[id] = b.graceUntil
		}
		return
	}
	b.drop(now, id)
}

func (b *Book) drop(now time.Time, id string) {
	if e, known := b.endpoints[id]; known {
		b.restored.left(now, e)
	}
	delete(b.endpoints, id)
	delete(b.lapsed, id)
	delete(b.restored.held, id)
}

// Expire drops endpoints whose entries stayed missing through their grace, and takes in what
// a store that came back older still says when its own grace is over.
func (b *Book) Expire(now time.Time) {
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
			delete(b.out, zone)
			changed = true
		}
	}
	if changed {
		b.publish()
	}
}

// Known returns the ids of all endpoints and the zones that are out, so that
// a new list can be compared with them.
func (b *Book) Known() (ids, zonesOut []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id := range b.endpoints {
		ids = append(ids, id)
	}
	for zone := range b.out {
		zonesOut = append(zonesOut, zone)
	}
	return ids, zonesOut
}

func (b *Book) publish() {
	v := &View{
		indexed:   b.indexed,
		Endpoints: make(map[string]*fleet.Endpoint, len(b.endpoints)),
		ByService: map[string][]*fleet.Endpoint{},
		ZonesOut:  make(map[string]bool, len(b.out)),
		heads:     map[served][]*fleet.Endpoint{},
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
				key := served{service, e.Model()}
				v.heads[key] = append(v.heads[key], e)
			}
		}
	}
	for zone := range b.out {
		v.ZonesOut[zone] = true
	}
	b.view.Store(v)
}
