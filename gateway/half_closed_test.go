package gateway_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// rawAnswer returns the status of the response that comes on a connection on which bytes were sent.
func rawAnswer(t *testing.T, conn net.Conn) *http.Response {
	t.Helper()
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(requestTimeout)))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err, "no status")
	require.NoError(t, response.Body.Close())
	return response
}

func (s *fixture) dial() net.Conn {
	s.t.Helper()
	conn, err := net.Dial("tcp", s.server.Listener.Addr().String())
	require.NoError(s.t, err)
	s.t.Cleanup(func() { _ = conn.Close() }) // it may be closed already
	return conn
}

// A caller shuts its sending side after its request, looks like one that has left, and gets neither an answer nor a refusal.
func TestHalfClosedCallerGetsAStatus(t *testing.T) {
	t.Parallel()
	for _, path := range []string{"/book/", "/look/", "/stream/", "/feed/"} {
		for name, c := range map[string]struct {
			runs bool
			want []int
		}{
			"at once":          {false, []int{http.StatusServiceUnavailable, http.StatusBadGateway}},
			"while it is sent": {true, []int{http.StatusBadGateway}},
		} {
			t.Run(path+name, func(t *testing.T) {
				t.Parallel()
				s, running := newFixture(t), make(chan bool, 4)
				for _, service := range []string{"desk", "llm"} {
					s.endpoint("e-"+service, service, func(_ http.ResponseWriter, r *http.Request) {
						_, _ = io.Copy(io.Discard, r.Body) // only then the server notices that its client leaves
						running <- true
						<-r.Context().Done()
					})
				}
				conn := s.dial()
				require.NoError(t, s.request(http.MethodPost, path).Write(conn))
				if c.runs {
					<-running
				}
				require.NoError(t, conn.(*net.TCPConn).CloseWrite())
				response := rawAnswer(t, conn)
				require.Contains(t, c.want, response.StatusCode)
				require.Equal(t, "r-1", response.Header.Get("Request-Id"))
				require.True(t, response.Close)
			})
		}
	}
}
