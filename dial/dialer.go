package dial

import (
	"context"
	"net"
)

// Func opens a connection. Errors before the connection is open are of type net.OpError
// with the operation "dial".
type Func func(ctx context.Context, network, address string) (net.Conn, error)
