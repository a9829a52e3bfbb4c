package redwinghall

import "time"

// Member is one VM's place in a group.
type Member struct {
	VM      string `json:"vm"`
	Address string `json:"address"`
}

// Group is a replica of a model: VMs of one fabric domain that serve together
// or not at all. The first member leads: it takes the requests.
type Group struct {
	ID               string   `json:"id"`
	AvailabilityZone string   `json:"availability_zone"`
	FabricDomain     string   `json:"fabric_domain"`
	Model            string   `json:"model"`
	Version          string   `json:"version"`
	Adapters         []string `json:"adapters,omitempty"`
	Members          []Member `json:"members"`
	// Generation rises by one each time the members are ordered anew.
	Generation uint64 `json:"generation"`
	// Leaving groups finish what they have and take no new work.
	Leaving bool `json:"leaving,omitempty"`
	// Dissolved groups are kept as a last word, so that an older copy of the
	// group arriving late from a peer is not taken for a new group.
	Dissolved bool `json:"dissolved,omitempty"`

	MaxInFlight  int `json:"max_in_flight"`
	ColdInFlight int `json:"cold_in_flight"`
	WarmAfter    int `json:"warm_after"` // completed requests until warm
}

// Leader returns the member that takes requests. A valid group has one.
func (g Group) Leader() Member { return g.Members[0] }

// WithGeneration returns the group under another generation.
func (g Group) WithGeneration(n uint64) Group {
	g.Generation = n
	return g
}

// WithLeaving returns the group marked as leaving.
func (g Group) WithLeaving() Group {
	g.Leaving = true
	return g
}

// WithDissolved returns the final record of the group, by which peers hear that
// it is gone.
func (g Group) WithDissolved() Group {
	g.Leaving = true
	g.Dissolved = true
	return g
}

// Groups is a list of groups.
type Groups []Group

// Serving reports how many groups of a model's version may take work.
func (g Groups) Serving(model, version string) int {
	n := 0
	for _, one := range g {
		if one.Model == model && one.Version == version && !one.Leaving {
			n++
		}
	}
	return n
}

// GroupHealth is a whole group's health, as one process observed it.
type GroupHealth struct {
	Group      string
	Generation uint64
	// SeenAt is when the member that was seen longest ago was last seen alive
	// under this generation with its first start id. Zero: not all were seen.
	SeenAt time.Time
	// LostAt is when a member last refused a connection: its process is gone.
	LostAt time.Time
	// Broken says that a member was found restarted, or in another group. It
	// is final for the generation: only a new order can make the group whole.
	Broken    bool
	Ready     bool
	Running   int
	Completed uint64 // by the leader since its start
}

// Healthy reports whether every member was seen alive no longer than bound ago
// under the group's present generation.
//
// Guard: a replica that lost a VM answers nothing or garbage, and a router
// that trusts an old list keeps sending work there; the caller sees a stall.
// The bound turns silence into absence, and the generation ties the sighting
// to the very members that the group now has. A member that refuses a
// connection is known to be gone, and takes the group out without the wait.
func (h GroupHealth) Healthy(g Group, now time.Time, bound time.Duration) bool {
	if h.Broken || !h.Ready || h.Generation != g.Generation || !h.SeenAt.After(h.LostAt) {
		return false
	}
	return !h.SeenAt.IsZero() && now.Sub(h.SeenAt) <= bound
}
