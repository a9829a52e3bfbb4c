package redwinghall

import "time"

// VMState is the state of a VM in the platform's list. The list may be out of
// date, so it is never taken as proof that a VM is alive.
type VMState string

// The states of a VM in the platform's list.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is a machine with accelerators, or one that runs a plain service.
type VM struct {
	ID               string  `json:"id"`
	AvailabilityZone string  `json:"availability_zone"`
	FabricDomain     string  `json:"fabric_domain"`
	Address          string  `json:"address"` // host:port of its endpoint
	Accelerators     int     `json:"accelerators"`
	State            VMState `json:"state"`
	// Service names the plain service that the VM runs; empty for a worker.
	Service string `json:"service,omitempty"`
}

// VMs is the platform's list of VMs.
type VMs []VM

// Workers returns the live VMs of a zone that can join a group.
func (v VMs) Workers(zone string) VMs {
	var out VMs
	for _, vm := range v {
		if vm.AvailabilityZone == zone && vm.Service == "" && vm.State == VMLive {
			out = append(out, vm)
		}
	}
	return out
}

// Services returns the live VMs of a zone that run a plain service.
func (v VMs) Services(zone string) VMs {
	var out VMs
	for _, vm := range v {
		if vm.AvailabilityZone == zone && vm.Service != "" && vm.State == VMLive {
			out = append(out, vm)
		}
	}
	return out
}

// ByID returns a map of the VMs by id.
func (v VMs) ByID() map[string]VM {
	out := make(map[string]VM, len(v))
	for _, vm := range v {
		out[vm.ID] = vm
	}
	return out
}

// Report is the status that an endpoint reports on request. Its load figures may
// be out of date.
type Report struct {
	StartID    string `json:"start_id"`   // changes at every start of the process
	Group      string `json:"group"`      // of the last order accepted; empty if none
	Generation uint64 `json:"generation"` // of that order
	Model      string `json:"model"`
	Version    string `json:"version"`
	Ready      bool   `json:"ready"` // the ordered weights are loaded
	Running    int    `json:"running"`
	Completed  uint64 `json:"completed"` // requests completed since the start
}

// Sighting is a report and the time of its receipt by the receiver's clock.
type Sighting struct {
	Report Report
	At     time.Time
}
