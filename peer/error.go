package peer

import "redwinghall"

// Kind classifies a peer error.
type Kind string

// Kinds of peer errors.
const (
	Unreachable Kind = "peer_unreachable"
)

// Error is a failed exchange with a peer.
type Error = redwinghall.OpError[Kind]
