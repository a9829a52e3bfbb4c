package redwinghall

import "context"

// Role is what an engine is told to do in a group.
type Role string

// The roles of an engine.
const (
	RoleLeader Role = "leader"
	RoleMember Role = "member"
	RoleIdle   Role = "idle"
)

// Order tells an engine which group it belongs to and what to load. Engines
// that check fencing refuse an order whose number is lower than one obeyed.
type Order struct {
	Fencing    uint64   `json:"fencing"`
	Group      string   `json:"group"`
	Generation uint64   `json:"generation"`
	Role       Role     `json:"role"`
	Members    []Member `json:"members"`
	Model      string   `json:"model"`
	Version    string   `json:"version"`
	Adapters   []string `json:"adapters,omitempty"`
}

// Engine is the control side of one engine endpoint.
type Engine interface {
	Report(ctx context.Context, address string) (Report, error)
	Order(ctx context.Context, address string, order Order) error
}

// VMLister reads the platform's list of VMs, which lags behind reality.
type VMLister interface {
	VMs(ctx context.Context) (VMs, error)
}
