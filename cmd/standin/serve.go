package main

import (
	"net"
	"net/http"
	"time"

	"redwinghall/kernel"
)

const readHeaderTimeout = 5 * time.Second

// serve serves a handler at address until the group stops.
func serve(g *kernel.Group, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	g.Serve("standin.serve", &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}, listener)
	return nil
}
