// Package neighbor implements the calls between the nodes of a deployment. They pass on
// rows that a node read from the store, the loads of the endpoints, and reports of
// endpoints that make little or no progress.
package neighbor
