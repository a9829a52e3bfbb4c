package fleet

import "time"

// PlacementRequest is a node's request for a group of a zone to serve a stream.
type PlacementRequest struct {
	Service   string
	Model     string
	Prompt    int // tokens
	Objective time.Duration
	// Tried holds the endpoints that already tried to serve the stream.
	Tried []string
	// InBackoff holds the endpoints in backoff at the requesting node, because they didn't
	// answer it.
	InBackoff []string
	// InRetryAfter holds the endpoints that asked the requesting node to send nothing for
	// some time. They don't ask that of other nodes.
	InRetryAfter []string
	// Resumed says that another group has started the stream, so that finishing it late is
	// better than refusing it.
	Resumed bool
	// Urgency orders streams where room is short; 0 is the most urgent.
	Urgency int
	// Account is the client account, "" if the stream has none.
	Account string
	// Left is the time until the request's deadline, 0 if unknown.
	Left time.Duration
	// Answer is the expected length of the answer in tokens, 0 if unknown.
	Answer int
	// Node is the requesting node, Zone its zone.
	Node, Zone string
	// OnLoan says that the stream takes room that the asked zone lent to the requesting one.
	OnLoan bool
	// Ticket is the sequence number of the request among those of the node to its own zone;
	// 0 for a request to another zone.
	Ticket uint64
}

// Placement is a zone's response to a PlacementRequest.
type Placement struct {
	// Endpoint is the head of the chosen group, or "" if none can serve the stream in time.
	Endpoint  string
	Predicted time.Duration // until the first event
	// AlternativeZone is, if no group of the zone can serve the stream, another zone that
	// may have capacity, or "" if none is known.
	AlternativeZone string
	// Permitted says that the endpoint's limit permits the stream.
	Permitted bool
	// LimitedFor is, if only rate limits prevent the zone's groups from serving the stream,
	// the time until one permits it.
	LimitedFor time.Duration
	// RetryAfter is, if no group can serve the stream, when the caller should return, 0 if
	// unknown.
	RetryAfter time.Duration
	// Reason is why the stream was refused although room may be left, or "".
	Reason string
	// OnLoan says that AlternativeZone has lent room, which the stream takes.
	OnLoan bool
}
