package redwinghall

import (
	"encoding/json"
	"time"
)

// ClaimState is the progress of a non-idempotent request.
type ClaimState string

// The states of a claim. Only a released claim may be claimed again.
const (
	ClaimHeld     ClaimState = "held"     // the holder may send the call at any time
	ClaimRan      ClaimState = "ran"      // the response is recorded
	ClaimUnknown  ClaimState = "unknown"  // sent without a response: never sent again
	ClaimReleased ClaimState = "released" // nothing was sent, and nothing will be
)

// Claim is the value of the table row that ensures that a non-idempotent request
// runs at most once.
type Claim struct {
	Token    string     `json:"token"`     // identifies one attempt of one router
	BodyHash string     `json:"body_hash"` // hash of method, path and body
	State    ClaimState `json:"state"`
	Router   string     `json:"router"`
	At       time.Time  `json:"at"`
	Response *Response  `json:"answer,omitempty"`
}

// Response is the recorded response of a service.
type Response struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type"`
	Body        []byte `json:"body"`
}

// WithState returns a copy of the claim in state s.
func (c Claim) WithState(s ClaimState) Claim {
	c.State = s
	return c
}

// WithResponse returns a copy of the claim in state ClaimRan with the response.
func (c Claim) WithResponse(r Response) Claim {
	c.State = ClaimRan
	c.Response = &r
	return c
}

// JSON returns the claim encoded as a row value.
func (c Claim) JSON() json.RawMessage {
	return RowValue(c)
}

// ClaimKey returns the key of a claim's row. It includes the account and the
// service, so that no account can receive another account's response.
func ClaimKey(account, service, key string) string {
	return "claim/" + account + "/" + service + "/" + key
}
