package fleet

// RateLimit is the request rate that an overloaded endpoint accepts from all nodes together.
type RateLimit struct {
	// Named is false if the endpoint sets no limit.
	Named bool
	// PerSecond is the limit in requests per second.
	PerSecond float64
}
