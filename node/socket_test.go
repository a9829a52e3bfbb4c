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

// A TCP_USER_TIMEOUT, of the node or of a library, would decide when keep-alive probes give up, whatever their configured number.
func TestUserTimeoutLeavesKeepAliveAsItIs(t *testing.T) {
	z := deployZones(t, map[string]int{"a": 2, "b": 1})
	for _, path := range []string{"/stream/x", "/book/x"} {
		for i, node := range z.nodes {
			status, _ := node.request(http.MethodPost, path, fmt.Sprintf("ask-%s-%d", path[1:5], i))
			require.Equal(t, http.StatusOK, status)
		}
	}
	sockets, limited := 0, 0
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
		if timeout > 0 {
			limited++
			requireBetweenProbes(t, fd, timeout)
		}
	}
	require.Positive(t, limited, "connections to endpoints and other nodes")
	require.Greater(t, sockets, 20, "listeners and connections of callers, endpoints, nodes and the store")
}

// requireBetweenProbes fails unless a user timeout, in milliseconds, is over after the last keep-alive probe and before that has failed.
func requireBetweenProbes(t *testing.T, fd, timeout int) {
	t.Helper()
	option := func(name int) int {
		value, err := unix.GetsockoptInt(fd, unix.IPPROTO_TCP, name)
		require.NoError(t, err)
		return value * 1000
	}
	idle, interval, probes := option(unix.TCP_KEEPIDLE), option(unix.TCP_KEEPINTVL), option(unix.TCP_KEEPCNT)/1000
	require.Greater(t, timeout, idle+(probes-1)*interval)
	require.Less(t, timeout, idle+probes*interval)
}
