// Package neighbor speaks to the other nodes of a deployment: it hands on what
// a node read from the store, how much it has at each endpoint, and where
// little moves.
package neighbor

import (
	"context"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/twitchtv/twirp"

	"redwinghall"
	"redwinghall/balance"
	"redwinghall/fleet"
	"redwinghall/neighbor/rpc"
	"redwinghall/relay"
)

// Limits of a call to another node.
const (
	callTimeout = 500 * time.Millisecond
	dialTimeout = 300 * time.Millisecond
	maxIdle     = 8
	idleTimeout = 30 * time.Second
	// longestWait bounds how long a caller may wait for changes.
	longestWait = 5 * time.Second
)

// Parts are what a node tells others of.
type Parts struct {
	Mirror   func(table string) *relay.Mirror
	Board    *Board
	Suspect  func(ctx context.Context, endpointID string)
	StoreAge func(now time.Time) time.Duration
}

// Server answers other nodes.
type Server struct {
	parts Parts
}

var _ rpc.Neighbor = (*Server)(nil)

// NewHandler returns the handler of a node's internal address.
func NewHandler(parts Parts) http.Handler {
	return rpc.NewNeighborServer(&Server{parts: parts})
}

// List implements rpc.Neighbor.
func (s *Server) List(_ context.Context, in *rpc.ListRequest) (*rpc.RowsResponse, error) {
	answer, err := s.parts.Mirror(in.GetTable()).List(time.Now())
	return encodeAnswer(answer, err)
}

// Changes implements rpc.Neighbor.
func (s *Server) Changes(ctx context.Context, in *rpc.ChangesRequest) (*rpc.RowsResponse, error) {
	wait := min(time.Duration(in.GetWaitMs())*time.Millisecond, longestWait)
	answer, err := s.parts.Mirror(in.GetTable()).Changes(ctx, in.GetAfter(), wait)
	return encodeAnswer(answer, err)
}

// Share implements rpc.Neighbor.
func (s *Server) Share(_ context.Context, in *rpc.ShareRequest) (*rpc.ShareResponse, error) {
	now := time.Now()
	if in.GetZone() {
		s.parts.Board.PutZone(now, in.GetNode(), decodeLoads(in.GetLoads()))
		return &rpc.ShareResponse{}, nil
	}
	s.parts.Board.Put(now, in.GetNode(), decodeLoads(in.GetLoads()))
	return &rpc.ShareResponse{Loads: encodeLoads(s.parts.Board.Others(now, in.GetNode()))}, nil
}

// Suspect implements rpc.Neighbor.
func (s *Server) Suspect(_ context.Context, in *rpc.SuspectRequest) (*rpc.SuspectResponse, error) {
	s.parts.Suspect(context.Background(), in.GetEndpoint())
	return &rpc.SuspectResponse{}, nil
}

// Reach implements rpc.Neighbor.
func (s *Server) Reach(context.Context, *rpc.ReachRequest) (*rpc.ReachResponse, error) {
	return &rpc.ReachResponse{StoreAgeMs: s.parts.StoreAge(time.Now()).Milliseconds()}, nil
}

