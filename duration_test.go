package redwinghall_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall"
)

// Callers who come back too early are refused again: a time to come back is
// never rounded down, and never nothing.
func TestSecondsAreRoundedUp(t *testing.T) {
	t.Parallel()
	for want, d := range map[string]time.Duration{"1": time.Millisecond, "2": 2 * time.Second, "3": 2001 * time.Millisecond} {
		require.Equal(t, want, redwinghall.Duration(d).Seconds())
	}
	require.Equal(t, "1", redwinghall.Duration(0).Seconds())
}
