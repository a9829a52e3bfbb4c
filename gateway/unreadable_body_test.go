package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// A body that can't be read is no reason to tell its caller nothing.
func TestUnreadableBodyGetsAStatus(t *testing.T) {
	t.Parallel()
	const chunked, length = "Transfer-Encoding: chunked\r\n\r\n", "Content-Length: 10\r\n\r\n"
	for name, c := range map[string]struct {
		bytes string
		ends  bool
	}{
		"a chunk's length is none":   {chunked + "zz\r\nabc\r\n", false},
		"a trailer can't be read":    {chunked + "3\r\nabc\r\n0\r\n:\r\n\r\n", false},
		"it ends in a chunk":         {chunked + "a\r\nabc", true},
		"it ends before its length":  {length + "abc", true},
		"nothing comes of its bytes": {length, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newFixture(t)
			conn := s.dial()
			_, err := fmt.Fprint(conn, "POST /book/ HTTP/1.1\r\nHost: a.example\r\nRequest-Id: r-1\r\nAuthorization: Bearer key-1\r\n"+c.bytes)
			require.NoError(t, err)
			if c.ends {
				require.NoError(t, conn.(*net.TCPConn).CloseWrite())
			}
			response := rawAnswer(t, conn)
			require.Equal(t, http.StatusBadRequest, response.StatusCode)
			require.True(t, response.Close)
		})
	}
}
