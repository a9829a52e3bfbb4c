// Package redwinghall defines the domain types and interfaces of a serving
// system for models whose replicas span several VMs.
//
// Each domain type has a file of its own, with its validation and methods.
// Values are immutable; a With method returns a modified copy. The interfaces
// Table, Engine and VMLister are also declared here and implemented in other
// packages. Nothing in this package does I/O or reads a clock: the current time
// is always an argument.
package redwinghall
