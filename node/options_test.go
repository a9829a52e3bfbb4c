package node_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// net/http answered it itself: a success that no endpoint gave, without a key.
func TestOptionsOfNoPathIsNotFound(t *testing.T) {
	z := deployZones(t, map[string]int{"a": 1})
	for target, want := range map[string]int{"*": http.StatusNotFound, "/nowhere/": http.StatusNotFound, "/look/x": http.StatusUnauthorized} {
		conn, err := net.Dial("tcp", z.nodes[0].settings.CallerAddress)
		require.NoError(t, err)
		require.NoError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
		_, err = io.WriteString(conn, "OPTIONS "+target+" HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n\r\n")
		require.NoError(t, err)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err)
		require.Equal(t, want, response.StatusCode, target)
		require.NoError(t, response.Body.Close())
		require.NoError(t, conn.Close())
	}
}
