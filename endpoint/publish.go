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

// maxGateways limits how many of a zone's routers accept forwarded requests.
const maxGateways = 3

// publishGroups publishes the zone's groups to the peers. For groups that are no
// longer in the table, it publishes a final record that marks them as dissolved.
func (m *Manager) publishGroups() {
	if !m.groups.Loaded() {
		return
	}
	zone := m.config.AvailabilityZone
	groups := m.groups.Groups()
	var entries []peer.Entry
	for id, g := range groups {
		entries = append(entries, entryOf(peer.KeyGroup(zone, id), uint64(m.groups.Version(id)), g))
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
		klog.ErrorS(err, "entry_marshal_failed", "key", key)
	}
	return peer.Entry{Key: key, Number: number, Value: data}
}

// publishValue publishes an entry that has no row in the table, if its value has
// changed. The upper bits of its number are the fencing number, so that a new
// holder's value counts as newer than any of the previous holder.
func (m *Manager) publishValue(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil || m.published[key] == string(data) {
		return
	}
	m.published[key] = string(data)
	m.entryCounter++
	m.node.Publish(peer.Entry{Key: key, Number: m.lease.Fencing()<<32 | m.entryCounter, Value: data})
}

// publishServices publishes the endpoints of the zone's plain services. A VM that
// is leaving is omitted, so that it receives no new requests.
func (m *Manager) publishServices(vms redwinghall.VMs) {
	var out redwinghall.ServiceEndpoints
	for _, vm := range vms.Services(m.config.AvailabilityZone) {
		out = append(out, redwinghall.ServiceEndpoint{Service: vm.Service, VM: vm.ID, Address: vm.Address})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].VM < out[j].VM })
	m.publishValue(peer.KeyServices(m.config.AvailabilityZone), out)
}

// publishGateway publishes to the other zones which routers accept forwarded
// requests, and for which models and services.
func (m *Manager) publishGateway(vms redwinghall.VMs) {
	gateway := route.Gateway{AvailabilityZone: m.config.AvailabilityZone}
	routers := m.node.Live(peer.Router)
	sort.Slice(routers, func(i, j int) bool { return routers[i].ID < routers[j].ID })
	for _, r := range routers[:min(maxGateways, len(routers))] {
		gateway.Routers = append(gateway.Routers, r.CallerAddress)
	}
	for _, g := range m.groups.Groups() {
		if !g.Leaving && !slices.Contains(gateway.Models, g.Model) && m.isReady(g) {
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
	m.publishValue(peer.KeyGateway(m.config.AvailabilityZone), gateway)
}

func (m *Manager) isReady(g redwinghall.Group) bool {
	h, ok := m.node.Health.Get(g.ID)
	return ok && h.Ready && !h.Broken && h.Generation == g.Generation
}
