package node_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"redwinghall/fleet"
	"redwinghall/node"
)

// Where the routes of a service have one priority, the old decision holds, whatever the
// accounts have.
func TestAdmissionOnlyWhereTheConfigurationCallsForIt(t *testing.T) {
	share := func(service string) []fleet.Share { return []fleet.Share{{Service: service, Weight: 1}} }
	config := &fleet.Configuration{
		Services: map[string]fleet.Service{"one": {}, "two": {}},
		Routes:   []fleet.Route{{Priority: 1, Split: share("one")}, {Priority: 1, Split: share("two")}, {Priority: 2, Split: share("two")}},
		Accounts: []fleet.Account{{Name: "a"}},
	}
	require.Empty(t, node.ServicesWithOrder(nil))
	require.Equal(t, map[string]bool{"one": false, "two": true}, node.ServicesWithOrder(config))
	config.Accounts = []fleet.Account{{Name: "a", HasPriority: true}, {Name: "b"}}
	require.Equal(t, map[string]bool{"one": false, "two": true}, node.ServicesWithOrder(config))
}
