package formation_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/fleet"
	"redwinghall/formation"
)

// While orders of an earlier holder may be carried out, a free VM may be put back into a
// group that it left. It joins only by an order that it refuses in that case.
func TestJoinExpectsOrderCountWhileEarlierOrdersRemain(t *testing.T) {
	counted := fleet.OrderCount{Known: true, Count: 4}
	for name, c := range map[string]struct {
		earlierOrders, joinedHere bool
		orders                    fleet.OrderCount
		joins                     bool
		expected                  fleet.OrderCount
	}{
		"count unknown":              {earlierOrders: true},
		"count known":                {earlierOrders: true, orders: counted, joins: true, expected: counted},
		"joined a group here before": {earlierOrders: true, joinedHere: true, orders: counted, joins: true},
		"no earlier orders":          {orders: counted, joins: true},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			zone := &formation.Zone{
				Engine: defaultEngine(), EarlierOrders: c.earlierOrders, Progressing: func(string) bool { return false },
				History: func(string) formation.GroupHistory { return formation.GroupHistory{} }, NextEpoch: func() int64 { return 10 },
			}
			for i := range 3 {
				zone.Workers = append(zone.Workers, &formation.Worker{
					Endpoint:  &fleet.Endpoint{ID: fmt.Sprint("e", i), Zone: "z", Domain: "d0", State: fleet.EndpointReady},
					LastModel: "small", FreeSince: now.Add(-time.Minute), OrderedAt: map[fleet.OrderKind]time.Time{}, Orders: c.orders, JoinedHere: c.joinedHere,
				})
			}
			steps := zone.Plan(now)
			require.Equal(t, c.joins, len(steps) > 0)
			for _, step := range steps {
				require.Equal(t, fleet.OrderJoin, step.Order.Kind)
				require.Equal(t, c.expected, step.Order.Expected)
			}
		})
	}
}

// Orders of an earlier holder may put a head that left back into its group and open it.
func TestHeadThatLeftIsNoProofWhileEarlierOrdersRemain(t *testing.T) {
	now := time.Unix(1000, 0)
	evidence := formation.Evidence{
		Member: fleet.Membership{Group: "g", Epoch: 7, Rank: 1, State: fleet.Ready}, History: formation.GroupHistory{HeadLeft: true}, EarlierOrders: true,
	}
	require.Equal(t, formation.Unproven, evidence.Proof(now))
	evidence.History.FormedHere, evidence.History.OpenOrdered = true, true
	require.Equal(t, formation.ProofHeadLeft, evidence.Proof(now), "its head refuses the lower epochs of earlier holders")
}

// recorder passes orders on and keeps those to join.
type recorder struct {
	fleet.Orderer
	mu    sync.Mutex
	joins []fleet.Order
}

// Order implements fleet.Orderer.
func (r *recorder) Order(ctx context.Context, e *fleet.Endpoint, o fleet.Order) (fleet.Outcome, error) {
	if o.Kind == fleet.OrderJoin {
		r.mu.Lock()
		r.joins = append(r.joins, o)
		r.mu.Unlock()
	}
	return r.Orderer.Order(ctx, e, o)
}

// A group loses a member just after the lease changed hands. The new holder forms it
// again with orders to join that VMs refuse if an earlier holder's order came between,
// and without them later on.
func TestNewHolderRepairsAGroupWithExpectedOrders(t *testing.T) {
	for name, c := range map[string]struct {
		after   time.Duration
		expects bool
	}{
		"just after the change": {500 * time.Millisecond, true}, "long after it": {20 * time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			runDefault(t, func(t *testing.T, f *fakeZone, n *node) {
				n.holdsLease.Store(false)
				orders := &recorder{Orderer: f}
				next := manageBy(f, false, orders, f.cache)
				defer next.stop(t)
				next.trafficStarted.Store(true)
				time.Sleep(c.after)
				member, head := memberOf(f, "small", 1)
				f.kill(member, false)
				lost := time.Now()
				next.manager.ReportStall(context.Background(), head)
				require.Eventually(t, func() bool { return len(f.servingHeads("small")) == 2 }, 10*time.Second, 50*time.Millisecond)
				t.Logf("served again after %s", time.Since(lost))
				orders.mu.Lock()
				defer orders.mu.Unlock()
				require.NotEmpty(t, orders.joins)
				for _, order := range orders.joins {
					require.Equal(t, c.expects, order.Expected.Known)
				}
			})
		})
	}
}
