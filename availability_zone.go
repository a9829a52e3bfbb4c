package redwinghall

// ZoneState says whether operators let an availability zone take new work.
type ZoneState string

// The states of an availability zone.
const (
	ZoneIn  ZoneState = "in"
	ZoneOut ZoneState = "out"
)

// AvailabilityZone is the operators' decision on one zone. Number rises by one
// with each decision, so that an old message never undoes a newer one.
type AvailabilityZone struct {
	ID     string    `json:"id"`
	State  ZoneState `json:"state"`
	Number uint64    `json:"number"`
}

// Validate returns everything wrong with the zone's record.
func (z AvailabilityZone) Validate() Faults {
	var f Faults
	f = f.Identifier("id", z.ID)
	if z.State != ZoneIn && z.State != ZoneOut {
		f = f.With("state", "want \"in\" or \"out\", got %q", z.State)
	}
	return f
}
