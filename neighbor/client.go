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
	"redwinghall/dial"
	"redwinghall/fleet"
	"redwinghall/httpanswer"
	"redwinghall/kernel"
	"redwinghall/neighbor/rpc"
	"redwinghall/relay"
)

// Timeouts and connection limits of calls to other nodes.
const (
	callTimeout = 500 * time.Millisecond
	// listTimeout bounds the wait for the next bytes of a full table, which the other node may
	// not have read yet.
	listTimeout = time.Second
	// reserveTimeout bounds how long a caller waits until a group is chosen. It is a small
	// part of a latency objective and many times the round-trip time.
	reserveTimeout = 40 * time.Millisecond
	// dialTimeout is many round-trip times. When all nodes start at once, the first ones
	// wait that long for a reader that isn't up yet.
	dialTimeout = 100 * time.Millisecond
	maxIdle     = 8
	idleTimeout = 30 * time.Second
)

// Client calls other nodes.
type Client struct {
	http    *http.Client
	unpacks sync.Mutex // of one answer at a time
	mu      sync.Mutex
	clients map[string]rpc.Neighbor // by address
}

var _ relay.PeerClient = (*Client)(nil)

// NewClient returns a client without connections.
func NewClient() *Client {
	return &Client{clients: map[string]rpc.Neighbor{}, http: &http.Client{Transport: sizedTransport{&bodyMemory{limit: maxAnswers}, newAnsweringTransport(httpanswer.New(&http.Transport{
		DialContext: dialWithin(dialTimeout), MaxIdleConnsPerHost: maxIdle, IdleConnTimeout: idleTimeout, DisableCompression: true, MaxResponseHeaderBytes: maxCallHeadBytes,
	}))}}}
}

func (c *Client) clientFor(address string) rpc.Neighbor {
	c.mu.Lock()
	defer c.mu.Unlock()
	one, ok := c.clients[address]
	if !ok {
		one = rpc.NewNeighborProtobufClient((&url.URL{Scheme: "http", Host: address}).String(), c.http)
		c.clients[address] = one
	}
	return one
}

// List implements relay.PeerClient.
func (c *Client) List(ctx context.Context, address, table string) (relay.Answer, error) {
	ctx, cancel := withIdleTimeout(withAnswerSize(ctx, maxRowsAnswer), listTimeout)
	defer cancel()
	out, err := c.clientFor(address).List(ctx, &rpc.ListRequest{Table: table})
	return c.decodeAnswer("Client.List", table, out, err)
}

// Changes implements relay.PeerClient.
func (c *Client) Changes(ctx context.Context, address, table string, after fleet.Position, wait time.Duration) (relay.Answer, error) {
	ctx, cancel := withIdleTimeout(withAnswerSize(ctx, maxRowsAnswer), wait+callTimeout)
	defer cancel()
	out, err := c.clientFor(address).Changes(ctx, &rpc.ChangesRequest{Table: table, After: after.Version, Era: after.Era, WaitMs: wait.Milliseconds()})
	return c.decodeAnswer("Client.Changes", table, out, err)
}

