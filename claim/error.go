// Package claim makes calls that may not be repeated run at most once: a row
// in the platform's table is claimed before the call, the call is sent once,
// and its outcome is recorded.
package claim

import "redwinghall"

// Kind says what a claim error means.
type Kind string

// The kinds of claim error. With each of them the call was not sent and will
// not be sent under the attempt's token.
const (
	// Unavailable: the table does not answer, so nothing can be claimed.
	Unavailable Kind = "claims_unavailable"
	// Lost: the answer to the claim was lost and the row could not be read
	// back, or was not there. The row may still appear; the keeper releases it.
	Lost Kind = "claim_lost"
)

// Error is a failed claim.
type Error = redwinghall.OpError[Kind]
