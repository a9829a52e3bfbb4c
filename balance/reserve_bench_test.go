package balance_test

import (
	"fmt"
	"strconv"
	"testing"

	"redwinghall/balance"
	"redwinghall/fleet"
)

// BenchmarkReserve measures one decision of a dispatcher among the 30 groups of a model, with what the request
// says about its node's streams, and with places that are kept for others.
func BenchmarkReserve(b *testing.B) {
	for _, kept := range []int{0, 3} {
		b.Run(fmt.Sprintf("%d_kept", kept), func(b *testing.B) {
			tracker, request := balance.NewTracker(), newRequest()
			request.IsDispatcher, request.Kept = true, kept
			var heads []*fleet.Endpoint
			for i := range 30 {
				heads = append(heads, head(strconv.Itoa(i), "a", "large"))
			}
			changes := map[string]balance.Load{"1": {Requests: 1}, "2": {Requests: -1}}
			b.ResetTimer()
			for i := range b.N {
				ticket := uint64(i + 1)
				tracker.Settle(start, heads, "n2", balance.Settled{Below: ticket}, changes)
				tracker.Reserve(start, heads, nil, request, balance.Requester{Node: "n2", Ticket: ticket})
			}
		})
	}
}
