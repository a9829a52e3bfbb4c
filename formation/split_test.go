package formation_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// The models' shares are 2 to 1. If small groups were placed first, they would leave no
// room for large ones, and both models would get the same number of VMs.
func TestFirstGroupsFollowTheShares(t *testing.T) {
	for name, c := range map[string]struct {
		domains, size, large, small int
	}{
		"two of 11":  {2, 11, 2, 2},
		"one of 11":  {1, 11, 1, 1},
		"two of 15":  {2, 15, 3, 4},
		"one of 5":   {1, 5, 0, 1},
		"four of 11": {4, 11, 4, 4},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFakeZone(1, c.domains, c.size)
				n := manage(f, true)
				defer n.stop(t)
				time.Sleep(40 * time.Second)
				require.Equal(t, fmt.Sprint(c.large, c.small), fmt.Sprint(len(f.servingHeads("large")), len(f.servingHeads("small"))))
			})
		})
	}
}
