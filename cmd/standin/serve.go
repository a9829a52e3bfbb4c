package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"redwinghall/kernel"
)

const readHeaderTimeout = 5 * time.Second

// serve runs a handler at address until the group stops.
func serve(g *kernel.Group, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	g.Go("standin.serve", func(context.Context) error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	g.Go("standin.stop", func(ctx context.Context) error {
		<-ctx.Done()
		return server.Close()
	})
	return nil
}
