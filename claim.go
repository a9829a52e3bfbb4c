package redwinghall

import (
	"encoding/json"
	"time"
)

// ClaimState is how far a non-idempotent request has come.
type ClaimState string

// The states of a claim. Only a released claim may be claimed again.
const (
	ClaimHeld     ClaimState = "held"     // its holder may send the call at any moment
	ClaimRan      ClaimState = "ran"      // the answer is recorded
	ClaimUnknown  ClaimState = "unknown"  // sent, no answer: never sent again
	ClaimReleased ClaimState = "released" // no byte left, and none ever will
)

// Claim is the row that makes a non-idempotent request run at most once.
type Claim struct {
	Token    string     `json:"token"`     // one attempt of one router
	BodyHash string     `json:"body_hash"` // of method, path and body
	State    ClaimState `json:"state"`
	Router   string     `json:"router"`
	At       time.Time  `json:"at"`
	Response   *Response    `json:"answer,omitempty"`
}

// Response is a service's recorded answer.
type Response struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type"`
	Body        []byte `json:"body"`
}

// WithState returns the claim in another state.
func (c Claim) WithState(s ClaimState) Claim {
	c.State = s
	return c
}

// WithResponse returns the claim as run, with its answer.
func (c Claim) WithResponse(a Response) Claim {
	c.State = ClaimRan
	c.Response = &a
	return c
}

// JSON returns the claim's row value.
func (c Claim) JSON() json.RawMessage {
	return RowValue(c)
}

// ClaimKey returns the row's key. The account and the service are part of it,
// so that no account can meet another's answer.
func ClaimKey(account, service, key string) string {
	return "claim/" + account + "/" + service + "/" + key
}
