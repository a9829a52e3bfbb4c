package fleet

import (
	"fmt"
	"time"

	"redwinghall"
)

// Settings are what a node learns when it starts.
type Settings struct {
	Node  string
	Zone  string
	Zones []string
	// FirstStart is true only when the whole deployment starts for the first time.
	FirstStart bool
	// CallerAddress is the address that callers reach, Readiness the one that the
	// balancer asks.
	CallerAddress    string
	ReadinessAddress string
	IP               string
	// InternalFirst and InternalLast bound the ports free for use between nodes.
	InternalFirst, InternalLast int
	StoreAddress                string
	StoreReadsPerSecond         float64
	Processor                   float64 // cores of the VM that this node may use
	MemoryBytes                 int64
	FileDescriptors             int
	Heartbeat                   time.Duration // of an endpoint's entry
	Bounds                      Bounds
}

// Bounds are the operators' limits on how the whole deployment behaves.
type Bounds struct {
	Contact        time.Duration // until a machine counts as in touch again
	Drain          time.Duration // until a leaving endpoint gets nothing more
	Grace          time.Duration // from SIGTERM to SIGKILL
	Configuration  time.Duration // until a configuration is in force everywhere
	Evacuation     time.Duration // until a zone taken out gets nothing more
	Stall          time.Duration // until a group that lost a member breaks
	RetryRatio     float64       // retries for each request, over RetryWindow
	RetryWindow    time.Duration
	RetrySlack     float64 // retries beyond the ratio, all nodes together
	ColdOvershoot  float64 // factor on the rate of a cold endpoint
	ColdSlack      float64 // requests beyond it in one second
	LoadsWindow    time.Duration
	LoadsOvershoot float64
}

// Validate returns everything wrong with the settings.
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
		f = f.With("internal_ports", "want two ports in rising order, got %d,%d", s.InternalFirst, s.InternalLast)
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
