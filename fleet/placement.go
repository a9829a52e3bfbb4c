package fleet

import "time"

// Wish is a stream that a zone is asked to take.
type Wish struct {
	Service   string
	Model     string
	Prompt    int // tokens
	Objective time.Duration
	// Tried holds the endpoints that have had the stream.
	Tried []string
	// GoesOn says that the stream was begun elsewhere and is worth finishing late.
	GoesOn bool
}

// Offer is a zone's answer to a wish.
type Offer struct {
	// Endpoint is the head of the chosen group, "" if none serves the stream in time.
	Endpoint  string
	Predicted time.Duration // until the first event
}
