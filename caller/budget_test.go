package caller_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"redwinghall/caller"
)

// A zone is lost, every request fails at first, and the retries take down what
// is left. Judge: over many requests that all want retries, endpoints see less
// than 1.1 times the requests and a small start amount.
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

func TestRetryBudgetSavesOnlySoMuch(t *testing.T) {
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
