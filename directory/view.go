// Package directory keeps what a node knows of its deployment: the
// configuration in force, the endpoints and the zones taken out. Readers get
// an immutable view by one atomic load.
package directory

import (
	"sort"
	"strings"

	"redwinghall/fleet"
)

// View is everything known at one moment. It is immutable.
type View struct {
	indexed *indexedConfig
	// Endpoints by id, ByService in the order of their ids.
	Endpoints map[string]*fleet.Endpoint
	ByService map[string][]*fleet.Endpoint
	ZonesOut  map[string]bool
	// heads are the endpoints that serve a model, by service and model.
	heads map[served][]*fleet.Endpoint
}

// served is a model as one service serves it.
type served struct{ service, model string }

// Heads returns the heads of the open groups of a service that serve a model.
func (v *View) Heads(service, model string) []*fleet.Endpoint {
	return v.heads[served{service, model}]
}

// indexedConfig is the configuration with its indexes, built once for each version.
type indexedConfig struct {
	config *fleet.Configuration
	byHost map[string][]*fleet.Route // the longest prefix first
	byKey  map[string]*fleet.Account
}

func newIndexedConfig(config *fleet.Configuration) *indexedConfig {
	indexed := &indexedConfig{config: config, byHost: map[string][]*fleet.Route{}, byKey: map[string]*fleet.Account{}}
	for i := range config.Routes {
		route := &config.Routes[i]
		indexed.byHost[route.Host] = append(indexed.byHost[route.Host], route)
	}
	for _, routes := range indexed.byHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	for i := range config.Accounts {
		for _, key := range config.Accounts[i].Keys {
			indexed.byKey[key] = &config.Accounts[i]
		}
	}
	return indexed
}

// Config returns the configuration, or nil before one is known.
func (v *View) Config() *fleet.Configuration {
	if v.indexed == nil {
		return nil
	}
	return v.indexed.config
}

// Route returns the route of a request: of its host's routes the one with the
// longest prefix that begins the path.
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

// AsksForKey reports whether the configuration knows client accounts at all.
func (v *View) AsksForKey() bool { return v.indexed != nil && len(v.indexed.config.Accounts) > 0 }

// Service returns a service of the configuration.
func (v *View) Service(name string) (fleet.Service, bool) {
	if v.indexed == nil {
		return fleet.Service{}, false
	}
	service, ok := v.indexed.config.Services[name]
	return service, ok
}
