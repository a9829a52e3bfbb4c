package gateway

// Identity returns what a request and its caller's repeats have in common.
func Identity(r *Request) string { return r.identity() }
