package heldmemory_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"redwinghall/heldmemory"
)

// smallVM is the memory of a small VM in bytes.
const smallVM = 184 << 20

// The room ends for bodies before it ends for new requests, sooner the less urgent a request is, and leaves
// the same room to all answers that have begun.
func TestHeldCeilingsTurnAwayNewWorkFirst(t *testing.T) {
	limit := heldmemory.Limit(smallVM)
	for urgency := range 10 {
		require.Less(t, heldmemory.Ceiling(limit, heldmemory.Bodies, urgency), heldmemory.Ceiling(limit, heldmemory.Requests, urgency))
		require.Less(t, heldmemory.Ceiling(limit, heldmemory.Requests, urgency)+heldmemory.Ceiling(limit, heldmemory.Answers, urgency), limit)
		require.Equal(t, heldmemory.Ceiling(limit, heldmemory.Answers, 0), heldmemory.Ceiling(limit, heldmemory.Answers, urgency))
		if urgency > 0 {
			require.Less(t, heldmemory.Ceiling(limit, heldmemory.Bodies, urgency), heldmemory.Ceiling(limit, heldmemory.Bodies, urgency-1))
			require.Less(t, heldmemory.Ceiling(limit, heldmemory.Requests, urgency), heldmemory.Ceiling(limit, heldmemory.Requests, urgency-1))
		}
	}
	require.Equal(t, heldmemory.Ceiling(limit, heldmemory.Bodies, 9), heldmemory.Ceiling(limit, heldmemory.Bodies, 1000))
	require.Positive(t, heldmemory.Ceiling(limit, heldmemory.Bodies, 9))
	require.Zero(t, heldmemory.Limit(0))
}
