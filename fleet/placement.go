package fleet

import "time"

// PlacementRequest is a stream for which a node wants a group of a zone.
type PlacementRequest struct {
	Service   string
	Model     string
	Prompt    int // tokens
	Objective time.Duration
	// Tried holds the endpoints that have had the stream.
	Tried []string
	// InBackoff holds the endpoints that the asking node leaves alone, as they
	// didn't answer it.
	InBackoff []string
	// Resumed says that the stream was begun elsewhere and is worth finishing late.
	Resumed bool
	// Node is the asking node.
	Node string
	// Ticket numbers what a node asks in its own zone; it is 0 in another zone.
	Ticket uint64
}

// Placement is a zone's answer to a request.
type Placement struct {
	// Endpoint is the head of the chosen group, "" if none serves the stream in time.
	Endpoint  string
	Predicted time.Duration // until the first event
	// AlternativeZone is, where no group of the zone will do, another zone that may have
	// room, "" if none has as far as known.
	AlternativeZone string
	// Permitted says that the endpoint's limit allows for the stream.
	Permitted bool
	// LimitedFor is, where only limits keep the zone's groups from the stream, how long
	// they do.
	LimitedFor time.Duration
}
