package kernel

import (
	"context"
	"errors"
	"net"
	"net/http"
)

// Serve runs an HTTP server on a listener until the group stops, and then closes
// the server and its connections. Its read timeouts count the time for which the process runs.
func (g *Group) Serve(name string, server *http.Server, listener net.Listener) {
	g.Go(name, func(context.Context) error {
		if err := server.Serve(NewListener(listener)); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	g.Go(name+".stop", func(ctx context.Context) error {
		<-ctx.Done()
		return server.Close()
	})
}
