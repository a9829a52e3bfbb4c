package route

import (
	"crypto/sha256"

	"redwinghall"
	"redwinghall/admit"
)

// Gateway is where a zone takes work that another zone forwards.
type Gateway struct {
	AvailabilityZone string   `json:"availability_zone"`
	Routers          []string `json:"routers"` // host:port of caller listeners
	// Models are those that have a serving group there.
	Models []string `json:"models"`
	// Services are those that have an endpoint there.
	Services []string `json:"services"`
}

// ModelView is one model as a snapshot shows it.
type ModelView struct {
	Model    redwinghall.Model
	Backends []*Backend
	Gate     *admit.Gate[*Backend]
}

// ServiceView is one plain service as a snapshot shows it.
type ServiceView struct {
	Service   redwinghall.Service
	Endpoints redwinghall.ServiceEndpoints
}

// View is an immutable snapshot of what a router routes by. A request reads
// one view through an atomic pointer and takes no lock for it.
type View struct {
	Accepted redwinghall.Accepted // generation 0: none learned yet
	Zones    map[string]redwinghall.AvailabilityZone
	Gateways []Gateway
	Models   map[string]*ModelView
	Services map[string]*ServiceView

	accounts map[[sha256.Size]byte]redwinghall.ClientAccount
}

// Account returns the client account of an API key. The key's SHA-256 is what
// is looked up, so the time taken tells nothing about the key; the account
// then compares it again in constant time.
func (v *View) Account(key string) (redwinghall.ClientAccount, bool) {
	account, ok := v.accounts[sha256.Sum256([]byte(key))]
	if !ok || !account.HasKey(key) {
		return redwinghall.ClientAccount{}, false
	}
	return account, true
}

// ZoneOut reports whether operators have taken the zone out of service.
func (v *View) ZoneOut(zone string) bool { return v.Zones[zone].State == redwinghall.ZoneOut }
