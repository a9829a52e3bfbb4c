// Package dial tells calls that were never sent from those that may have been.
package dial

import (
	"errors"
	"net"
)

// Failed reports whether a call ended before its connection was open, so that
// nothing of it was sent.
func Failed(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}
