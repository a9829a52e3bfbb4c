package claim

import (
	"encoding/json"
	"time"

	"redwinghall"
)

// Verdict is the meaning of an existing row for a request with the same key.
type Verdict int

// The verdicts.
const (
	// Proceed: the key is unused or was released; claim it at the row's version.
	Proceed Verdict = iota
	// Replay: the request ran; return the recorded response.
	Replay
	// InProgress: another attempt may send the call at any moment.
	InProgress
	// Unknown: another attempt sent the call, or may have sent it.
	Unknown
	// KeyReused: the key belongs to a different request.
	KeyReused
)

// TakeoverPolicy decides what a row means at now for a request with bodyHash, and
// with that whether a held claim may be taken over. maxAttemptTime is the longest
// time from an attempt's claim to its recorded outcome.
type TakeoverPolicy interface {
	Evaluate(now time.Time, row redwinghall.Row, bodyHash string, maxAttemptTime time.Duration) (Verdict, redwinghall.Claim)
}

// NoTakeover is the policy that routers use: a held claim is never taken over.
//
// The holder of an old claim may be paused rather than dead. If another router
// took the claim over and sent the call, the holder would send it too when it
// resumes, and a customer would be charged twice. A lease on the claim, after
// which a retry may take it over, has this problem unless the service itself
// removes duplicates. An old claim is therefore answered with outcome_unknown.
type NoTakeover struct{}

// Evaluate implements TakeoverPolicy.
func (NoTakeover) Evaluate(now time.Time, row redwinghall.Row, bodyHash string, maxAttemptTime time.Duration) (Verdict, redwinghall.Claim) {
	if row.Version == 0 {
		return Proceed, redwinghall.Claim{}
	}
	var c redwinghall.Claim
	if err := json.Unmarshal(row.Value, &c); err != nil {
		return Unknown, c // an unreadable row may belong to a call that ran
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
		if now.Sub(c.At) <= maxAttemptTime {
			return InProgress, c
		}
		return Unknown, c
	default:
		return Unknown, c
	}
}
