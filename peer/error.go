package peer

import "redwinghall"

// Kind says what a peer error means.
type Kind string

// The kinds of peer error.
const (
	Unreachable Kind = "peer_unreachable"
)

// Error is a failed exchange with a peer.
type Error = redwinghall.OpError[Kind]
