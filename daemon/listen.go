package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"golang.org/x/net/netutil"

	"redwinghall/kernel"
)

// Limits of the listener for peers.
const (
	peerReadHeaderTimeout = 2 * time.Second
	peerReadTimeout       = 10 * time.Second
	peerIdleTimeout       = 60 * time.Second
	peerMaxHeaderBytes    = 8 << 10
	peerMaxConnections    = 1000
	peerMaxBody           = 16 << 20
)

// serve runs an HTTP server in the group. It opens the listener before it returns, so
// that a port that is already in use is reported at startup.
func serve(g *kernel.Group, name string, server *http.Server, maxConnections int) error {
	listener, err := net.Listen("tcp", server.Addr)
	if err != nil {
		return err
	}
	limited := kernel.NewListener(netutil.LimitListener(listener, maxConnections))
	g.Go(name, func(context.Context) error {
		if err := server.Serve(limited); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	return nil
}

func peerServer(address string, handler http.Handler) *http.Server {
	return &http.Server{
		Addr: address, Handler: http.MaxBytesHandler(handler, peerMaxBody),
		ReadHeaderTimeout: peerReadHeaderTimeout, ReadTimeout: peerReadTimeout,
		WriteTimeout: peerReadTimeout, IdleTimeout: peerIdleTimeout,
		MaxHeaderBytes: peerMaxHeaderBytes,
	}
}
