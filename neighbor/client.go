package neighbor

import (
	"context"
	"net"
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
	// listTimeout bounds a call for a whole table, which may not have been read yet.
	listTimeout = time.Second
	// reserveTimeout bounds how long a caller waits until a group is chosen: a
	// small part of an objective, and many times the round trip.
	reserveTimeout = 40 * time.Millisecond
	// dialTimeout is many round trips. After a start of all nodes, the first ones wait
	// that long for a reader that isn't there yet.
	dialTimeout = 100 * time.Millisecond
	maxIdle     = 8
	idleTimeout = 30 * time.Second
)

// Client asks other nodes.
type Client struct {
	http    *http.Client
	mu      sync.Mutex
	clients map[string]rpc.Neighbor // by address
}

var _ relay.PeerClient = (*Client)(nil)

// NewClient returns a client without connections.
func NewClient() *Client {
	return &Client{clients: map[string]rpc.Neighbor{}, http: &http.Client{Transport: &http.Transport{
		DialContext: dialer(dialTimeout), MaxIdleConnsPerHost: maxIdle, IdleConnTimeout: idleTimeout, DisableCompression: true,
	}}}
}

func (c *Client) clientOf(address string) rpc.Neighbor {
	c.mu.Lock()
	defer c.mu.Unlock()
	one, ok := c.clients[address]
	if !ok {
		one = rpc.NewNeighborProtobufClient((&url.URL{Scheme: "http", Host: address}).String(), c.http)
		c.clients[address] = one
	}
	return one
}

// List implements relay.Asker.
func (c *Client) List(ctx context.Context, address, table string) (relay.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	out, err := c.clientOf(address).List(ctx, &rpc.ListRequest{Table: table})
	return c.decodeAnswer("Client.List", table, out, err)
}

// Changes implements relay.Asker.
func (c *Client) Changes(ctx context.Context, address, table string, after fleet.Position, wait time.Duration) (relay.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	out, err := c.clientOf(address).Changes(ctx, &rpc.ChangesRequest{Table: table, After: after.Version, Era: after.Era, WaitMs: wait.Milliseconds()})
	return c.decodeAnswer("Client.Changes", table, out, err)
}

// Commit implements relay.Asker.
func (c *Client) Commit(ctx context.Context, address string, txn fleet.Txn) (fleet.Position, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	out, err := c.clientOf(address).Commit(ctx, encodeTxn(txn))
	if err == nil {
		return fleet.Position{Era: out.GetEra(), Version: out.GetVersion()}, nil
	}
	kind := fleet.StoreOutcomeUnknown
	switch twirpCode(err) {
	case twirp.FailedPrecondition:
		kind = fleet.StoreConflict
	case twirp.Unavailable:
		kind = fleet.StoreUnavailable
	default:
	}
	return fleet.Position{}, redwinghall.NewOpError("Client.Commit", kind, err)
}

// ShareResult is what a node is told of loads.
type ShareResult struct {
	Others map[string]balance.Load // of the other nodes of the zone, if it asked for them
	Zones  map[string]balance.Load // of the other zones, if it asked for them
	Limits []balance.LimitWord     // that changed lately, or all if it asked for them
}

// LoadReport is what a node tells of its loads.
type LoadReport struct {
	Node  string
	Loads map[string]balance.Load
	// Settled says that all streams of the node's tickets below it are in Loads.
	Settled uint64
	// WithOthers asks for the loads of the other nodes of the zone, WithZones for
	// those of the other zones.
	WithOthers, WithZones bool
	// Limits are what endpoints lately said of their limits to the node itself.
	Limits []balance.LimitWord
	// WithLimits asks for all limits that hold, and not only for those that changed.
	WithLimits bool
}

// Share hands over this node's loads and returns the sums of the others' that it asks for.
func (c *Client) Share(ctx context.Context, address string, word LoadReport) (ShareResult, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	out, err := c.clientOf(address).Share(ctx, &rpc.ShareRequest{
		Node: word.Node, Loads: encodeLoads(word.Loads), Settled: word.Settled, WithOthers: word.WithOthers,
		WithZones: word.WithZones, Limits: encodeLimits(word.Limits), WithLimits: word.WithLimits,
	})
	if err != nil {
		return ShareResult{}, c.failed("Client.Share", err)
	}
	return ShareResult{Others: decodeLoads(out.GetLoads()), Zones: decodeLoads(out.GetZones()), Limits: decodeLimits(out.GetLimits())}, nil
}

