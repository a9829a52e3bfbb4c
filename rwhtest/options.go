package rwhtest

import (
	"time"

	"redwinghall/standin/engine"
)

// Options describe the deployment to start.
type Options struct {
	Zones          []string
	RoutersPerZone int
	VMsPerZone     int
	VMsPerGroup    int
	DomainSize     int // VMs in one fabric domain; 0: all VMs of a zone
	Replicas       int // in each zone
	Engine         engine.Config
	// AliveBound and LostAfter default to times that are not exceeded on a busy machine.
	AliveBound time.Duration
	LostAfter  time.Duration
	// ServiceTimeout is the manifest's timeout of the service.
	ServiceTimeout time.Duration
	StallTimeout   time.Duration
	MaxInFlight    int
	// PlatformProxy, when set, receives the address of the platform and returns the one
	// through which routers and controllers reach it.
	PlatformProxy func(platformAddress string) string
}

func (o Options) withDefaults() Options {
	if len(o.Zones) == 0 {
		o.Zones = []string{"tartu"}
	}
	o.RoutersPerZone = max(1, o.RoutersPerZone)
	o.VMsPerGroup = max(1, o.VMsPerGroup)
	o.Replicas = max(1, o.Replicas)
	o.VMsPerZone = max(o.VMsPerZone, o.VMsPerGroup*o.Replicas)
	if o.DomainSize == 0 {
		o.DomainSize = o.VMsPerZone
	}
	o.AliveBound = withDefaultTime(o.AliveBound)
	o.LostAfter = withDefaultTime(o.LostAfter)
	o.ServiceTimeout = withDefaultTime(o.ServiceTimeout)
	o.StallTimeout = withDefaultTime(o.StallTimeout)
	if o.MaxInFlight == 0 {
		o.MaxInFlight = 256
	}
	return o
}

// defaultTime is the default of timeouts. It is longer than any operation takes in a
// test that does not set a shorter one.
const defaultTime = 20 * time.Second

func withDefaultTime(d time.Duration) time.Duration {
	if d == 0 {
		return defaultTime
	}
	return d
}
