// Package fleet holds the nouns of a deployment whose store, endpoints and
// operators belong to its users: configuration, endpoints, groups, orders and
// the interfaces behind which the store and the endpoints stand. It decides
// nothing and does no I/O.
package fleet
