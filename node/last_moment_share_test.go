package node_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/node"
)

// Guards against a last moment that takes so much of the grace period that work is cut which may be cut only in its last sixth.
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
