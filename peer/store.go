// Package peer speaks to the other processes of redwinghall: it spreads
// versioned registers and group health by push at a change and by a periodic
// exchange that repairs what a push missed.
package peer

import (
	"encoding/binary"
	"sort"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// Keys of the registers. Keys below zonePrefix stay inside their zone.
const (
	KeyManifest   = "manifest"
	zonePrefix    = "zone/"
	azPrefix      = "az/"
	gatewayPrefix = "gateway/"
)

// KeyZoneState returns the register of the operators' decision on a zone.
func KeyZoneState(zone string) string { return azPrefix + zone }

// KeyGateway returns the register of a zone's routers that take forwarded work.
func KeyGateway(zone string) string { return gatewayPrefix + zone }

// KeyGroup returns the register of one group.
func KeyGroup(zone, id string) string { return PrefixGroups(zone) + id }

// PrefixGroups returns what the group registers of a zone start with.
func PrefixGroups(zone string) string { return zonePrefix + zone + "/group/" }

// KeyServices returns the register of a zone's service endpoints.
func KeyServices(zone string) string { return zonePrefix + zone + "/services" }

// PrefixMembers returns what the member registers of a zone start with.
func PrefixMembers(zone string) string { return zonePrefix + zone + "/member/" }

// KeyMember returns the register of one process.
func KeyMember(zone, id string) string { return PrefixMembers(zone) + id }

// Scope is the set of registers that two processes share: all of one zone's
// and the global ones, or between zones the global ones only.
type Scope struct {
	zone string
}

// ScopeOf returns the scope of an exchange between processes of two zones.
func ScopeOf(own, other string) Scope {
	if own == other {
		return Scope{zone: own}
	}
	return Scope{}
}

func (s Scope) has(key string) bool {
	if !strings.HasPrefix(key, zonePrefix) {
		return true
	}
	return s.zone != "" && strings.HasPrefix(key, zonePrefix+s.zone+"/")
}

// Entry is a versioned register. The higher number wins.
type Entry struct {
	Key    string
	Number uint64
	Value  []byte
}

// Mark names a register and the number held of it.
type Mark struct {
	Key    string
	Number uint64
}

// Store holds the newest known entry of each register.
type Store struct {
	mu      sync.Mutex
	entries map[string]Entry
	global  uint64
	zones   map[string]uint64
	version uint64 // rises with each change
	changed chan struct{}
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		entries: map[string]Entry{},
		zones:   map[string]uint64{},
		changed: make(chan struct{}, 1),
	}
}

// Changed receives a value after one or more changes; several changes may
// share one value.
func (s *Store) Changed() <-chan struct{} { return s.changed }

// Apply takes the entries that are newer than those held and returns them.
//
// Guard: a copy of an older manifest, zone decision or group that arrives late
// from a peer, a restarted process or the platform would undo a newer one, and
// a zone that was taken out would get work again. Numbers come from versions
// of table rows, which only rise, so an equal or lower number is never applied.
func (s *Store) Apply(entries ...Entry) []Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	var taken []Entry
	for _, e := range entries {
		held, ok := s.entries[e.Key]
		if ok && held.Number >= e.Number {
			continue
		}
		if ok {
			s.toggle(held)
		}
		s.entries[e.Key] = e
		s.toggle(e)
		taken = append(taken, e)
	}
	if len(taken) > 0 {
		s.version++
		select {
		case s.changed <- struct{}{}:
		default:
		}
	}
	return taken
}

// toggle adds the entry to its scope's digest, or removes it: the digest is
// the exclusive or of all entries' hashes.
func (s *Store) toggle(e Entry) {
	var number [8]byte
	binary.LittleEndian.PutUint64(number[:], e.Number)
	hash := xxhash.New()
	_, _ = hash.WriteString(e.Key) // a hash never fails
	_, _ = hash.Write(number[:])
	sum := hash.Sum64()
	if !strings.HasPrefix(e.Key, zonePrefix) {
		s.global ^= sum
		return
	}
	zone, _, _ := strings.Cut(strings.TrimPrefix(e.Key, zonePrefix), "/")
	s.zones[zone] ^= sum
}

// Version rises with each change of the contents.
func (s *Store) Version() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// Get returns the entry of a key.
func (s *Store) Get(key string) (Entry, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[key]
	return e, ok
}

// List returns the entries whose key starts with prefix, in key order.
func (s *Store) List(prefix string) []Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Entry
	for key, e := range s.entries {
		if strings.HasPrefix(key, prefix) {
			out = append(out, e)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out
}

// Digest returns a hash of the scope's keys and numbers: equal digests mean
// equal contents.
func (s *Store) Digest(scope Scope) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if scope.zone == "" {
		return s.global
	}
	return s.global ^ s.zones[scope.zone]
}

// Marks returns the numbers held in the scope.
func (s *Store) Marks(scope Scope) []Mark {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Mark
	for key, e := range s.entries {
		if scope.has(key) {
			out = append(out, Mark{Key: key, Number: e.Number})
		}
	}
	return out
}

// Outdated returns the keys of the marks that are newer than what is held.
func (s *Store) Outdated(marks []Mark) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for _, m := range marks {
		if m.Number > s.entries[m.Key].Number {
			out = append(out, m.Key)
		}
	}
	return out
}

// entriesOf returns the entries of the keys that are held.
func (s *Store) entriesOf(keys []string) []Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Entry
	for _, key := range keys {
		if e, ok := s.entries[key]; ok {
			out = append(out, e)
		}
	}
	return out
}

// Newer returns the scope's entries that are newer than the marks.
func (s *Store) Newer(scope Scope, marks []Mark) []Entry {
	theirs := make(map[string]uint64, len(marks))
	for _, m := range marks {
		theirs[m.Key] = m.Number
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Entry
	for key, e := range s.entries {
		if scope.has(key) && e.Number > theirs[key] {
			out = append(out, e)
		}
	}
	return out
}
