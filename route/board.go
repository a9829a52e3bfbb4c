package route

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"redwinghall"
	"redwinghall/admit"
	"redwinghall/peer"
	"redwinghall/ramp"
)

// Gateway is where a zone takes work that another zone forwards.
type Gateway struct {
	AvailabilityZone string   `json:"availability_zone"`
	Routers          []string `json:"routers"` // host:port of caller listeners
	// Models are those that have a serving group there.
	Models []string `json:"models"`
	// Services are those that have an endpoint there.
	Services []string `json:"services"`
}

// ModelView is one model as a snapshot shows it.
type ModelView struct {
	Model redwinghall.Model
	Slots []*Slot
	Gate  *admit.Gate[*Slot]
}

// ServiceView is one plain service as a snapshot shows it.
type ServiceView struct {
	Service   redwinghall.Service
	Endpoints redwinghall.ServiceEndpoints
}

// View is an immutable snapshot of what a router routes by. A request reads
// one view through an atomic pointer and takes no lock for it.
type View struct {
	Accepted redwinghall.Accepted // generation 0: none learned yet
	Zones    map[string]redwinghall.AvailabilityZone
	Gateways []Gateway
	Models   map[string]*ModelView
	Services map[string]*ServiceView

	accounts map[[sha256.Size]byte]redwinghall.ClientAccount
}

// Account returns the client account of an API key. The key's SHA-256 is what
// is looked up, so the time taken tells nothing about the key; the account
// then compares it again in constant time.
func (v *View) Account(key string) (redwinghall.ClientAccount, bool) {
	account, ok := v.accounts[sha256.Sum256([]byte(key))]
	if !ok || !account.HasKey(key) {
		return redwinghall.ClientAccount{}, false
	}
	return account, true
}

// ZoneOut reports whether operators have taken the zone out of service.
func (v *View) ZoneOut(zone string) bool { return v.Zones[zone].State == redwinghall.ZoneOut }

// Board keeps the present view of one router.
type Board struct {
	zone   string
	self   string
	bound  time.Duration
	ramp   ramp.Ramp
	picker Picker

	view atomic.Pointer[View]

	mu     sync.Mutex
	slots  map[string]*Slot
	grants map[string]time.Time // until when this router may feed cold groups
	gates  map[string]*admit.Gate[*Slot]
}

// BoardConfig says whose board it is and how it decides.
type BoardConfig struct {
	AvailabilityZone string
	Router           string
	AliveBound       time.Duration
	Ramp             ramp.Ramp
	Picker           Picker
}

// NewBoard returns a board with an empty view.
func NewBoard(c BoardConfig) *Board {
	b := &Board{
		zone: c.AvailabilityZone, self: c.Router, bound: c.AliveBound, ramp: c.Ramp, picker: c.Picker,
		slots: map[string]*Slot{}, grants: map[string]time.Time{}, gates: map[string]*admit.Gate[*Slot]{},
	}
	b.view.Store(&View{})
	return b
}

// View returns the present view.
func (b *Board) View() *View { return b.view.Load() }

// Rebuild makes a new view from the registers.
func (b *Board) Rebuild(store *peer.Store) {
	b.mu.Lock()
	defer b.mu.Unlock()
	view := &View{
		Zones:    zonesOf(store),
		Gateways: gatewaysOf(store, b.zone),
		Models:   map[string]*ModelView{},
		Services: map[string]*ServiceView{},
		accounts: map[[sha256.Size]byte]redwinghall.ClientAccount{},
	}
	if e, ok := store.Get(peer.KeyManifest); ok && !decode(e, &view.Accepted) {
		return // the view in force stays
	}
	manifest := view.Accepted.Manifest
	for _, a := range manifest.ClientAccounts {
		for _, key := range a.KeySHA256 {
			var sum [sha256.Size]byte
			if _, err := hex.Decode(sum[:], []byte(key)); err == nil {
				view.accounts[sum] = a
			}
		}
	}
	for _, m := range manifest.Models {
		view.Models[m.ID] = &ModelView{Model: m, Gate: b.gate(m.ID)}
	}
	for _, s := range manifest.Services {
		view.Services[s.ID] = &ServiceView{Service: s}
	}
	b.fillGroups(view, store)
	b.fillServices(view, store)
	b.view.Store(view)
}

