package fleet

// RateLimit is what an endpoint in need takes from all nodes together.
type RateLimit struct {
	// Named is false where an endpoint names no limit.
	Named bool
	// PerSecond is how many requests a second it takes.
	PerSecond float64
}
