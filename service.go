package redwinghall

import "time"

// Service is a plain service: one that is not a model engine.
type Service struct {
	ID             string   `json:"id"`
	ClientAccounts []string `json:"client_accounts"`
	// Repeatable means that calls may be executed more than once. For other
	// services, calls with unsafe methods must have an Idempotency-Key and
	// run at most once.
	Repeatable bool `json:"repeatable"`
	// Timeout is the longest time that a caller waits for one call.
	Timeout Duration `json:"timeout"`
}

// WithDefaults returns the service with empty fields set to their defaults.
func (s Service) WithDefaults() Service {
	if s.Timeout == 0 {
		s.Timeout = Duration(5 * time.Second)
	}
	return s
}

// Validate returns all errors of the service; path is its position in the
// manifest, and accounts holds the ids of the client accounts that it defines.
func (s Service) Validate(path string, accounts map[string]bool) Faults {
	var f Faults
	f = f.Identifier(path+".id", s.ID)
	f = f.DurationBetween(path+".timeout", s.Timeout, 10*time.Millisecond, 10*time.Minute)
	return append(f, validateAccountRefs(path+".client_accounts", s.ClientAccounts, accounts)...)
}

// Allows reports whether a client account may call the service.
func (s Service) Allows(account string) bool { return contains(s.ClientAccounts, account) }

// ServiceEndpoints lists the endpoints of a zone's plain services.
type ServiceEndpoints []ServiceEndpoint

// ServiceEndpoint is one VM that runs a plain service.
type ServiceEndpoint struct {
	Service string `json:"service"`
	VM      string `json:"vm"`
	Address string `json:"address"`
}
