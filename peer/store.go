// Package peer implements the exchange of state between the processes of
// redwinghall. Versioned registers and the health of groups are pushed when they
// change; a periodic exchange repairs what a push missed.
package peer

import (
	"encoding/binary"
	"sort"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// Keys of the registers. Registers below zonePrefix are exchanged only within
// their zone.
const (
	KeyManifest   = "manifest"
	zonePrefix    = "zone/"
	azPrefix      = "az/"
	gatewayPrefix = "gateway/"
)

// KeyZoneState returns the key of the state that operators set for a zone.
func KeyZoneState(zone string) string { return azPrefix + zone }

// KeyGateway returns the key of the list of a zone's routers that accept
// forwarded requests.
func KeyGateway(zone string) string { return gatewayPrefix + zone }

// KeyGroup returns the key of a group.
func KeyGroup(zone, id string) string { return PrefixGroups(zone) + id }

// PrefixGroups returns the key prefix of the groups of a zone.
func PrefixGroups(zone string) string { return zonePrefix + zone + "/group/" }

// KeyServices returns the key of a zone's service endpoints.
func KeyServices(zone string) string { return zonePrefix + zone + "/services" }

// PrefixMembers returns the key prefix of the members of a zone.
func PrefixMembers(zone string) string { return zonePrefix + zone + "/member/" }

// KeyMember returns the key of a member.
func KeyMember(zone, id string) string { return PrefixMembers(zone) + id }

// Scope is the set of registers that two processes exchange: within a zone those
// of the zone and the global ones, between zones only the global ones.
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

func (s Scope) contains(key string) bool {
	if !strings.HasPrefix(key, zonePrefix) {
		return true
	}
	return s.zone != "" && strings.HasPrefix(key, zonePrefix+s.zone+"/")
}

// Entry is a versioned register. The entry with the higher number wins.
type Entry struct {
	Key    string
	Number uint64
	Value  []byte
}

// Mark is the key of a register and the number that a process holds.
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
	version uint64 // incremented at each change
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

// Changed returns a channel that receives a value after one or more changes.
func (s *Store) Changed() <-chan struct{} { return s.changed }

// Apply stores the entries that are newer than those held and returns them.
//
// An entry with an equal or lower number is never applied. Otherwise an older
// manifest, zone state or group that arrives late from a peer, a restarted
// process or the platform would undo a newer one, and a zone that was taken out
// of service would receive requests again. Numbers are versions of table rows,
// which only increase.
func (s *Store) Apply(entries ...Entry) []Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	var applied []Entry
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
		applied = append(applied, e)
	}
	if len(applied) > 0 {
		s.version++
		select {
		case s.changed <- struct{}{}:
		default:
		}
	}
	return applied
}

// toggle adds the entry to the digest of its scope or removes it: the digest is
// the XOR of the hashes of all entries.
func (s *Store) toggle(e Entry) {
	var number [8]byte
	binary.LittleEndian.PutUint64(number[:], e.Number)
	hash := xxhash.New()
	_, _ = hash.WriteString(e.Key) // a hash never returns an error
	_, _ = hash.Write(number[:])
	sum := hash.Sum64()
	if !strings.HasPrefix(e.Key, zonePrefix) {
		s.global ^= sum
		return
	}
	zone, _, _ := strings.Cut(strings.TrimPrefix(e.Key, zonePrefix), "/")
	s.zones[zone] ^= sum
}

// Version returns a number that increases with each change of the contents.
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

// List returns the entries whose key starts with prefix, ordered by key.
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

// Digest returns a hash of the keys and numbers in the scope. Equal digests mean
// equal contents.
func (s *Store) Digest(scope Scope) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if scope.zone == "" {
		return s.global
	}
	return s.global ^ s.zones[scope.zone]
}

// Marks returns the marks of all registers in the scope.
func (s *Store) Marks(scope Scope) []Mark {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Mark
	for key, e := range s.entries {
		if scope.contains(key) {
			out = append(out, Mark{Key: key, Number: e.Number})
		}
	}
	return out
}

// Outdated returns the keys of the registers whose mark is newer than the entry
// held.
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

// entriesOf returns the entries of those keys that are present.
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

// Newer returns the entries in the scope that are newer than the marks.
func (s *Store) Newer(scope Scope, marks []Mark) []Entry {
	theirs := make(map[string]uint64, len(marks))
	for _, m := range marks {
		theirs[m.Key] = m.Number
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Entry
	for key, e := range s.entries {
		if scope.contains(key) && e.Number > theirs[key] {
			out = append(out, e)
		}
	}
	return out
}
