package formation_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/fleet"
	"redwinghall/kernel"
)

// panickingOrderer panics at the first call of each kind for each endpoint.
type panickingOrderer struct {
	fleet.Orderer
	mu   sync.Mutex
	seen map[string]bool
}

func (o *panickingOrderer) first(call string, e *fleet.Endpoint) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.seen[call+e.ID] {
		o.seen[call+e.ID] = true
		panic(call)
	}
}

// Order implements fleet.Orderer.
func (o *panickingOrderer) Order(ctx context.Context, e *fleet.Endpoint, order fleet.Order) (fleet.Outcome, error) {
	o.first(string(order.Kind), e)
	return o.Orderer.Order(ctx, e, order)
}

// Report implements fleet.Orderer.
func (o *panickingOrderer) Report(ctx context.Context, e *fleet.Endpoint) (fleet.Report, error) {
	o.first("report", e)
	return o.Orderer.Report(ctx, e)
}

// An answer whose processing panics must end neither the process nor the planning of its group.
func TestPanicsInOrdersAndReportsDelayGroupsOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeZone(1, 2, 11)
		f.leases++
		n := &node{version: f.leases, firstStart: true, progressing: map[string]bool{}, leaving: map[string]bool{}, group: kernel.NewGroup(context.Background())}
		n.holdsLease.Store(true)
		orderer := &panickingOrderer{Orderer: f, seen: map[string]bool{}}
		n.start(f.cache, orderer)
		defer func() { expectedPanics.Add(int64(len(orderer.seen))) }()
		defer n.stop(t)
		time.Sleep(2 * time.Minute)
		require.Len(t, f.servingHeads("large"), 2)
		require.Len(t, f.servingHeads("small"), 2)
		require.Empty(t, f.violations)
	})
}

func TestPanicOfThePlannerDelaysGroupsOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeZone(1, 2, 11)
		n := manage(f, true)
		defer n.stop(t)
		left := 5
		defer expectedPanics.Add(5)
		n.set(func() {
			n.onLeaseCheck = func() {
				if left--; left >= 0 {
					panic("planner")
				}
			}
		})
		time.Sleep(time.Minute)
		require.Len(t, f.servingHeads("large"), 2)
		require.Len(t, f.servingHeads("small"), 2)
		require.Empty(t, f.violations)
	})
}
