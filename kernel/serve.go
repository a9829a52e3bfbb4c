package kernel

import (
	"context"
	"errors"
	"net"
	"net/http"
)

// Serve runs an HTTP server on a listener until the group stops, and then closes
// the server and its connections. Its read timeouts count the time for which the process runs.
// Closing the listener stops only the accepting of new connections.
func (g *Group) Serve(name string, server *http.Server, listener net.Listener) {
	g.Accept(name, server, listener)
	g.Go(name+".stop", func(ctx context.Context) error {
		<-ctx.Done()
		if err := server.Close(); !errors.Is(err, net.ErrClosed) {
			return err
		}
		return nil // the listener was closed before
	})
}

// Accept is like Serve, but leaves it to the caller to close the server.
func (g *Group) Accept(name string, server *http.Server, listener net.Listener) {
	protectAccepting(name, server)
	g.Go(name, func(context.Context) error {
		err := server.Serve(NewListener(listener))
		if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
			return nil
		}
		return err
	})
}

// protectAccepting protects the server's accept loop, without which it can't run, from the hooks that are
// called in it. net/http protects its other calls.
func protectAccepting(name string, server *http.Server) {
	if next := server.ConnContext; next != nil {
		server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
			_ = protectCall(name, func() { ctx = next(ctx, conn) }) // it is logged
			return ctx
		}
	}
	if next := server.ConnState; next != nil {
		server.ConnState = func(conn net.Conn, state http.ConnState) {
			if state != http.StateNew {
				next(conn, state)
				return
			}
			_ = protectCall(name, func() { next(conn, state) }) // it is logged
		}
	}
}
