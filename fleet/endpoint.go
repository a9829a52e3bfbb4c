package fleet

import (
	"slices"
	"time"
)

// EndpointState is the state that an endpoint reports.
type EndpointState string

// The states of an endpoint.
const (
	EndpointReady    EndpointState = "ready"
	EndpointDraining EndpointState = "draining"
)

// GroupState is the state of an endpoint's membership.
type GroupState string

// The states of a membership. Only a head (rank 0) can be open or closing.
const (
	Joining GroupState = "joining"
	Ready   GroupState = "ready"
	Open    GroupState = "open"
	Closing GroupState = "closing"
	Broken  GroupState = "broken"
)

// Membership is an endpoint's membership of a group. The zero value means that it belongs
// to no group.
type Membership struct {
	Group string
	Epoch int64
	Rank  int // 0 is the head, which receives the requests
	State GroupState
}

// Endpoint is one process that serves requests, as it registered itself.
type Endpoint struct {
	ID      string
	Service string
	Address string
	Zone    string
	State   EndpointState
	Slots   int
	// Cold is the time for which the endpoint remains cold, as of SeenAt.
	Cold   time.Duration
	SeenAt time.Time
	// StartedMillis is when the process started, in Unix milliseconds; 0 if unknown.
	StartedMillis int64
	// Sequence increases with each entry that a process writes.
	Sequence int64
	Domain   string   // fabric domain; empty for a plain service
	Staged   []string // models staged in the host's memory
	Models   []string // loaded models
	Member   Membership
	// Revision is the version of the entry in the store.
	Revision int64
}

// ColdAt reports whether the endpoint is still cold.
func (e *Endpoint) ColdAt(now time.Time) bool {
	return e.Cold > 0 && now.Before(e.SeenAt.Add(e.Cold))
}

// Model returns the model that the endpoint's group serves, or "" if there is none.
func (e *Endpoint) Model() string {
	if len(e.Models) == 0 {
		return ""
	}
	return e.Models[0]
}

// HasStaged reports whether a model is staged in the host's memory.
func (e *Endpoint) HasStaged(model string) bool {
	return slices.Contains(e.Staged, model)
}

// Serves reports whether the endpoint is the head of an open group.
func (e *Endpoint) Serves() bool {
	return e.State == EndpointReady && e.Member.Rank == 0 && e.Member.Group != "" && e.Member.State == Open
}

// Report is the response of an endpoint to a direct status request.
type Report struct {
	Member        Membership
	Models        []string
	Staged        []string
	Running       int
	Waiting       int
	Orders        int64 // orders that started an operation since the process started
	TimeFactor    float64
	Busy          bool
	StartedMillis int64
	Instance      string
}

// WithReport returns a copy of the endpoint, updated from a report.
func (e *Endpoint) WithReport(r Report) *Endpoint {
	next := *e
	next.Member, next.Models, next.Staged = r.Member, r.Models, r.Staged
	return &next
}

// WithState returns a copy of the endpoint in another state.
func (e *Endpoint) WithState(state EndpointState) *Endpoint {
	next := *e
	next.State = state
	return &next
}