func (b *Board) fillGroups(view *View, store *peer.Store) {
	used := map[string]bool{}
	for _, e := range store.List(peer.PrefixGroups(b.zone)) {
		var g redwinghall.Group
		if !decode(e, &g) || g.Dissolved {
			continue
		}
		model, ok := view.Models[g.Model]
		if !ok {
			continue
		}
		used[g.ID] = true
		model.Slots = append(model.Slots, b.slot(g))
	}
	for id := range b.slots {
		if !used[id] {
			delete(b.slots, id)
		}
	}
}

func (b *Board) slot(g redwinghall.Group) *Slot {
	s, ok := b.slots[g.ID]
	if !ok {
		s = NewSlot(g)
		b.slots[g.ID] = s
	}
	s.SetGroup(g)
	return s
}

func (b *Board) fillServices(view *View, store *peer.Store) {
	e, ok := store.Get(peer.KeyServices(b.zone))
	if !ok {
		return
	}
	var endpoints redwinghall.ServiceEndpoints
	if !decode(e, &endpoints) {
		return
	}
	for _, one := range endpoints {
		if s, ok := view.Services[one.Service]; ok {
			s.Endpoints = append(s.Endpoints, one)
		}
	}
}

// gate returns the model's gate, which outlives views because requests wait
// in it.
func (b *Board) gate(model string) *admit.Gate[*Slot] {
	g, ok := b.gates[model]
	if !ok {
		g = admit.NewGate(func() (*Slot, bool) {
			s := b.pick(model, Query{Now: time.Now(), Bound: b.bound})
			return s, s != nil
		})
		b.gates[model] = g
	}
	return g
}

func (b *Board) pick(model string, q Query) *Slot {
	m, ok := b.View().Models[model]
	if !ok {
		return nil
	}
	return b.picker.Pick(q, m.Slots)
}

// PickOther takes a unit of room in another slot than the one that failed.
func (b *Board) PickOther(model string, now time.Time, failed *Slot) *Slot {
	return b.pick(model, Query{Now: now, Bound: b.bound, Exclude: failed})
}

// PickPrefix takes a unit of room, with a hint where the prompt's beginning
// was likely served before.
func (b *Board) PickPrefix(model string, now time.Time, prefix uint64) *Slot {
	return b.pick(model, Query{Now: now, Bound: b.bound, Prefix: prefix})
}

// Usable reports how many groups of the model may take work from this router
// at now.
func (b *Board) Usable(model string, now time.Time) int {
	return b.countSlots(model, func(s *Slot) bool { return s.Limit() > 0 && s.Usable(now, b.bound) })
}

// Whole reports how many groups of the model are whole at now, also those that
// this router may not send to.
func (b *Board) Whole(model string, now time.Time) int {
	return b.countSlots(model, func(s *Slot) bool { return s.Usable(now, b.bound) })
}

func (b *Board) countSlots(model string, counts func(*Slot) bool) int {
	m, ok := b.View().Models[model]
	if !ok {
		return 0
	}
	n := 0
	for _, s := range m.Slots {
		if counts(s) {
			n++
		}
	}
	return n
}

