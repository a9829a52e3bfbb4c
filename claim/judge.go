package claim

import (
	"encoding/json"
	"time"

	"redwinghall"
)

// Verdict is what an existing row means for a request with its key.
type Verdict int

// The verdicts.
const (
	// Proceed: the key is free, or was released; claim it at the row's version.
	Proceed Verdict = iota
	// Replay: the request ran; give the recorded answer.
	Replay
	// InProgress: another attempt may send the call at any moment.
	InProgress
	// Unknown: another attempt sent the call or stopped while it could.
	Unknown
	// KeyReused: the key belongs to a different request.
	KeyReused
)

// TakeoverPolicy decides what a row means at now for a request with bodyHash. bound is
// the longest time that an attempt takes from its claim to its outcome.
type TakeoverPolicy interface {
	Evaluate(now time.Time, row redwinghall.Row, bodyHash string, bound time.Duration) (Verdict, redwinghall.Claim)
}

// NoTakeover is the judge of the product: a held claim is never taken over.
//
// Guard: the holder of an old claim may be frozen, not dead. If another router
// took the claim over and sent the call, the holder would send it too when it
// thaws, and a customer would be charged twice. A lease on the claim, which
// lets a retry take it over, has this fault unless the service itself removes
// duplicates. An old claim is answered with outcome_unknown instead.
type NoTakeover struct{}

// Evaluate implements TakeoverPolicy.
func (NoTakeover) Evaluate(now time.Time, row redwinghall.Row, bodyHash string, bound time.Duration) (Verdict, redwinghall.Claim) {
	if row.Version == 0 {
		return Proceed, redwinghall.Claim{}
	}
	var c redwinghall.Claim
	if err := json.Unmarshal(row.Value, &c); err != nil {
		return Unknown, c // a row that cannot be read may stand for a call that ran
	}
	if c.BodyHash != bodyHash {
		return KeyReused, c
	}
	switch c.State {
	case redwinghall.ClaimReleased:
		return Proceed, c
	case redwinghall.ClaimRan:
		return Replay, c
	case redwinghall.ClaimHeld:
		if now.Sub(c.At) <= bound {
			return InProgress, c
		}
		return Unknown, c
	default:
		return Unknown, c
	}
}
