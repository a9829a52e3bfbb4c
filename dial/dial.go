// Package dial distinguishes requests that were never sent from those that may
// have been.
package dial

import (
	"errors"
	"net"
)

// Failed reports whether err means that the connection could not be opened, so
// that nothing of the request was sent.
func Failed(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}
