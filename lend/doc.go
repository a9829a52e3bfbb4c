// Package lend decides when a stream leaves its availability zone, and how many do.
// Zones that are short of room for a model borrow some of other zones for a short time.
//
// It answers the load in which demand differs between zones and moves within seconds. If
// each stream chose by itself, all zones that are short would send all that they lack to
// the zone that looked emptiest a quarter of a second ago, and fill it for its own callers.
//
// It does no I/O and doesn't read the clock.
package lend
