package daemon

import (
	"net"
	"net/http"
	"time"

	"redwinghall/clienthttp"
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
	// maxHeads is what all large heads of a listener may take, in bytes of memory.
	maxHeads = 16 << 20
)

// serve runs an HTTP server in the group. It opens the listener before it returns, so
// that a port that is already in use is reported at startup. One connection too many takes the place of the one that makes least
// progress.
func serve(g *kernel.Group, name string, server *http.Server, maxConnections int) error {
	listener, err := kernel.Listen(func() (net.Listener, error) { return net.Listen("tcp", server.Addr) })
	if err != nil {
		return err
	}
	guard := clienthttp.NewPool(maxHeads).Guard(name, maxConnections)
	handler := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		clienthttp.Sent(r.Context()) // a response that its client takes slowly isn't cut early
		handler.ServeHTTP(w, r)
	})
	guard.Protect(server)
	g.Accept(name, server, guard.Listen(listener))
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
