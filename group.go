package redwinghall

import "time"

// Member is one VM of a group.
type Member struct {
	VM      string `json:"vm"`
	Address string `json:"address"`
}

// Group is a replica of a model: VMs of one fabric domain that can serve only
// together. The first member is the leader, which receives the requests.
type Group struct {
	ID               string   `json:"id"`
	AvailabilityZone string   `json:"availability_zone"`
	FabricDomain     string   `json:"fabric_domain"`
	Model            string   `json:"model"`
	Version          string   `json:"version"`
	Adapters         []string `json:"adapters,omitempty"`
	Members          []Member `json:"members"`
	// Generation increases by one each time new orders are sent to the members.
	Generation uint64 `json:"generation"`
	// A leaving group finishes its requests and accepts no new ones.
	Leaving bool `json:"leaving,omitempty"`
	// A dissolved group no longer exists. Its record is kept, so that an older
	// copy that arrives late from a peer does not bring the group back.
	Dissolved bool `json:"dissolved,omitempty"`

	MaxInFlight  int `json:"max_in_flight"`
	ColdInFlight int `json:"cold_in_flight"`
	WarmAfter    int `json:"warm_after"` // completed requests until the group is warm
}

// Leader returns the member that receives requests. It panics if the group has no
// members; a valid group has at least one.
func (g Group) Leader() Member { return g.Members[0] }

// WithGeneration returns a copy of the group with generation n.
func (g Group) WithGeneration(n uint64) Group {
	g.Generation = n
	return g
}

// WithLeaving returns a copy of the group marked as leaving.
func (g Group) WithLeaving() Group {
	g.Leaving = true
	return g
}

// WithDissolved returns a copy of the group marked as dissolved.
func (g Group) WithDissolved() Group {
	g.Leaving = true
	g.Dissolved = true
	return g
}

// Groups is a list of groups.
type Groups []Group

// Serving returns the number of groups of a model's version that may accept
// requests.
func (g Groups) Serving(model, version string) int {
	n := 0
	for _, one := range g {
		if one.Model == model && one.Version == version && !one.Leaving {
			n++
		}
	}
	return n
}

// GroupHealth is the health of a group, as observed by one process.
type GroupHealth struct {
	Group      string
	Generation uint64
	// SeenAt is when the member seen least recently was last seen alive in
	// this generation, without a restart. It is zero until all members have
	// been seen.
	SeenAt time.Time
	// LostAt is when a member last refused a connection, which shows that its
	// process has ended.
	LostAt time.Time
	// Broken is set when a member was found restarted or in another group. It
	// stays set for the generation: only new orders can make the group healthy
	// again.
	Broken    bool
	Ready     bool
	Running   int
	Completed uint64 // requests completed by the leader since its start
}

// Healthy reports whether the group is ready and every member was seen alive no
// longer than bound ago in the group's current generation.
//
// A replica that lost a VM sends nothing or garbage. If routers relied on an
// outdated list of VMs, callers would get stalled responses. A member that has
// been silent for longer than the bound is therefore treated as lost, and the
// generation ensures that the observation is of the group's current members. When
// a member refuses a connection, the group is unhealthy at once.
func (h GroupHealth) Healthy(g Group, now time.Time, bound time.Duration) bool {
	if h.Broken || !h.Ready || h.Generation != g.Generation || !h.SeenAt.After(h.LostAt) {
		return false
	}
	return !h.SeenAt.IsZero() && now.Sub(h.SeenAt) <= bound
}