// Refresh hands the newest health to the slots, sets their limits, and lets
// waiting requests through where room appeared. routers are the zone's live
// routers.
func (b *Board) Refresh(now time.Time, book *peer.HealthBook, routers []peer.Member) {
	ids := make([]string, len(routers))
	addresses := make(map[string]string, len(routers))
	for i, r := range routers {
		ids[i] = r.ID
		addresses[r.ID] = r.CallerAddress
	}
	for _, model := range b.View().Models {
		for _, s := range model.Slots {
			g := s.Group()
			h, ok := book.Get(g.ID)
			if !ok {
				continue
			}
			owner := Owner(g.ID, ids)
			until, granted := b.granted(g.ID, now)
			limit := b.ramp.Share(ramp.Input{
				Group: g, Completed: h.Completed, Routers: len(routers), Owner: granted,
			})
			if int(h.Completed) >= g.WarmAfter {
				until = time.Time{}
			}
			s.SetHealth(h)
			s.SetLimit(limit, until)
			if limit > 0 {
				owner = b.self
			}
			s.SetOwner(ownerAddress(owner, b.self, addresses))
		}
		model.Gate.Wake(now)
	}
}

// granted returns until when this router may feed a cold group.
func (b *Board) granted(group string, now time.Time) (time.Time, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	until, ok := b.grants[group]
	if ok && !now.Before(until) {
		delete(b.grants, group)
		return time.Time{}, false
	}
	return until, ok
}

// Granted takes note that this router may feed cold groups until a time.
func (b *Board) Granted(groups []string, until time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, g := range groups {
		b.grants[g] = until
	}
}

// WantsGrant returns the cold groups that this router owns by hashing, and so
// should ask to feed.
func (b *Board) WantsGrant(routers []string) []string {
	var out []string
	for _, model := range b.View().Models {
		for _, s := range model.Slots {
			g, h := s.Group(), s.Health()
			if !g.Leaving && h.Generation == g.Generation && int(h.Completed) < g.WarmAfter && Owner(g.ID, routers) == b.self {
				out = append(out, g.ID)
			}
		}
	}
	return out
}

func ownerAddress(owner, self string, addresses map[string]string) string {
	if owner == self {
		return ""
	}
	return addresses[owner]
}

// ColdOwner returns the caller address of a router that feeds a cold group of
// the model when this router may not send to any usable group itself; "" when
// it may, or when there is none.
func (b *Board) ColdOwner(model string, now time.Time, tried map[string]bool) string {
	m, ok := b.View().Models[model]
	if !ok {
		return ""
	}
	found := ""
	for _, s := range m.Slots {
		if !s.Usable(now, b.bound) {
			continue
		}
		if s.Limit() > 0 {
			return ""
		}
		if owner := s.Owner(); owner != "" && !tried[owner] {
			found = owner
		}
	}
	return found
}

// Owner returns which of the members owns an item: the one with the highest
// hash (rendezvous hashing), so that a member's loss moves only its own items.
func Owner(item string, members []string) string {
	best, bestScore := "", uint64(0)
	for _, m := range members {
		score := xxhash.Sum64String(item + "\x00" + m)
		if best == "" || score > bestScore || (score == bestScore && m < best) {
			best, bestScore = m, score
		}
	}
	return best
}

func zonesOf(store *peer.Store) map[string]redwinghall.AvailabilityZone {
	out := map[string]redwinghall.AvailabilityZone{}
	for _, e := range store.List(peer.KeyZoneState("")) {
		var z redwinghall.AvailabilityZone
		if decode(e, &z) {
			out[z.ID] = z
		}
	}
	return out
}

func gatewaysOf(store *peer.Store, own string) []Gateway {
	var out []Gateway
	for _, e := range store.List(peer.KeyGateway("")) {
		var g Gateway
		if decode(e, &g) && g.AvailabilityZone != own {
			out = append(out, g)
		}
	}
	return out
}

// decode reads a register's value; one that cannot be read is logged and left
// out, so that one bad record does not stop the rest.
func decode(e peer.Entry, out any) bool {
	if err := json.Unmarshal(e.Value, out); err != nil {
		klog.ErrorS(err, "register_unreadable", "key", e.Key)
		return false
	}
	return true
}
