package node_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/kernel"
	"redwinghall/platform/platformtest"
	"redwinghall/standin/link"
)

// Bounds on what callers of a node that is parted from the endpoints see.
const (
	// partedSettleTime is how long after the partition began the bounds apply.
	partedSettleTime = time.Second
	// minServedShare is the share of first tries that parted nodes must serve, against
	// the other nodes.
	minServedShare = 0.95
	partedTime     = 5 * time.Second
)

// tries counts the first tries of callers at one node.
type tries struct {
	mu           sync.Mutex
	sent, served int
	failed       []string // those that weren't served with their status and body
	refused      []string // bookings that were refused as not run
	booked       []string // all bookings
}

func (c *tries) add(path, id string, status int, body string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent++
	want := "done " + id
	if path == "/stream/x" {
		want = platformtest.FullResponse(id, answerEvents)
	}
	if status == http.StatusOK && body == want {
		c.served++
	} else {
		c.failed = append(c.failed, fmt.Sprintf("%s: %d %q", id, status, body))
	}
	if path != "/book/x" {
		return
	}
	c.booked = append(c.booked, id)
	if status == http.StatusServiceUnavailable {
		c.refused = append(c.refused, id)
	}
}

// callEach runs callers of all kinds of request against each node for d, and counts the
// requests that begin after settle.
func (z *zonedDeployment) callEach(t *testing.T, d, settle time.Duration) map[string]*tries {
	t.Helper()
	counts := map[string]*tries{}
	begun := time.Now()
	ctx, stop := context.WithTimeout(context.Background(), d)
	defer stop()
	g := kernel.NewGroup(ctx)
	for _, node := range z.nodes {
		count := &tries{}
		counts[node.settings.Node] = count
		for path, method := range map[string]string{"/stream/x": http.MethodPost, "/look/x": http.MethodGet, "/book/x": http.MethodPost} {
			g.Go("caller", func(ctx context.Context) error {
				for n := 0; ctx.Err() == nil; n++ {
					id := fmt.Sprintf("%s-%s-%d-%d", node.settings.Node, path[1:5], begun.UnixMilli(), n)
					sent := time.Since(begun)
					status, body := node.request(method, path, id)
					if sent >= settle {
						count.add(path, id, status, body)
					}
					time.Sleep(40 * time.Millisecond)
				}
				return nil
			})
		}
	}
	require.NoError(t, g.Wait())
	return counts
}

// requireServed requires that each node serves its callers' first tries, and that no booking
// runs twice or after a refusal.
func (z *zonedDeployment) requireServed(t *testing.T, counts map[string]*tries) {
	t.Helper()
	for _, node := range z.nodes {
		count := counts[node.settings.Node]
		require.Positive(t, count.sent, node.settings.Node)
		require.GreaterOrEqual(t, float64(count.served), minServedShare*float64(count.sent), "%s served %d of %d first tries, not %v", node.settings.Node, count.served, count.sent, count.failed)
		for _, id := range count.booked {
			require.LessOrEqual(t, node.runCounter.Runs(id), 1, id)
		}
		for _, id := range count.refused {
			require.Zero(t, node.runCounter.Runs(id), id)
		}
	}
}

// part parts the first nodes of a zone from all endpoints.
func (z *zonedDeployment) part(zone string, count int, mode link.PartitionMode) {
	for _, node := range z.nodes {
		if node.settings.Zone == zone && count > 0 {
			node.partition.Set(mode)
			count--
		}
	}
}

