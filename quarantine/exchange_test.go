package quarantine_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/quarantine"
)

// Guards against two tables that differ for good and are exchanged whole each second, at all nodes.
func TestTablesThatStayDifferentAreNotExchangedAgain(t *testing.T) {
	t.Parallel()
	var e quarantine.Exchanges
	require.False(t, e.IsDue(start, 1, 1))
	require.True(t, e.IsDue(start, 1, 2))
	e = e.With(start, 3, 2)
	require.False(t, e.IsDue(start.Add(999*time.Millisecond), 3, 4))
	require.True(t, e.IsDue(start.Add(time.Second), 3, 4), "the other table has changed")
	require.True(t, e.IsDue(start.Add(time.Second), 4, 2), "this table has changed")
	require.False(t, e.IsDue(start.Add(time.Hour), 3, 2))
	require.False(t, e.IsDue(start.Add(time.Hour), 2, 2))
}
