package quarantine

import "time"

// exchangeInterval is the least time between two exchanges of whole tables with another node.
const exchangeInterval = time.Second

// Exchanges decides when a node exchanges whole tables with another one. The zero value is a node that hasn't yet.
type Exchanges struct {
	at          time.Time
	own, theirs uint64 // digests after the last exchange
}

// IsDue reports whether the tables are to be exchanged, given their digests.
//
// Full tables may differ for good in what they dropped. So tables that were the same after the last exchange aren't
// exchanged again.
func (e Exchanges) IsDue(now time.Time, own, theirs uint64) bool {
	return own != theirs && now.Sub(e.at) >= exchangeInterval && (own != e.own || theirs != e.theirs)
}

// With returns the exchanges with one more, after which the digests were these.
func (e Exchanges) With(now time.Time, own, theirs uint64) Exchanges {
	return Exchanges{at: now, own: own, theirs: theirs}
}