// Nodes are parted from all endpoints, while callers and the other nodes reach them. If they
// relied on their own connections, their callers would get nothing.
func TestPartedNodesServeTheirCallers(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		nodes  map[string]int
		parted int // nodes of zone a
	}{
		"one of three":               {map[string]int{"a": 3, "b": 2}, 1},
		"a whole zone":               {map[string]int{"a": 2, "b": 2}, 2},
		"four of five, a dispatcher": {map[string]int{"a": 5}, 4},
		"a zone with a dispatcher":   {map[string]int{"a": 4, "b": 2}, 4},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			z := deployZones(t, c.nodes)
			for _, mode := range []link.PartitionMode{link.PartitionHang, link.PartitionReset, link.PartitionRefuse} {
				z.part("a", c.parted, mode)
				z.requireServed(t, z.callEach(t, partedTime, partedSettleTime))
				z.part("a", c.parted, link.PartitionNone)
				z.requireServed(t, z.callEach(t, 2*time.Second, 0))
				time.Sleep(partedTime) // until the paths have returned
			}
		})
	}
}

// All nodes are parted from all endpoints for seconds, and one reaches them again. The callers of both
// must be served soon, although neither tried an endpoint lately, as all had failed.
func TestCallersAreServedSoonAfterOneNodeReturns(t *testing.T) {
	t.Parallel()
	const allParted, returnTime = 7 * time.Second, 1500 * time.Millisecond
	for _, mode := range []link.PartitionMode{link.PartitionRefuse, link.PartitionHang} {
		t.Run(fmt.Sprint(mode), func(t *testing.T) {
			t.Parallel()
			z := deployZones(t, map[string]int{"a": 2})
			z.part("a", 2, mode)
			z.callEach(t, allParted, 0)
			z.nodes[1].partition.Set(link.PartitionNone)
			z.requireServed(t, z.callEach(t, partedTime, returnTime))
		})
	}
}

// The holder of a zone's lease is parted from the zone's endpoints. Its groups must stay open
// while they are whole, and be closed when they lose a member.
func TestPartedHolderKeepsAndRepairsGroups(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		nodes  map[string]int
		parted int // nodes of zone a
		mode   link.PartitionMode
	}{
		"a whole zone, hang":                   {map[string]int{"a": 2, "b": 2}, 2, link.PartitionHang},
		"a whole zone, reset":                  {map[string]int{"a": 2, "b": 2}, 2, link.PartitionReset},
		"most of those that it asks too":       {map[string]int{"a": 5}, 4, link.PartitionReset},
		"most of those that it asks too, hang": {map[string]int{"a": 5}, 4, link.PartitionHang},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			z := deployZones(t, c.nodes)
			z.part("a", c.parted, c.mode)
			z.callEach(t, 2*time.Second, 0)
			require.Equal(t, 2, z.openGroups("a"), "sound groups stay open")
			for _, e := range z.heads["a"] {
				if !e.IsOpen() {
					e.Close()
					e.Unregister()
					break
				}
			}
			require.Eventually(t, func() bool { return z.openGroups("a") == 1 }, 6*time.Second, 50*time.Millisecond, "the group that lost a member is closed")
		})
	}
}

func (z *zonedDeployment) openGroups(zone string) int {
	open := 0
	for _, e := range z.heads[zone] {
		if e.IsOpen() {
			open++
		}
	}
	return open
}

// A node that carries requests of a parted one stops midway. The parted node must go on through the
// others: only the requests that were being carried then may be lost.
func TestCarrierThatStopsMidwayLosesNoOtherRequests(t *testing.T) {
	t.Parallel()
	for name, nodes := range map[string]map[string]int{
		"a zone of three":            {"a": 3, "b": 2},
		"a zone with a dispatcher":   {"a": 5},
		"the whole zone, of another": {"a": 1, "b": 3},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			z := deployZones(t, nodes)
			parted := &zonedDeployment{nodes: z.nodes[:1]}
			z.part("a", 1, link.PartitionReset)
			parted.callEach(t, 2*partedSettleTime, 0)
			g := kernel.NewGroup(t.Context())
			g.Go("stop_carrier", func(ctx context.Context) error {
				kernel.Sleep(ctx, time.Second)
				z.nodes[1].stop()
				return nil
			})
			parted.requireServed(t, parted.callEach(t, partedTime, 0))
			require.NoError(t, g.Wait())
		})
	}
}
