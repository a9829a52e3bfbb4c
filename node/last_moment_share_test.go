package node_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/node"
	"redwinghall/platform/platformtest"
)

// Guards against cutting requests before the last sixth of the grace period, because the end of the process is given too much of it.
func TestLastMomentBeginsInTheLastSixthOfTheGrace(t *testing.T) {
	t.Parallel()
	for _, grace := range []time.Duration{8 * time.Second, 15 * time.Second, 30 * time.Second} {
		for _, processor := range []float64{0.2, 1, 4} {
			for _, requests := range []int{1, 500, 2000, 4000} {
				require.GreaterOrEqual(t, node.LongestStop(grace, processor, requests), grace*5/6, "grace %s, %d requests, %g of a core", grace, requests, processor)
			}
		}
	}
}

// Guards against streams that a slow node cuts early to have time for other answers, and calls that a fast one ends early.
func TestOnlyWhatHasNotBegunEndsBeforeTheLastSixthOfTheGrace(t *testing.T) {
	t.Parallel()
	const bookings, grace = 60, 6 * time.Second
	for name, c := range map[string]struct {
		processor float64
		early     bool // there isn't time in the last sixth for all answers
	}{"slow": {0.02, true}, "fast": {1, false}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := deployWith(t, platformtest.EndpointConfig{Event: longPause, Events: 2 * longEvents}, platformtest.EndpointConfig{Work: slowCall})
			d.settings.Processor = c.processor
			d.withGrace(fmt.Sprint(grace.Seconds()))
			end := d.startEnding(waysToEnd["grace over"])
			d.waitOpen()
			d.beginStream("warm-up")
			calls := newCallers(d)
			calls.send("begun", "/stream/x")
			for i := range bookings {
				calls.send(fmt.Sprint("booking-", i), "/book/x")
				time.Sleep(5 * time.Millisecond) // one after the other, so that all find room
			}
			require.Eventually(t, func() bool { return d.runs("booking-", bookings) == bookings }, 5*time.Second, 20*time.Millisecond)
			signal := time.Now()
			require.Less(t, end(), grace)
			first := grace
			for id, one := range calls.wait() {
				after := one.ended.Sub(signal)
				if id == "begun" {
					require.Equal(t, http.StatusOK, one.status)
					require.GreaterOrEqual(t, after, grace*5/6, "a stream that has begun")
					continue
				}
				require.Equal(t, http.StatusBadGateway, one.status, id)
				first = min(first, after)
			}
			require.Equal(t, c.early, first < grace*5/6, "the first booking ended after %s", first)
		})
	}
}

// Bookings were ended right at the signal since many streams had begun, which are cut last.
func TestStreamsThatHaveBegunEndNoCallEarly(t *testing.T) {
	t.Parallel()
	const left = 7 * time.Second
	for _, begun := range []int{0, 500, 1000, 4000} {
		require.Zero(t, node.EndedEarly(0.2, 10, begun, left), "%d streams", begun)
	}
	require.Positive(t, node.EndedEarly(0.2, 4000, 0, left), "more than are answered in time")
}
