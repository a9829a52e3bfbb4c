package fleet

// Position says how far the store has been read. Versions alone don't: when the store comes
// back from an older copy of itself, its era rises, and versions are given out again.
type Position struct {
	Era     int64
	Version int64
}

// Before reports whether a position is older than another one.
func (p Position) Before(other Position) bool {
	if p.Era != other.Era {
		return p.Era < other.Era
	}
	return p.Version < other.Version
}

// Later returns the newer of two positions.
func (p Position) Later(other Position) Position {
	if p.Before(other) {
		return other
	}
	return p
}

// IsZero reports whether nothing was read.
func (p Position) IsZero() bool { return p == Position{} }
