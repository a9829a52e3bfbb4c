package redwinghall

import "time"

// Service is a plain service beside the model engines that calls are routed to.
type Service struct {
	ID             string   `json:"id"`
	ClientAccounts []string `json:"client_accounts"`
	// Repeatable services bear a call more than once. Calls to the others
	// that change something carry an Idempotency-Key and run at most once.
	Repeatable bool `json:"repeatable"`
	// Timeout bounds how long a caller waits for one call.
	Timeout Duration `json:"timeout"`
}

// WithDefaults returns the service with its empty fields filled.
func (s Service) WithDefaults() Service {
	if s.Timeout == 0 {
		s.Timeout = Duration(5 * time.Second)
	}
	return s
}

// Validate returns everything wrong with the service at path.
func (s Service) Validate(path string, accounts map[string]bool) Faults {
	var f Faults
	f = f.Identifier(path+".id", s.ID)
	f = f.DurationBetween(path+".timeout", s.Timeout, 10*time.Millisecond, 10*time.Minute)
	return append(f, validateAccountRefs(path+".client_accounts", s.ClientAccounts, accounts)...)
}

// Allows reports whether a client account may call the service.
func (s Service) Allows(account string) bool { return contains(s.ClientAccounts, account) }

// ServiceEndpoints lists where a zone's plain services run.
type ServiceEndpoints []ServiceEndpoint

// ServiceEndpoint is one VM that runs a plain service.
type ServiceEndpoint struct {
	Service string `json:"service"`
	VM      string `json:"vm"`
	Address string `json:"address"`
}
