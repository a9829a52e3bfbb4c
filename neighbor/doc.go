// Package neighbor speaks to the other nodes of a deployment: it hands on what
// a node read from the store, how much it has at each endpoint, and which
// endpoints make little progress.
package neighbor
