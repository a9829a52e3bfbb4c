package directory

import (
	"time"

	"redwinghall/fleet"
)

// ApplyEach applies each change.
var ApplyEach = applyEach

// PanicOnEntry makes the decoding of an endpoint's entry panic.
func (f *Follower) PanicOnEntry(key string) {
	next := f.decodeEntry
	f.decodeEntry = func(row fleet.Row, now time.Time) (Change, bool) {
		if row.Key == key {
			panic("entry of " + key)
		}
		return next(row, now)
	}
}
