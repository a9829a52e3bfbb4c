package fleet

import "time"

// PlacementRequest is a stream that a zone is asked to take.
type PlacementRequest struct {
	Service   string
	Model     string
	Prompt    int // tokens
	Objective time.Duration
	// Tried holds the endpoints that have had the stream.
	Tried []string
	// GoesOn says that the stream was begun elsewhere and is worth finishing late.
	GoesOn bool
}

// Placement is a zone's answer to a request.
type Placement struct {
	// Endpoint is the head of the chosen group, "" if none serves the stream in time.
	Endpoint  string
	Predicted time.Duration // until the first event
}
