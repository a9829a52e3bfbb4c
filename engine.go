package redwinghall

import "context"

// Role is the role of an engine in a group.
type Role string

// The roles of an engine.
const (
	RoleLeader Role = "leader"
	RoleMember Role = "member"
	RoleIdle   Role = "idle"
)

// Order assigns an engine to a group and names the model to load. Engines that
// check the fencing number refuse an order whose number is lower than that of an
// order they have accepted.
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

// Engine is the control interface of engine endpoints.
type Engine interface {
	Report(ctx context.Context, address string) (Report, error)
	Order(ctx context.Context, address string, order Order) error
}

// VMLister reads the platform's list of VMs, which may be out of date.
type VMLister interface {
	VMs(ctx context.Context) (VMs, error)
}