// Commit implements relay.PeerClient.
func (c *Client) Commit(ctx context.Context, address string, txn fleet.Txn) (fleet.Position, error) {
	ctx, cancel := kernel.WithTimeout(ctx, callTimeout)
	defer cancel()
	out, err := c.clientFor(address).Commit(ctx, encodeTxn(txn))
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

// ShareResult is what a node receives in return for its LoadReport.
type ShareResult struct {
	Others map[string]balance.Load // loads from the other nodes of the zone, if requested
	Zones  map[string]balance.Load // loads from the other zones, if requested
	Limits []balance.LimitReport   // limits that changed recently, or all if requested
	// Rejecting holds the endpoints that asked some nodes to send nothing for some time.
	Rejecting []string
	// Leaving holds the endpoints of which the other node recently learned that they leave.
	Leaving []balance.LeavingReport
	// Uses holds what client accounts asked and got at other nodes and zones.
	Uses []redwinghall.AccountUse
	// Quarantine is the digest of the parts of prompts under which endpoints ended, as the other
	// node knows them.
	Quarantine uint64
	// Still holds the heads from which no node of the zone gets events.
	Still []StillHead
}

// LoadReport is what a node reports about its loads.
type LoadReport struct {
	Node  string
	Loads map[string]balance.Load
	// LowestOpenTicket is the node's lowest ticket that is still open. Loads includes all
	// streams with lower tickets.
	LowestOpenTicket uint64
	// WithOthers requests the loads from the other nodes of the zone, WithZones those from
	// the other zones.
	WithOthers, WithZones bool
	// Limits holds the limits that endpoints recently reported to the node itself.
	Limits []balance.LimitReport
	// WithLimits requests all limits in force, not only those that changed.
	WithLimits bool
	// Rejecting holds the endpoints that asked the node itself to send nothing for some
	// time.
	Rejecting []string
	// Leaving holds the endpoints of which the node recently learned that they leave.
	Leaving []balance.LeavingReport
	// Still holds the heads from which the node's begun streams get no events, with the time since the
	// newest one.
	Still map[string]time.Duration
	// Uses holds what client accounts asked and got at the node.
	Uses []redwinghall.AccountUse
}

// ZoneReport is what a node reports to another zone about its own.
type ZoneReport struct {
	Zone  string
	Loads map[string]balance.Load
	// Limits holds the limits that changed recently.
	Limits []balance.LimitReport
	// Rejecting holds the endpoints that asked nodes of the zone to send nothing for some
	// time.
	Rejecting []string
	// Leaving holds the endpoints of which the zone recently learned that they leave.
	Leaving []balance.LeavingReport
	// Uses holds what client accounts asked and got in the zone.
	Uses []redwinghall.AccountUse
}

// Share reports this node's loads and returns the total loads that the report requests.
func (c *Client) Share(ctx context.Context, address string, report LoadReport) (ShareResult, error) {
	ctx, cancel := kernel.WithTimeout(withAnswerSize(ctx, maxReportAnswer), callTimeout)
	defer cancel()
	out, err := c.clientFor(address).Share(ctx, &rpc.ShareRequest{
		Node: report.Node, Loads: encodeLoads(report.Loads), Settled: report.LowestOpenTicket, WithOthers: report.WithOthers,
		WithZones: report.WithZones, Limits: encodeLimits(report.Limits), WithLimits: report.WithLimits, Rejecting: report.Rejecting,
		Leaving: encodeLeaving(report.Leaving), Still: encodeStill(report.Still), Uses: encodeUses(report.Uses),
	})
	if err != nil {
		return ShareResult{}, callError("Client.Share", err)
	}
	return ShareResult{
		Others: decodeLoads(out.GetLoads()), Zones: decodeLoads(out.GetZones()), Limits: decodeLimits(out.GetLimits()), Rejecting: out.GetRejecting(),
		Leaving: decodeLeaving(out.GetLeaving()), Quarantine: out.GetQuarantine(), Still: decodeStillHeads(out.GetStill()), Uses: decodeUses(out.GetUses()),
	}, nil
}

// ShareZone reports to a node of another zone. It returns the other node's digest of the parts of prompts
// under which endpoints ended.
func (c *Client) ShareZone(ctx context.Context, address string, report ZoneReport) (quarantineDigest uint64, err error) {
	ctx, cancel := kernel.WithTimeout(withAnswerSize(ctx, maxReportAnswer), callTimeout)
	defer cancel()
	out, err := c.clientFor(address).Share(ctx, &rpc.ShareRequest{
		Node: report.Zone, Loads: encodeLoads(report.Loads), Zone: true, Limits: encodeLimits(report.Limits), Rejecting: report.Rejecting,
		Leaving: encodeLeaving(report.Leaving), Uses: encodeUses(report.Uses),
	})
	if err != nil {
		return 0, callError("Client.ShareZone", err)
	}
	return out.GetQuarantine(), nil
}

// Reserve asks a node to choose a group of its zone, and tells it what changed in this
// node's streams. A caller is waiting, so the call
// times out after reserveTimeout.
func (c *Client) Reserve(ctx context.Context, address string, request fleet.PlacementRequest, streams StreamReport) (fleet.Placement, error) {
	ctx, cancel := kernel.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	out, err := c.clientFor(address).Reserve(ctx, &rpc.ReserveRequest{
		Service: request.Service, Model: request.Model, PromptTokens: int32(request.Prompt), //nolint:gosec // a count of tokens
		ObjectiveMs: request.Objective.Milliseconds(), Tried: request.Tried, Shunned: request.InBackoff, InRetryAfter: request.InRetryAfter, GoesOn: request.Resumed,
		Node: request.Node, Ticket: request.Ticket, Zone: request.Zone, Account: request.Account, OnLoan: request.OnLoan,
		Urgency: int32(request.Urgency), AnswerTokens: int32(request.Answer), //nolint:gosec // small numbers
		LeftUs: request.Left.Microseconds(), Loads: encodeLoads(streams.Loads), Settled: streams.Settled.Below, Open: streams.Settled.Open,
	})
	if err != nil {
		return fleet.Placement{}, callError("Client.Reserve", err)
	}
	return fleet.Placement{
		Endpoint: out.GetEndpoint(), Predicted: time.Duration(out.GetPredictedUs()) * time.Microsecond, AlternativeZone: out.GetElsewhere(),
		Permitted: out.GetPermitted(), LimitedFor: time.Duration(out.GetLimitedUs()) * time.Microsecond,
		RetryAfter: time.Duration(out.GetRetryAfterUs()) * time.Microsecond, Reason: out.GetReason(), OnLoan: out.GetOnLoan(),
	}, nil
}

// Permit requests a permit for one request to an endpoint of a zone. A caller is waiting,
// as in Reserve.
func (c *Client) Permit(ctx context.Context, address, zone string, known balance.LimitReport) (balance.Permit, error) {
	ctx, cancel := kernel.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	out, err := c.clientFor(address).Permit(ctx, &rpc.PermitRequest{Zone: zone, Limit: encodeLimit(known)})
	if err != nil {
		return balance.Permit{}, callError("Client.Permit", err)
	}
	return balance.Permit{
		Given: out.GetGiven(), Wait: time.Duration(out.GetWaitUs()) * time.Microsecond, Limit: decodeLimit(out.GetLimit()),
	}, nil
}

// Lend asks a node of another zone to lend room of its zone to a zone.
func (c *Client) Lend(ctx context.Context, address, borrower string, wishes []redwinghall.RoomWish) ([]redwinghall.RoomLoan, error) {
	ctx, cancel := kernel.WithTimeout(withAnswerSize(ctx, maxReportAnswer), callTimeout)
	defer cancel()
	out, err := c.clientFor(address).Lend(ctx, &rpc.LendRequest{Zone: borrower, Wishes: encodeWishes(wishes)})
	if err != nil {
		return nil, callError("Client.Lend", err)
	}
	return decodeLoans(out.GetLoans()), nil
}

// Suspect reports to a node that an endpoint makes little or no progress.
func (c *Client) Suspect(ctx context.Context, address, endpointID string) error {
	ctx, cancel := kernel.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := c.clientFor(address).Suspect(ctx, &rpc.SuspectRequest{Endpoint: endpointID}); err != nil {
		return callError("Client.Suspect", err)
	}
	return nil
}

// SuspectGroup reports to a node that no node of a zone gets events from the group of an endpoint. It returns whether
// the group is known to have lost a member.
func (c *Client) SuspectGroup(ctx context.Context, address, headID string) (lost bool, err error) {
	ctx, cancel := kernel.WithTimeout(ctx, callTimeout)
	defer cancel()
	out, err := c.clientFor(address).SuspectGroup(ctx, &rpc.SuspectRequest{Endpoint: headID})
	if err != nil {
		return false, callError("Client.SuspectGroup", err)
	}
	return out.GetLost(), nil
}

func callError(op string, err error) error {
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
			return relay.Answer{}, callError(op, err)
		}
	}
	answer := relay.Answer{Age: time.Duration(out.GetAgeMs()) * time.Millisecond, Rows: fleet.Rows{At: fleet.Position{Era: out.GetEra(), Version: out.GetVersion()}}}
	for _, r := range out.GetRows() {
		answer.Rows.Rows = append(answer.Rows.Rows, fleet.Row{
			Table: table, Key: r.GetKey(), Value: r.GetValue(), Version: r.GetVersion(), Removed: r.GetRemoved(),
		})
	}
	if len(out.GetPacked()) == 0 {
		return answer, nil
	}
	c.unpacks.Lock()
	defer c.unpacks.Unlock()
	if answer.Rows.Rows, err = unpack(table, out.GetPacked()); err != nil {
		return relay.Answer{}, callError(op, err)
	}
	return answer, nil
}

// dialWithin returns a dial function with a timeout, whose connections end when the other node no longer responds.
func dialWithin(timeout time.Duration) dial.Func {
	return dial.WithTimeout(dial.NewDialer().DialContext, timeout)
}
