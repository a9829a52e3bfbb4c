// Package claim ensures that non-idempotent calls run at most once: a router
// claims a row in the platform's table before the call, sends the call once, and
// records its outcome.
package claim

import "redwinghall"

// Kind classifies claim errors.
type Kind string

// The kinds of claim error. Each means that the call was not sent and will not
// be sent under the attempt's token.
const (
	// Unavailable: the table does not respond, so nothing can be claimed.
	Unavailable Kind = "claims_unavailable"
	// Lost: the response to the claim was lost, and the row could not be read
	// back or did not exist. It may still be written; the keeper releases it.
	Lost Kind = "claim_lost"
)

// Error is a failed claim.
type Error = redwinghall.OpError[Kind]
