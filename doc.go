// Package redwinghall holds the nouns and interfaces of a serving system for
// models whose replicas span several VMs.
//
// Every noun is one file: its type, its validation and its verbs. Values are
// immutable; a With method returns a changed copy. Interfaces for behaviour
// that varies (Table, Engine, VMLister, Picker, ...) are declared here too and
// implemented in the packages below. Nothing in this package does I/O, and no
// function in it reads a clock: the present time is always an argument.
package redwinghall
