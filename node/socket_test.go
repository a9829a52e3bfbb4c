package node_test

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// A TCP_USER_TIMEOUT that a library sets would decide when keep-alive probes give up, whatever
// their configured number.
func TestNoSocketHasAUserTimeout(t *testing.T) {
	z := deployZones(t, map[string]int{"a": 2, "b": 1})
	for _, path := range []string{"/stream/x", "/book/x"} {
		for i, node := range z.nodes {
			status, _ := node.request(http.MethodPost, path, fmt.Sprintf("ask-%s-%d", path[1:5], i))
			require.Equal(t, http.StatusOK, status)
		}
	}
	sockets := 0
	names, err := filepath.Glob("/proc/self/fd/*")
	require.NoError(t, err)
	for _, name := range names {
		fd, err := strconv.Atoi(filepath.Base(name))
		require.NoError(t, err)
		if target, err := os.Readlink(name); err != nil || len(target) < 7 || target[:7] != "socket:" {
			continue // it was closed meanwhile, or is no socket
		}
		timeout, err := unix.GetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
		if err != nil {
			continue // no TCP socket
		}
		sockets++
		require.Zero(t, timeout, name)
	}
	require.Greater(t, sockets, 20, "listeners and connections of callers, endpoints, nodes and the store")
}
