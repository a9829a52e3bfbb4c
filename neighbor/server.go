package neighbor

import (
	"context"
	"net/http"
	"time"

	"github.com/twitchtv/twirp"

	"redwinghall"
	"redwinghall/balance"
	"redwinghall/fleet"
	"redwinghall/neighbor/rpc"
	"redwinghall/quarantine"
	"redwinghall/relay"
	"redwinghall/silence"
)

// maxChangesWait bounds how long a call of Changes may wait.
const maxChangesWait = 5 * time.Second

// ServerConfig holds what a Server needs to answer the calls of other nodes.
type ServerConfig struct {
	Mirror  func(table string) *relay.Mirror
	Loads   *LoadTable
	Suspect func(ctx context.Context, endpointID string)
	// SuspectGroup is called for a head from which no node of its zone gets events. It reports whether the
	// group is known to have lost a member. It may be nil, as may OnProgress and StillHeads.
	SuspectGroup func(ctx context.Context, headID string) (lost bool)
	// OnProgress is called with what a node of this zone sees of the heads that it has streams at, and
	// StillHeads returns those from which no node gets events.
	OnProgress func(now time.Time, node string, report silence.Report)
	StillHeads func(now time.Time) []StillHead
	// OnLoads is called when a node of this zone reports its loads, which it stores in Loads.
	OnLoads func(now time.Time, node string, loads map[string]balance.Load, lowestOpenTicket uint64)
	// OnStreams is called with what a node's request for a group says about its streams,
	// before Reserve.
	OnStreams func(now time.Time, request fleet.PlacementRequest, streams StreamReport)
	// Reserve chooses a group of this zone for another node's stream. ok is false if this
	// node lacks the information to choose.
	Reserve func(now time.Time, request fleet.PlacementRequest) (placement fleet.Placement, ok bool)
	// Tracker tracks what endpoints ask of the nodes.
	Tracker *balance.Tracker
	// OnLeaving is called with the endpoints of which a node reports that they leave.
	OnLeaving func(now time.Time, from string, reports []balance.LeavingReport)
	// Permit grants or denies one request to an endpoint of a zone.
	Permit func(now time.Time, zone string, known balance.LimitReport) balance.Permit
	// Quarantine holds the parts of prompts under which endpoints ended.
	Quarantine *quarantine.Table
	// Lend decides how much room of this zone another zone gets; nil if none is lent.
	Lend func(now time.Time, borrower string, wish redwinghall.RoomWish) redwinghall.RoomLoan
	// OnUses is called with what client accounts asked and got at a node of this zone, or in
	// another zone; nil if nobody needs it.
	OnUses func(now time.Time, from string, otherZone bool, uses []redwinghall.AccountUse)
	// UsesFor returns what client accounts asked and got, as far as a node of this zone
	// needs it; nil if none does.
	UsesFor func(now time.Time, node string) []redwinghall.AccountUse
	// Commit commits a transaction directly at the store.
	Commit func(ctx context.Context, txn fleet.Txn) (fleet.Position, error)
}

// Server implements the calls of other nodes.
type Server struct {
	config     ServerConfig
	compressor rowCompressor
}

var _ rpc.Neighbor = (*Server)(nil)

// NewHandler returns the HTTP handler for the internal address of a node.
func NewHandler(config ServerConfig) http.Handler {
	return newBoundedHandler(rpc.NewNeighborServer(&Server{config: config, compressor: rowCompressor{last: map[string]compressedRows{}}}))
}

// List implements rpc.Neighbor.
func (s *Server) List(ctx context.Context, in *rpc.ListRequest) (*rpc.RowsResponse, error) {
	answer, err := s.config.Mirror(in.GetTable()).List(ctx)
	out, err := encodeAnswer(answer, err)
	if err != nil {
		return nil, err
	}
	if err := s.compressor.compress("List "+in.GetTable(), fleet.Position{}, out); err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return out, nil
}

// Changes implements rpc.Neighbor.
func (s *Server) Changes(ctx context.Context, in *rpc.ChangesRequest) (*rpc.RowsResponse, error) {
	wait := min(time.Duration(in.GetWaitMs())*time.Millisecond, maxChangesWait)
	after := fleet.Position{Era: in.GetEra(), Version: in.GetAfter()}
	answer, err := s.config.Mirror(in.GetTable()).Changes(ctx, after, wait)
	out, err := encodeAnswer(answer, err)
	if err != nil {
		return nil, err
	}
	if err := s.compressor.compress("Changes "+in.GetTable(), after, out); err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return out, nil
}