func encodeAnswer(answer relay.Answer, err error) (*rpc.RowsResponse, error) {
	switch redwinghall.KindOf[fleet.StoreKind](err) {
	case fleet.StoreHistoryGone:
		return nil, twirp.NewError(twirp.OutOfRange, err.Error())
	case "":
	default:
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	out := &rpc.RowsResponse{Version: answer.Rows.Version, AgeMs: answer.Age.Milliseconds()}
	for _, r := range answer.Rows.Rows {
		out.Rows = append(out.Rows, &rpc.Row{Key: r.Key, Value: r.Value, Version: r.Version, Removed: r.Removed})
	}
	return out, nil
}

// Client asks other nodes.
type Client struct {
	http *http.Client
	mu   sync.Mutex
	by   map[string]rpc.Neighbor // by address
}

var _ relay.Asker = (*Client)(nil)

// NewClient returns a client without connections.
func NewClient() *Client {
	return &Client{by: map[string]rpc.Neighbor{}, http: &http.Client{Transport: &http.Transport{
		DialContext: dialer(dialTimeout), MaxIdleConnsPerHost: maxIdle, IdleConnTimeout: idleTimeout, DisableCompression: true,
	}}}
}

func (c *Client) at(address string) rpc.Neighbor {
	c.mu.Lock()
	defer c.mu.Unlock()
	one, ok := c.by[address]
	if !ok {
		one = rpc.NewNeighborProtobufClient((&url.URL{Scheme: "http", Host: address}).String(), c.http)
		c.by[address] = one
	}
	return one
}

// List implements relay.Asker.
func (c *Client) List(ctx context.Context, address, table string) (relay.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	out, err := c.at(address).List(ctx, &rpc.ListRequest{Table: table})
	return c.decodeAnswer("Client.List", table, out, err)
}

// Changes implements relay.Asker.
func (c *Client) Changes(ctx context.Context, address, table string, after int64, wait time.Duration) (relay.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	out, err := c.at(address).Changes(ctx, &rpc.ChangesRequest{Table: table, After: after, WaitMs: wait.Milliseconds()})
	return c.decodeAnswer("Client.Changes", table, out, err)
}

// Share hands over this node's loads and returns the sum of the others'.
func (c *Client) Share(ctx context.Context, address, node string, loads map[string]balance.Load) (map[string]balance.Load, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	out, err := c.at(address).Share(ctx, &rpc.ShareRequest{Node: node, Loads: encodeLoads(loads)})
	if err != nil {
		return nil, c.failed("Client.Share", err)
	}
	return decodeLoads(out.GetLoads()), nil
}

// ShareZone tells a node of another zone what the nodes of this zone have.
func (c *Client) ShareZone(ctx context.Context, address, zone string, loads map[string]balance.Load) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := c.at(address).Share(ctx, &rpc.ShareRequest{Node: zone, Loads: encodeLoads(loads), Zone: true}); err != nil {
		return c.failed("Client.ShareZone", err)
	}
	return nil
}

// Suspect tells a node that little or nothing moves at an endpoint.
func (c *Client) Suspect(ctx context.Context, address, endpointID string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := c.at(address).Suspect(ctx, &rpc.SuspectRequest{Endpoint: endpointID}); err != nil {
		return c.failed("Client.Suspect", err)
	}
	return nil
}

// Reach returns how long ago the store last answered a node.
func (c *Client) Reach(ctx context.Context, address string) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	out, err := c.at(address).Reach(ctx, &rpc.ReachRequest{})
	if err != nil {
		return 0, c.failed("Client.Reach", err)
	}
	return time.Duration(out.GetStoreAgeMs()) * time.Millisecond, nil
}

// failed wraps an error, and drops kept connections: one that went silent must
// not swallow the next call too.
func (c *Client) failed(op string, err error) error {
	c.http.CloseIdleConnections()
	return redwinghall.NewOpError(op, fleet.StoreUnavailable, err)
}

func (c *Client) decodeAnswer(op, table string, out *rpc.RowsResponse, err error) (relay.Answer, error) {
	if err != nil {
		if twerr, ok := err.(twirp.Error); ok && twerr.Code() == twirp.OutOfRange { //nolint:errorlint // the library returns it bare
			return relay.Answer{}, redwinghall.NewOpError(op, fleet.StoreHistoryGone, err)
		}
		return relay.Answer{}, c.failed(op, err)
	}
	answer := relay.Answer{Age: time.Duration(out.GetAgeMs()) * time.Millisecond, Rows: fleet.Rows{Version: out.GetVersion()}}
	for _, r := range out.GetRows() {
		answer.Rows.Rows = append(answer.Rows.Rows, fleet.Row{
			Table: table, Key: r.GetKey(), Value: r.GetValue(), Version: r.GetVersion(), Removed: r.GetRemoved(),
		})
	}
	return answer, nil
}
