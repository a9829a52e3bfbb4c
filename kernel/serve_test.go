package kernel_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/kernel"
)

// lateListener returns from Accept only some time after it was closed, as on a machine short of processor.
type lateListener struct {
	net.Listener
	accepting chan struct{}
	release   chan struct{}
}

func (l lateListener) Accept() (net.Conn, error) {
	close(l.accepting)
	<-l.release
	return nil, net.ErrClosed
}

// A planned stop closes the listener before the server, which closes it once more: that is no failure of the process.
func TestServerWhoseListenerWasClosedStopsWithoutAnError(t *testing.T) {
	listener, err := kernel.Listen(func() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") })
	require.NoError(t, err)
	late := lateListener{listener, make(chan struct{}), make(chan struct{})}
	g := kernel.NewGroup(t.Context())
	g.Serve("callers", &http.Server{ReadHeaderTimeout: time.Second}, late)
	<-late.accepting
	require.NoError(t, listener.Close())
	g.Stop()
	time.Sleep(50 * time.Millisecond)
	close(late.release)
	require.NoError(t, g.Wait())
}