// Share implements rpc.Neighbor.
func (s *Server) Share(_ context.Context, in *rpc.ShareRequest) (*rpc.ShareResponse, error) {
	now := time.Now()
	s.config.Tracker.MergeLimits(now, decodeLimits(in.GetLimits()))
	s.config.OnLeaving(now, in.GetNode(), decodeLeaving(in.GetLeaving()))
	if uses := decodeUses(in.GetUses()); len(uses) > 0 && s.config.OnUses != nil {
		s.config.OnUses(now, in.GetNode(), in.GetZone(), uses)
	}
	if in.GetZone() {
		s.config.Tracker.RecordRejectingElsewhere(now, in.GetRejecting())
		s.config.Loads.SetZone(now, in.GetNode(), decodeLoads(in.GetLoads()))
		return &rpc.ShareResponse{Quarantine: s.config.Quarantine.Digest()}, nil
	}
	s.config.Tracker.RecordRejecting(now, in.GetRejecting())
	loads := decodeLoads(in.GetLoads())
	s.config.OnLoads(now, in.GetNode(), loads, in.GetSettled())
	s.recordProgress(now, in, loads)
	out := &rpc.ShareResponse{
		Limits: encodeLimits(s.config.Tracker.ChangedLimits(now)), Rejecting: s.config.Tracker.Rejecting(now),
		Leaving: encodeLeaving(s.config.Tracker.RecentlyLeaving(now)), Quarantine: s.config.Quarantine.Digest(),
		Still: s.stillHeads(now),
	}
	if in.GetWithOthers() && s.config.UsesFor != nil {
		out.Uses = encodeUses(s.config.UsesFor(now, in.GetNode()))
	}
	if in.GetWithLimits() {
		out.Limits = encodeLimits(s.config.Tracker.Limits(now))
	}
	if in.GetWithOthers() {
		out.Loads = encodeLoads(s.config.Loads.SumOfOthers(now, in.GetNode()))
	}
	if in.GetWithZones() {
		out.Zones = encodeLoads(s.config.Loads.SumOfOtherZones(now))
	}
	return out, nil
}

// Reserve implements rpc.Neighbor.
func (s *Server) Reserve(_ context.Context, in *rpc.ReserveRequest) (*rpc.ReserveResponse, error) {
	now := time.Now()
	request := fleet.PlacementRequest{
		Service: in.GetService(), Model: in.GetModel(), Prompt: int(in.GetPromptTokens()),
		Objective: time.Duration(in.GetObjectiveMs()) * time.Millisecond, Tried: in.GetTried(), InBackoff: in.GetShunned(), InRetryAfter: in.GetInRetryAfter(), Resumed: in.GetGoesOn(),
		Node: in.GetNode(), Ticket: in.GetTicket(), Zone: in.GetZone(), Urgency: int(in.GetUrgency()), Account: in.GetAccount(),
		Answer: int(in.GetAnswerTokens()), OnLoan: in.GetOnLoan(), Left: time.Duration(in.GetLeftUs()) * time.Microsecond,
	}
	if in.GetSettled() > 0 && s.config.OnStreams != nil {
		s.config.OnStreams(now, request, StreamReport{
			Loads: decodeLoads(in.GetLoads()), Settled: balance.Settled{Below: in.GetSettled(), Open: in.GetOpen()},
		})
	}
	placement, ok := s.config.Reserve(now, request)
	if !ok {
		return nil, twirp.NewError(twirp.Unavailable, "the service or its model isn't known here")
	}
	return &rpc.ReserveResponse{
		Endpoint: placement.Endpoint, PredictedUs: placement.Predicted.Microseconds(), Elsewhere: placement.AlternativeZone,
		Permitted: placement.Permitted, LimitedUs: placement.LimitedFor.Microseconds(), RetryAfterUs: placement.RetryAfter.Microseconds(),
		Reason: placement.Reason, OnLoan: placement.OnLoan,
	}, nil
}

// Permit implements rpc.Neighbor.
func (s *Server) Permit(_ context.Context, in *rpc.PermitRequest) (*rpc.PermitResponse, error) {
	permit := s.config.Permit(time.Now(), in.GetZone(), decodeLimit(in.GetLimit()))
	return &rpc.PermitResponse{Given: permit.Given, WaitUs: permit.Wait.Microseconds(), Limit: encodeLimit(permit.Limit)}, nil
}

// Lend implements rpc.Neighbor.
func (s *Server) Lend(_ context.Context, in *rpc.LendRequest) (*rpc.LendResponse, error) {
	out := &rpc.LendResponse{}
	if s.config.Lend == nil {
		return out, nil
	}
	now := time.Now()
	for _, wish := range in.GetWishes() {
		if loan := s.config.Lend(now, in.GetZone(), decodeWish(wish)); loan.Streams > 0 {
			out.Loans = append(out.Loans, encodeLoan(loan))
		}
	}
	return out, nil
}

// Suspect implements rpc.Neighbor.
func (s *Server) Suspect(_ context.Context, in *rpc.SuspectRequest) (*rpc.SuspectResponse, error) {
	s.config.Suspect(context.Background(), in.GetEndpoint())
	return &rpc.SuspectResponse{}, nil
}

// SuspectGroup implements rpc.Neighbor.
func (s *Server) SuspectGroup(_ context.Context, in *rpc.SuspectRequest) (*rpc.SuspectResponse, error) {
	if s.config.SuspectGroup == nil {
		return nil, twirp.NewError(twirp.Unimplemented, "this node forms no groups")
	}
	return &rpc.SuspectResponse{Lost: s.config.SuspectGroup(context.Background(), in.GetEndpoint())}, nil
}

// Commit implements rpc.Neighbor.
func (s *Server) Commit(ctx context.Context, in *rpc.CommitRequest) (*rpc.CommitResponse, error) {
	at, err := s.config.Commit(ctx, decodeTxn(in))
	switch redwinghall.KindOf[fleet.StoreKind](err) {
	case "":
		return &rpc.CommitResponse{Version: at.Version, Era: at.Era}, nil
	case fleet.StoreConflict:
		return nil, twirp.NewError(twirp.FailedPrecondition, err.Error())
	case fleet.StoreUnavailable:
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	return nil, twirp.NewError(twirp.Unknown, err.Error())
}
