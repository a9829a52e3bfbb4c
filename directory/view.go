// Package directory keeps a node's view of its deployment: the current
// configuration, the endpoints, and the zones taken out of service. Readers get
// an immutable view with a single atomic load.
package directory

import (
	"sort"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"redwinghall/fleet"
)

// View is an immutable snapshot of the known state.
type View struct {
	indexed *indexedConfig
	// Endpoints is keyed by ID. The endpoints of each service in ByService are sorted by ID.
	Endpoints map[string]*fleet.Endpoint
	ByService map[string][]*fleet.Endpoint
	ZonesOut  map[string]bool
	// heads holds the heads of open groups, by service and model.
	heads map[modelKey][]*fleet.Endpoint
}

// modelKey identifies a model of a service.
type modelKey struct{ service, model string }

// Heads returns the heads of a service's open groups that serve a model.
func (v *View) Heads(service, model string) []*fleet.Endpoint {
	return v.heads[modelKey{service, model}]
}

// indexedConfig is a configuration with lookup indexes, built once for each version.
type indexedConfig struct {
	config *fleet.Configuration
	since  time.Time                 // when this version came into force on this node
	byHost map[string][]*fleet.Route // longest prefix first
	byKey  map[string]*fleet.Account
}

func newIndexedConfig(config *fleet.Configuration, since time.Time) *indexedConfig {
	indexed := &indexedConfig{config: config, since: since, byHost: map[string][]*fleet.Route{}, byKey: map[string]*fleet.Account{}}
	for i := range config.Routes {
		route := &config.Routes[i]
		if !strings.HasPrefix(route.Prefix, "/") {
			klog.InfoS("route_ignored", "route", route.Name, "host", route.Host, "prefix", route.Prefix, "configuration", config.Version)
			continue // a missing prefix would begin each path
		}
		indexed.byHost[route.Host] = append(indexed.byHost[route.Host], route)
	}
	for _, routes := range indexed.byHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	for i := range config.Accounts {
		for _, key := range config.Accounts[i].Keys {
			if key != "" { // else requests without a key would have that account
				indexed.byKey[key] = &config.Accounts[i]
			}
		}
	}
	return indexed
}

// Config returns the configuration, or nil if none has been read yet.
func (v *View) Config() *fleet.Configuration {
	if v.indexed == nil {
		return nil
	}
	return v.indexed.config
}

// ConfigSince returns when the configuration's version came into force on this node, the zero time if
// none has been read yet.
func (v *View) ConfigSince() time.Time {
	if v.indexed == nil {
		return time.Time{}
	}
	return v.indexed.since
}

// Route returns the route of a request: the route of its host with the longest
// prefix of the path.
func (v *View) Route(host, path string) (*fleet.Route, bool) {
	if v.indexed == nil {
		return nil, false
	}
	name, _, _ := strings.Cut(host, ":")
	for _, route := range v.indexed.byHost[name] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return nil, false
}

// Account returns the client account that holds a key.
func (v *View) Account(key string) (*fleet.Account, bool) {
	if v.indexed == nil {
		return nil, false
	}
	account, ok := v.indexed.byKey[key]
	return account, ok
}

// RequiresKey reports whether requests need an API key.
func (v *View) RequiresKey() bool {
	return v.indexed != nil && (v.indexed.config.NeedsKey || len(v.indexed.config.Accounts) > 0)
}

// Service returns a service of the configuration.
func (v *View) Service(name string) (fleet.Service, bool) {
	if v.indexed == nil {
		return fleet.Service{}, false
	}
	service, ok := v.indexed.config.Services[name]
	return service, ok
}
