package route

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"k8s.io/klog/v2"

	"redwinghall"
	"redwinghall/peer"
)

// Rebuild replaces the view by one built from the registers. If the manifest
// cannot be decoded, the current view stays.
func (s *Selector) Rebuild(store *peer.Store) {
	s.mu.Lock()
	defer s.mu.Unlock()
	view := &View{
		Zones:    zonesOf(store),
		Gateways: gatewaysOf(store, s.zone),
		Models:   map[string]*ModelView{},
		Services: map[string]*ServiceView{},
		accounts: map[[sha256.Size]byte]redwinghall.ClientAccount{},
	}
	if e, ok := store.Get(peer.KeyManifest); ok && !decode(e, &view.Accepted) {
		return // keep the current view
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
		view.Models[m.ID] = &ModelView{Model: m, Gate: s.gate(m.ID)}
	}
	for _, service := range manifest.Services {
		view.Services[service.ID] = &ServiceView{Service: service}
	}
	s.fillGroups(view, store)
	s.fillServices(view, store)
	s.view.Store(view)
}

func (s *Selector) fillGroups(view *View, store *peer.Store) {
	used := map[string]bool{}
	for _, e := range store.List(peer.PrefixGroups(s.zone)) {
		var g redwinghall.Group
		if !decode(e, &g) || g.Dissolved {
			continue
		}
		model, ok := view.Models[g.Model]
		if !ok {
			continue
		}
		used[g.ID] = true
		model.Groups = append(model.Groups, s.trackedGroup(g))
	}
	for id := range s.groups {
		if !used[id] {
			delete(s.groups, id)
		}
	}
}

// trackedGroup returns the tracked group of a record, creating it if it is new.
func (s *Selector) trackedGroup(g redwinghall.Group) *TrackedGroup {
	group, ok := s.groups[g.ID]
	if !ok {
		group = NewTrackedGroup(g)
		s.groups[g.ID] = group
	}
	group.SetGroup(g)
	return group
}

func (s *Selector) fillServices(view *View, store *peer.Store) {
	e, ok := store.Get(peer.KeyServices(s.zone))
	if !ok {
		return
	}
	var endpoints redwinghall.ServiceEndpoints
	if !decode(e, &endpoints) {
		return
	}
	for _, e := range endpoints {
		if service, ok := view.Services[e.Service]; ok {
			service.Endpoints = append(service.Endpoints, e)
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

// decode unmarshals the value of a register. An invalid value is logged and
// skipped, so that one bad record does not affect the others.
func decode(e peer.Entry, out any) bool {
	if err := json.Unmarshal(e.Value, out); err != nil {
		klog.ErrorS(err, "register_unreadable", "key", e.Key)
		return false
	}
	return true
}
