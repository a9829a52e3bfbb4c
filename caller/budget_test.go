package caller_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"redwinghall/caller"
)

// When a zone fails, retries must not overload the remaining groups. Even if every
// request needs retries, endpoints receive at most 1.1 times the number of requests
// plus the initial retries.
func TestRetryBudgetBoundsTheOfferedLoad(t *testing.T) {
	budget := caller.NewBudget(10)
	const requests = 10000
	retries := 0
	for range requests {
		budget.RecordRequest()
		for range 3 {
			if budget.Spend() {
				retries++
			}
		}
	}
	require.LessOrEqual(t, retries, requests/10+10)
	require.GreaterOrEqual(t, retries, requests/10)
	require.EqualValues(t, retries, budget.Spent())
	require.EqualValues(t, 3*requests-retries, budget.Denied())
}

func TestRetryBudgetIsCapped(t *testing.T) {
	budget := caller.NewBudget(10)
	for range 100000 {
		budget.RecordRequest()
	}
	retries := 0
	for budget.Spend() {
		retries++
	}
	require.Equal(t, 50, retries)
}
