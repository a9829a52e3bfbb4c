package rwhtest

import (
	"time"

	"redwinghall/standin/engine"
)

// Options say what to start.
type Options struct {
	Zones          []string
	RoutersPerZone int
	VMsPerZone     int
	VMsPerGroup    int
	DomainSize     int // VMs in one fabric domain; 0: all of a zone
	Replicas       int // in each zone
	Engine         engine.Config
	// AliveBound and LostAfter default to times that no busy machine exceeds.
	AliveBound time.Duration
	LostAfter  time.Duration
	// ServiceTimeout is the manifest's timeout of the service.
	ServiceTimeout time.Duration
	StallTimeout   time.Duration
	MaxInFlight    int
	// PlatformProxy, when set, stands between every process and the platform.
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
	o.AliveBound = orLong(o.AliveBound)
	o.LostAfter = orLong(o.LostAfter)
	o.ServiceTimeout = orLong(o.ServiceTimeout)
	o.StallTimeout = orLong(o.StallTimeout)
	if o.MaxInFlight == 0 {
		o.MaxInFlight = 256
	}
	return o
}

// longTime is more than anything takes in a test that does not ask for less.
const longTime = 20 * time.Second

func orLong(d time.Duration) time.Duration {
	if d == 0 {
		return longTime
	}
	return d
}
