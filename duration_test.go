package redwinghall_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall"
)

// A caller that retries too early is refused again. Retry-After must therefore
// never be rounded down, and never be zero.
func TestSecondsAreRoundedUp(t *testing.T) {
	t.Parallel()
	for want, d := range map[string]time.Duration{"1": time.Millisecond, "2": 2 * time.Second, "3": 2001 * time.Millisecond} {
		require.Equal(t, want, redwinghall.Duration(d).Seconds())
	}
	require.Equal(t, "1", redwinghall.Duration(0).Seconds())
}
