package endpoint

import (
	"encoding/json"
	"slices"
	"sort"

	"k8s.io/klog/v2"

	"redwinghall"
	"redwinghall/peer"
	"redwinghall/route"
)

// maxGateways is how many of a zone's routers take forwarded work.
const maxGateways = 3

// publishGroups hands the zone's groups to the peers, and the final record of
// groups that the table no longer has.
func (m *Manager) publishGroups() {
	if !m.ledger.Loaded() {
		return
	}
	zone := m.config.AvailabilityZone
	groups := m.ledger.Groups()
	var entries []peer.Entry
	for id, g := range groups {
		entries = append(entries, entryOf(peer.KeyGroup(zone, id), uint64(m.ledger.Version(id)), g))
	}
	for _, e := range m.node.Store.List(peer.PrefixGroups(zone)) {
		var g redwinghall.Group
		if json.Unmarshal(e.Value, &g) != nil || g.Dissolved {
			continue
		}
		if _, ok := groups[g.ID]; !ok {
			entries = append(entries, entryOf(e.Key, e.Number+1, g.WithDissolved()))
		}
	}
	m.node.Publish(entries...)
	m.node.Health.Retain(func(id string) bool {
		_, ok := groups[id]
		return ok
	})
}

func entryOf(key string, number uint64, value any) peer.Entry {
	data, err := json.Marshal(value)
	if err != nil {
		klog.ErrorS(err, "register_unwritable", "key", key)
	}
	return peer.Entry{Key: key, Number: number, Value: data}
}

// publishCounted publishes a register that has no row of its own when its
// value has changed. Its number begins with the fencing number, so that a new
// holder's value is newer than any of the old one.
func (m *Manager) publishCounted(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil || m.published[key] == string(data) {
		return
	}
	m.published[key] = string(data)
	m.counter++
	m.node.Publish(peer.Entry{Key: key, Number: m.lease.Fencing()<<32 | m.counter, Value: data})
}

// publishServices tells where the zone's plain services run. A VM that is
// leaving is left out, so that it receives no new work.
func (m *Manager) publishServices(vms redwinghall.VMs) {
	var out redwinghall.ServiceEndpoints
	for _, vm := range vms.Services(m.config.AvailabilityZone) {
		out = append(out, redwinghall.ServiceEndpoint{Service: vm.Service, VM: vm.ID, Address: vm.Address})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].VM < out[j].VM })
	m.publishCounted(peer.KeyServices(m.config.AvailabilityZone), out)
}

// publishGateway tells the other zones which routers take forwarded work, and
// for what.
func (m *Manager) publishGateway(vms redwinghall.VMs) {
	gateway := route.Gateway{AvailabilityZone: m.config.AvailabilityZone}
	routers := m.node.Live(peer.Router)
	sort.Slice(routers, func(i, j int) bool { return routers[i].ID < routers[j].ID })
	for _, r := range routers[:min(maxGateways, len(routers))] {
		gateway.Routers = append(gateway.Routers, r.CallerAddress)
	}
	for _, g := range m.ledger.Groups() {
		if !g.Leaving && !slices.Contains(gateway.Models, g.Model) && m.readyWord(g) {
			gateway.Models = append(gateway.Models, g.Model)
		}
	}
	slices.Sort(gateway.Models)
	for _, vm := range vms.Services(m.config.AvailabilityZone) {
		if !slices.Contains(gateway.Services, vm.Service) {
			gateway.Services = append(gateway.Services, vm.Service)
		}
	}
	slices.Sort(gateway.Services)
	m.publishCounted(peer.KeyGateway(m.config.AvailabilityZone), gateway)
}

func (m *Manager) readyWord(g redwinghall.Group) bool {
	h, ok := m.node.Health.Get(g.ID)
	return ok && h.Ready && !h.Broken && h.Generation == g.Generation
}
