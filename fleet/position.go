package fleet

// Position is a position in the history of the store. A version alone is ambiguous: when
// the store is restored from an older copy, its era increases and versions are reused.
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

// IsZero reports whether the position is unset, because nothing was read.
func (p Position) IsZero() bool { return p == Position{} }
