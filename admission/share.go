package admission

import (
	"math"
	"slices"
)

// fairLevel returns the most work that an account is due if supply is divided max-min
// fairly: those who ask for less get what they ask for, the others equal parts of the
// rest. It is infinite if supply covers all that is asked.
func fairLevel(supply float64, asked []float64) float64 {
	slices.Sort(asked)
	left := supply
	for i, one := range asked {
		level := left / float64(len(asked)-i)
		if one >= level {
			return level
		}
		left -= one
	}
	return math.Inf(1)
}
