package route

import (
	"crypto/sha256"

	"redwinghall"
	"redwinghall/admit"
)

// Gateway describes where a zone accepts requests that other zones forward.
type Gateway struct {
	AvailabilityZone string   `json:"availability_zone"`
	Routers          []string `json:"routers"` // host:port of their caller listeners
	// Models lists the models with a serving group in the zone.
	Models []string `json:"models"`
	// Services lists the services with an endpoint in the zone.
	Services []string `json:"services"`
}

// ModelView is one model and its groups in a view.
type ModelView struct {
	Model  redwinghall.Model
	Groups []*TrackedGroup
	Gate   *admit.Gate[*TrackedGroup]
}

// ServiceView is one plain service and its endpoints in a view.
type ServiceView struct {
	Service   redwinghall.Service
	Endpoints redwinghall.ServiceEndpoints
}

// View is an immutable snapshot of a router's routing data. A request loads one
// view through an atomic pointer, without a lock.
type View struct {
	Accepted redwinghall.Accepted // generation 0: no manifest received yet
	Zones    map[string]redwinghall.AvailabilityZone
	Gateways []Gateway
	Models   map[string]*ModelView
	Services map[string]*ServiceView

	accounts map[[sha256.Size]byte]redwinghall.ClientAccount
}

// Account returns the client account of an API key. The lookup is by the SHA-256
// of the key, so its timing reveals nothing about the key. The account then
// compares the key in constant time.
func (v *View) Account(key string) (redwinghall.ClientAccount, bool) {
	account, ok := v.accounts[sha256.Sum256([]byte(key))]
	if !ok || !account.HasKey(key) {
		return redwinghall.ClientAccount{}, false
	}
	return account, true
}

// ZoneOut reports whether operators have taken the zone out of service.
func (v *View) ZoneOut(zone string) bool { return v.Zones[zone].State == redwinghall.ZoneOut }
