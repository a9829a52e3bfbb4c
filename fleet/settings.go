package fleet

import (
	"fmt"
	"time"

	"redwinghall"
)

// Settings holds the settings that a node receives at startup.
type Settings struct {
	Node  string
	Zone  string
	Zones []string
	// FirstStart is true only when the whole deployment starts for the first time.
	FirstStart bool
	// CallerAddress is the listen address for requests of callers, ReadinessAddress the one
	// for the readiness checks of the load balancer.
	CallerAddress    string
	ReadinessAddress string
	IP               string
	// InternalFirst and InternalLast are the range of ports for calls between nodes.
	InternalFirst, InternalLast int
	StoreAddress                string
	StoreReadsPerSecond         float64
	Processor                   float64 // cores of the VM that this node may use
	MemoryBytes                 int64
	FileDescriptors             int
	// ZonePrice is the price of a KiB that crosses the border of a zone, as the time by which a
	// caller has to be served sooner for it. If it is 0, zones lend each other no room, and each
	// stream without room in its own zone asks the one that looks emptiest.
	ZonePrice time.Duration
	Heartbeat time.Duration // interval at which an endpoint rewrites its entry
	Bounds    Bounds
}

// Bounds are the operators' limits on how the whole deployment behaves.
type Bounds struct {
	Contact        time.Duration // until a VM that was cut off is reachable again
	Drain          time.Duration // until a leaving endpoint gets no more requests
	Grace          time.Duration // from SIGTERM to SIGKILL
	Configuration  time.Duration // until a configuration is in force on all nodes
	Evacuation     time.Duration // until an evacuated zone gets no more requests
	Stall          time.Duration // until a group that lost a member counts as broken
	RetryRatio     float64       // retries per request, over RetryWindow
	RetryWindow    time.Duration
	RetrySlack     float64 // retries beyond the ratio, all nodes together
	ColdOvershoot  float64 // allowed factor on the rate of a cold endpoint
	ColdSlack      float64 // requests allowed beyond that rate in one second
	LoadsWindow    time.Duration
	LoadsOvershoot float64
}

// Validate returns all errors in the settings.
func (s Settings) Validate() redwinghall.Faults {
	var f redwinghall.Faults
	need := func(path, value string) {
		if value == "" {
			f = f.With(path, "is missing")
		}
	}
	need("node", s.Node)
	need("zone", s.Zone)
	need("callers", s.CallerAddress)
	need("readiness", s.ReadinessAddress)
	need("store_address", s.StoreAddress)
	if s.InternalFirst <= 0 || s.InternalLast < s.InternalFirst || s.InternalLast > 65535 {
		f = f.With("internal_ports", "want two ports in ascending order, got %d,%d", s.InternalFirst, s.InternalLast)
	}
	return append(f, s.Bounds.validate()...)
}

func (b Bounds) validate() redwinghall.Faults {
	var f redwinghall.Faults
	positive := func(path string, d time.Duration) {
		if d <= 0 {
			f = f.With("bounds."+path, "want more than 0, got %s", d)
		}
	}
	positive("drain", b.Drain)
	positive("grace", b.Grace)
	positive("configuration", b.Configuration)
	positive("retry_window", b.RetryWindow)
	if b.RetryRatio < 0 || b.RetryRatio > 1 {
		f = f.With("bounds.retry_ratio", "want 0 to 1, got %s", fmt.Sprint(b.RetryRatio))
	}
	return f
}
