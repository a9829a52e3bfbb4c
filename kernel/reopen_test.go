package kernel_test

import (
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/kernel"
)

// failingListener fails to accept while failures are left.
type failingListener struct {
	net.Listener
	failure  error
	failures atomic.Int32
}

// Accept implements net.Listener.
func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: l.failure}
	}
	return l.Listener.Accept()
}

func listen(t *testing.T, address string) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", address)
	require.NoError(t, err)
	return l
}

// serveHello serves on a listener opened by a function, and returns its group and a URL.
func serveHello(t *testing.T, open func() (net.Listener, error)) (*kernel.Group, string) {
	t.Helper()
	l, err := kernel.Listen(open)
	require.NoError(t, err)
	g := kernel.NewGroup(t.Context())
	g.Serve("hello", &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "hello")
	})}, l)
	t.Cleanup(func() {
		begun := time.Now()
		g.Stop()
		require.NoError(t, g.Wait())
		require.Less(t, time.Since(begun), time.Second)
	})
	return g, "http://" + l.Addr().String()
}

func requireHello(t *testing.T, url string) {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	require.Eventually(t, func() bool {
		response, err := client.Get(url)
		if err != nil {
			return false
		}
		defer func() { _ = response.Body.Close() }() // it is read whole
		body, err := io.ReadAll(response.Body)
		return err == nil && string(body) == "hello"
	}, waitTime, 10*time.Millisecond)
}

// A lack of memory or descriptors, or a network that goes down, may come to all VMs at once.
func TestServerOutlivesFailuresToAccept(t *testing.T) {
	captureLog(t)
	for _, failure := range []syscall.Errno{
		syscall.ENOBUFS, syscall.ENOMEM, syscall.EMFILE, syscall.ENFILE, syscall.ECONNABORTED, syscall.EPROTO, syscall.ENETDOWN,
		syscall.EHOSTUNREACH, syscall.EPERM,
	} {
		t.Run(failure.Error(), func(t *testing.T) {
			opened := 0
			g, url := serveHello(t, func() (net.Listener, error) {
				opened++
				l := &failingListener{Listener: listen(t, "127.0.0.1:0"), failure: os.NewSyscallError("accept4", failure)}
				l.failures.Store(3)
				return l, nil
			})
			requireHello(t, url)
			requireRunning(t, g)
			require.Equal(t, 1, opened, "connections that wait to be accepted are kept")
		})
	}
}

func TestListenerThatIsDeadIsOpenedAgain(t *testing.T) {
	log := captureLog(t)
	first := listen(t, "127.0.0.1:0")
	address := first.Addr().String()
	next := []func() (net.Listener, error){
		func() (net.Listener, error) { return first, nil },
		func() (net.Listener, error) { return nil, syscall.EADDRINUSE },
		func() (net.Listener, error) { return net.Listen("tcp", address) },
	}
	g, url := serveHello(t, func() (net.Listener, error) {
		open := next[0]
		next = next[1:]
		return open()
	})
	requireHello(t, url)
	require.NoError(t, first.Close())
	requireHello(t, url)
	requireRunning(t, g)
	require.Contains(t, log.String(), `"listener_not_reopened" err="address already in use" address="`+address+`"`)
	require.Contains(t, log.String(), `"listener_reopened" address="`+address+`"`)
}

func TestPortInUseIsReportedAtTheStart(t *testing.T) {
	taken := listen(t, "127.0.0.1:0")
	defer func() { require.NoError(t, taken.Close()) }()
	_, err := kernel.Listen(func() (net.Listener, error) { return net.Listen("tcp", taken.Addr().String()) })
	require.ErrorIs(t, err, syscall.EADDRINUSE)
}

// closingListener fails to accept only once it is closed, in another way than a listener that is closed.
type closingListener struct {
	net.Listener
	closed chan struct{}
}

// Accept implements net.Listener.
func (l closingListener) Accept() (net.Conn, error) {
	<-l.closed
	return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EINVAL}
}

// Close implements net.Listener.
func (l closingListener) Close() error {
	close(l.closed)
	return l.Listener.Close()
}

// Any other error would make the planned stop of a node a failure of a part.
func TestDeadListenerSaysThatItIsClosedAfterClose(t *testing.T) {
	l, err := kernel.Listen(func() (net.Listener, error) {
		return closingListener{Listener: listen(t, "127.0.0.1:0"), closed: make(chan struct{})}, nil
	})
	require.NoError(t, err)
	g := kernel.NewGroup(t.Context())
	g.Serve("hello", &http.Server{ReadHeaderTimeout: time.Second}, l)
	require.NoError(t, l.Close())
	requireRunning(t, g)
	time.Sleep(100 * time.Millisecond) // the server notices
	requireRunning(t, g)
	g.Stop()
	require.NoError(t, g.Wait())
}
