package redwinghall

// ZoneState says whether operators allow new work in an availability zone.
type ZoneState string

// The states of an availability zone.
const (
	ZoneIn  ZoneState = "in"
	ZoneOut ZoneState = "out"
)

// AvailabilityZone is the state that operators set for one zone. Number
// increases by one with each change, so that a delayed message never overwrites
// a newer state.
type AvailabilityZone struct {
	ID     string    `json:"id"`
	State  ZoneState `json:"state"`
	Number uint64    `json:"number"`
}

// Validate returns all errors of the zone's record.
func (z AvailabilityZone) Validate() Faults {
	var f Faults
	f = f.Identifier("id", z.ID)
	if z.State != ZoneIn && z.State != ZoneOut {
		f = f.With("state", "want \"in\" or \"out\", got %q", z.State)
	}
	return f
}