// ShareZone tells a node of another zone what the nodes of this zone have, and which
// limits changed lately.
func (c *Client) ShareZone(ctx context.Context, address, zone string, loads map[string]balance.Load, limits []balance.LimitWord) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := c.clientOf(address).Share(ctx, &rpc.ShareRequest{
		Node: zone, Loads: encodeLoads(loads), Zone: true, Limits: encodeLimits(limits),
	}); err != nil {
		return c.failed("Client.ShareZone", err)
	}
	return nil
}

// Reserve asks a node to choose a group of its zone. A caller waits meanwhile,
// so the answer must come within reserveTimeout.
func (c *Client) Reserve(ctx context.Context, address string, request fleet.PlacementRequest) (fleet.Placement, error) {
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	out, err := c.clientOf(address).Reserve(ctx, &rpc.ReserveRequest{
		Service: request.Service, Model: request.Model, PromptTokens: int32(request.Prompt), //nolint:gosec // a count of tokens
		ObjectiveMs: request.Objective.Milliseconds(), Tried: request.Tried, Shunned: request.InBackoff, GoesOn: request.Resumed,
		Node: request.Node, Ticket: request.Ticket,
	})
	if err != nil {
		return fleet.Placement{}, c.failed("Client.Reserve", err)
	}
	return fleet.Placement{
		Endpoint: out.GetEndpoint(), Predicted: time.Duration(out.GetPredictedUs()) * time.Microsecond, AlternativeZone: out.GetElsewhere(),
		Permitted: out.GetPermitted(), LimitedFor: time.Duration(out.GetLimitedUs()) * time.Microsecond,
	}, nil
}

// Permit asks a node for one request to an endpoint of a zone. A caller waits meanwhile,
// as for Reserve.
func (c *Client) Permit(ctx context.Context, address, zone string, known balance.LimitWord) (balance.Permit, error) {
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	out, err := c.clientOf(address).Permit(ctx, &rpc.PermitRequest{Zone: zone, Limit: encodeLimit(known)})
	if err != nil {
		return balance.Permit{}, c.failed("Client.Permit", err)
	}
	return balance.Permit{
		Given: out.GetGiven(), Wait: time.Duration(out.GetWaitUs()) * time.Microsecond, Limit: decodeLimit(out.GetLimit()),
	}, nil
}

// Suspect tells a node that an endpoint makes little or no progress.
func (c *Client) Suspect(ctx context.Context, address, endpointID string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := c.clientOf(address).Suspect(ctx, &rpc.SuspectRequest{Endpoint: endpointID}); err != nil {
		return c.failed("Client.Suspect", err)
	}
	return nil
}

// failed wraps an error, and drops kept connections: one that went silent must
// not swallow the next call too.
func (c *Client) failed(op string, err error) error {
	c.http.CloseIdleConnections()
	return redwinghall.NewOpError(op, fleet.StoreUnavailable, err)
}

func (c *Client) decodeAnswer(op, table string, out *rpc.RowsResponse, err error) (relay.Answer, error) {
	if err != nil {
		switch twirpCode(err) {
		case twirp.OutOfRange:
			return relay.Answer{}, redwinghall.NewOpError(op, fleet.StoreHistoryGone, err)
		case twirp.FailedPrecondition:
			return relay.Answer{}, redwinghall.NewOpError(op, fleet.StoreUnreachable, err)
		default:
			return relay.Answer{}, c.failed(op, err)
		}
	}
	if err := unpack(out); err != nil {
		return relay.Answer{}, c.failed(op, err)
	}
	answer := relay.Answer{Age: time.Duration(out.GetAgeMs()) * time.Millisecond, Rows: fleet.Rows{At: fleet.Position{Era: out.GetEra(), Version: out.GetVersion()}}}
	for _, r := range out.GetRows() {
		answer.Rows.Rows = append(answer.Rows.Rows, fleet.Row{
			Table: table, Key: r.GetKey(), Value: r.GetValue(), Version: r.GetVersion(), Removed: r.GetRemoved(),
		})
	}
	return answer, nil
}

// dialer gives up on a node that doesn't answer, and finds connections that
// went silent.
func dialer(timeout time.Duration) func(context.Context, string, string) (net.Conn, error) {
	d := &net.Dialer{Timeout: timeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: time.Second, Interval: time.Second, Count: 2,
	}}
	return d.DialContext
}
