package route

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"k8s.io/klog/v2"

	"redwinghall"
	"redwinghall/peer"
)

// Rebuild makes a new view from the registers.
func (b *Selector) Rebuild(store *peer.Store) {
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

func (b *Selector) fillGroups(view *View, store *peer.Store) {
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
		model.Backends = append(model.Backends, b.slot(g))
	}
	for id := range b.slots {
		if !used[id] {
			delete(b.slots, id)
		}
	}
}

func (b *Selector) slot(g redwinghall.Group) *Backend {
	s, ok := b.slots[g.ID]
	if !ok {
		s = NewBackend(g)
		b.slots[g.ID] = s
	}
	s.SetGroup(g)
	return s
}

func (b *Selector) fillServices(view *View, store *peer.Store) {
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
