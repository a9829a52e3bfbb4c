// Package fleet defines the types of a deployment whose store, endpoints and operators
// belong to its users: configuration, endpoints, groups, orders, and the interfaces of the
// store and the endpoints. It contains no decision logic and does no I/O.
package fleet
