package neighbor

import (
	"context"
	"net"
	"sync"
	"time"

	"redwinghall/balance"
	"redwinghall/neighbor/rpc"
)

// boardTrust is how long the loads that a node last reported are used.
const boardTrust = time.Second

// Board gathers what the nodes of a zone, and the other zones, have at each endpoint.
type Board struct {
	mu    sync.Mutex
	nodes map[string]reportedLoads
	zones map[string]reportedLoads
}

// reportedLoads are the loads that one node or zone last reported.
type reportedLoads struct {
	at    time.Time
	loads map[string]balance.Load
}

// NewBoard returns an empty board.
func NewBoard() *Board {
	return &Board{nodes: map[string]reportedLoads{}, zones: map[string]reportedLoads{}}
}

// Put notes a node's loads.
func (b *Board) Put(now time.Time, node string, loads map[string]balance.Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.nodes[node] = reportedLoads{at: now, loads: loads}
}

// PutZone notes another zone's loads.
func (b *Board) PutZone(now time.Time, zone string, loads map[string]balance.Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.zones[zone] = reportedLoads{at: now, loads: loads}
}

// Others returns the sum of what all but one node of this zone have, as far as
// they said so lately.
func (b *Board) Others(now time.Time, except string) map[string]balance.Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	return sumOf(now, b.nodes, except)
}

// Zone returns the sum of what the nodes of this zone have.
func (b *Board) Zone(now time.Time) map[string]balance.Load { return b.Others(now, "") }

// Zones returns the sum of what the nodes of the other zones have.
func (b *Board) Zones(now time.Time) map[string]balance.Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	return sumOf(now, b.zones, "")
}

func sumOf(now time.Time, entries map[string]reportedLoads, except string) map[string]balance.Load {
	sum := map[string]balance.Load{}
	for name, entry := range entries {
		if now.Sub(entry.at) > boardTrust {
			delete(entries, name)
			continue
		}
		if name == except {
			continue
		}
		for id, load := range entry.loads {
			sum[id] = sum[id].With(load)
		}
	}
	return sum
}

func encodeLoads(loads map[string]balance.Load) []*rpc.Load {
	out := make([]*rpc.Load, 0, len(loads))
	for id, l := range loads {
		out = append(out, &rpc.Load{
			Endpoint: id, Requests: int32(l.Requests), Unstarted: int32(l.Unstarted), UnreadTokens: int32(l.Unread), //nolint:gosec // small counts
		})
	}
	return out
}

func decodeLoads(loads []*rpc.Load) map[string]balance.Load {
	out := make(map[string]balance.Load, len(loads))
	for _, l := range loads {
		out[l.GetEndpoint()] = balance.Load{
			Requests: int(l.GetRequests()), Unstarted: int(l.GetUnstarted()), Unread: int(l.GetUnreadTokens()),
		}
	}
	return out
}

// dialer gives up on a node that doesn't answer, and finds connections that
// went silent.
func dialer(timeout time.Duration) func(context.Context, string, string) (net.Conn, error) {
	d := &net.Dialer{Timeout: timeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: time.Second, Interval: time.Second, Count: 2,
	}}
	return d.DialContext
}
