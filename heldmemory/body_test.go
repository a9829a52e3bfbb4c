package heldmemory_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/heldmemory"
)

// A body that sends a byte now and then would hold its memory for ever while others need it.
func TestBodyPaceAsksForProgressWhileMemoryIsShort(t *testing.T) {
	begun := time.Now()
	pace := heldmemory.NewBodyPace(begun)
	require.Equal(t, begun.Add(time.Second), pace.Until(true))
	require.Equal(t, begun.Add(5*time.Second), pace.Until(false))
	pace.Record(begun.Add(900*time.Millisecond), 1)
	require.Equal(t, begun.Add(time.Second), pace.Until(true), "a byte is no progress")
	require.Equal(t, begun.Add(5900*time.Millisecond), pace.Until(false), "it is while there is room")
	pace.Record(begun.Add(950*time.Millisecond), 4<<10)
	require.Equal(t, begun.Add(1950*time.Millisecond), pace.Until(true))
}
