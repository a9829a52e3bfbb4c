package redwinghall

import "fmt"

// Limits of a model's entry in the manifest.
const (
	maxVMsPerReplica = 64
	maxReplicas      = 10000
	maxInFlight      = 4096
)

// Model says which version of a model is served, where, and for whom.
type Model struct {
	ID       string   `json:"id"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
	// VMsPerReplica is the number of VMs of one fabric domain that serve one
	// replica of the model.
	VMsPerReplica     int `json:"vms_per_replica"`
	AcceleratorsPerVM int `json:"accelerators_per_vm"`
	// Replicas is the number of groups wanted in each availability zone.
	Replicas       map[string]int `json:"replicas"`
	ClientAccounts []string       `json:"client_accounts"`
	// MaxInFlight is the number of concurrent requests that a warm group
	// handles. Until a group has completed WarmAfter requests it is cold and
	// handles ColdInFlight.
	MaxInFlight  int `json:"max_in_flight"`
	ColdInFlight int `json:"cold_in_flight"`
	WarmAfter    int `json:"warm_after"`
}

// WithDefaults returns the model with empty fields set to their defaults.
func (m Model) WithDefaults() Model {
	if m.Adapters == nil {
		m.Adapters = []string{}
	}
	if m.AcceleratorsPerVM == 0 {
		m.AcceleratorsPerVM = 8
	}
	if m.MaxInFlight == 0 {
		m.MaxInFlight = 32
	}
	if m.ColdInFlight == 0 {
		m.ColdInFlight = 1
	}
	if m.WarmAfter == 0 {
		m.WarmAfter = 20
	}
	return m
}

// Validate returns all errors of the model; path is its position in the manifest.
// accounts holds the ids of the client accounts that the manifest defines.
func (m Model) Validate(path string, accounts map[string]bool) Faults {
	var f Faults
	f = f.Identifier(path+".id", m.ID)
	f = f.Identifier(path+".version", m.Version)
	for i, a := range m.Adapters {
		f = f.Identifier(fmt.Sprintf("%s.adapters[%d]", path, i), a)
	}
	f = f.Between(path+".vms_per_replica", m.VMsPerReplica, 1, maxVMsPerReplica)
	f = f.Between(path+".accelerators_per_vm", m.AcceleratorsPerVM, 1, 64)
	f = f.Between(path+".max_in_flight", m.MaxInFlight, 1, maxInFlight)
	f = f.Between(path+".cold_in_flight", m.ColdInFlight, 1, max(1, m.MaxInFlight))
	f = f.Between(path+".warm_after", m.WarmAfter, 1, 100000)
	if len(m.Replicas) == 0 {
		f = f.With(path+".replicas", "want at least one availability zone")
	}
	for zone, n := range m.Replicas {
		f = f.Identifier(path+".replicas", zone)
		f = f.Between(path+".replicas."+zone, n, 0, maxReplicas)
	}
	return append(f, validateAccountRefs(path+".client_accounts", m.ClientAccounts, accounts)...)
}

// Allows reports whether a client account may use the model.
func (m Model) Allows(account string) bool { return contains(m.ClientAccounts, account) }

func contains(list []string, want string) bool {
	for _, one := range list {
		if one == want {
			return true
		}
	}
	return false
}

func validateAccountRefs(path string, refs []string, known map[string]bool) Faults {
	var f Faults
	if len(refs) == 0 {
		f = f.With(path, "want at least one client account")
	}
	for i, id := range refs {
		if !known[id] {
			f = f.With(fmt.Sprintf("%s[%d]", path, i), "client account %q is not defined in client_accounts", id)
		}
	}
	return f
}
