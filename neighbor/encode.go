package neighbor

import (
	"time"

	"github.com/twitchtv/twirp"

	"redwinghall"
	"redwinghall/balance"
	"redwinghall/fleet"
	"redwinghall/neighbor/rpc"
	"redwinghall/relay"
)

func decodeTxn(in *rpc.CommitRequest) fleet.Txn {
	var txn fleet.Txn
	for _, e := range in.GetExpects() {
		txn.Expects = append(txn.Expects, fleet.Expect{Table: e.GetTable(), Key: e.GetKey(), Version: e.GetVersion()})
	}
	for _, w := range in.GetWrites() {
		txn.Writes = append(txn.Writes, fleet.Row{Table: w.GetTable(), Key: w.GetKey(), Value: w.GetValue()})
	}
	for _, d := range in.GetDeletes() {
		txn.Deletes = append(txn.Deletes, fleet.Row{Table: d.GetTable(), Key: d.GetKey()})
	}
	return txn
}

func encodeTxn(txn fleet.Txn) *rpc.CommitRequest {
	out := &rpc.CommitRequest{}
	for _, e := range txn.Expects {
		out.Expects = append(out.Expects, &rpc.Condition{Table: e.Table, Key: e.Key, Version: e.Version})
	}
	for _, w := range txn.Writes {
		out.Writes = append(out.Writes, &rpc.Write{Table: w.Table, Key: w.Key, Value: w.Value})
	}
	for _, d := range txn.Deletes {
		out.Deletes = append(out.Deletes, &rpc.Write{Table: d.Table, Key: d.Key})
	}
	return out
}

func encodeAnswer(answer relay.Answer, err error) (*rpc.RowsResponse, error) {
	switch redwinghall.KindOf[fleet.StoreKind](err) {
	case fleet.StoreHistoryGone:
		return nil, twirp.NewError(twirp.OutOfRange, err.Error())
	case fleet.StoreUnreachable:
		return nil, twirp.NewError(twirp.FailedPrecondition, err.Error())
	case "":
	default:
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	out := &rpc.RowsResponse{Version: answer.Rows.At.Version, Era: answer.Rows.At.Era, AgeMs: answer.Age.Milliseconds()}
	for _, r := range answer.Rows.Rows {
		out.Rows = append(out.Rows, &rpc.Row{Key: r.Key, Value: r.Value, Version: r.Version, Removed: r.Removed})
	}
	return out, nil
}

// twirpCode returns the code of an error returned by another node, or "" for other errors.
func twirpCode(err error) twirp.ErrorCode {
	if twirpErr, ok := err.(twirp.Error); ok { //nolint:errorlint // the library returns it unwrapped
		return twirpErr.Code()
	}
	return ""
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

func encodeLimit(limit balance.LimitReport) *rpc.Limit {
	return &rpc.Limit{Endpoint: limit.Endpoint, Named: limit.Limit.Named, PerSecond: limit.Limit.PerSecond, AgeUs: limit.Age.Microseconds()}
}

func decodeLimit(in *rpc.Limit) balance.LimitReport {
	return balance.LimitReport{
		Endpoint: in.GetEndpoint(), Limit: fleet.RateLimit{Named: in.GetNamed(), PerSecond: in.GetPerSecond()},
		Age: time.Duration(in.GetAgeUs()) * time.Microsecond,
	}
}

func encodeLimits(limits []balance.LimitReport) []*rpc.Limit {
	out := make([]*rpc.Limit, 0, len(limits))
	for _, limit := range limits {
		out = append(out, encodeLimit(limit))
	}
	return out
}

func decodeLimits(limits []*rpc.Limit) []balance.LimitReport {
	out := make([]balance.LimitReport, 0, len(limits))
	for _, limit := range limits {
		out = append(out, decodeLimit(limit))
	}
	return out
}

func encodeLeaving(reports []balance.LeavingReport) []*rpc.Leaving {
	out := make([]*rpc.Leaving, 0, len(reports))
	for _, report := range reports {
		out = append(out, &rpc.Leaving{Endpoint: report.Endpoint, StartedMs: report.StartedMillis})
	}
	return out
}

func decodeLeaving(in []*rpc.Leaving) []balance.LeavingReport {
	out := make([]balance.LeavingReport, 0, len(in))
	for _, one := range in {
		out = append(out, balance.LeavingReport{Endpoint: one.GetEndpoint(), StartedMillis: one.GetStartedMs()})
	}
	return out
}
