package neighbor

import (
	"time"

	"redwinghall"
	"redwinghall/neighbor/rpc"
)

func encodeWishes(wishes []redwinghall.RoomWish) []*rpc.RoomWish {
	out := make([]*rpc.RoomWish, 0, len(wishes))
	for _, w := range wishes {
		out = append(out, &rpc.RoomWish{
			Service: w.Service, Model: w.Model, ObjectiveMs: w.Objective.Milliseconds(), GainUs: w.Gain.Microseconds(),
			Urgency: int32(w.Urgency), Streams: int32(w.Streams), //nolint:gosec // small numbers
		})
	}
	return out
}

func decodeWish(in *rpc.RoomWish) redwinghall.RoomWish {
	return redwinghall.RoomWish{
		Service: in.GetService(), Model: in.GetModel(), Urgency: int(in.GetUrgency()), Objective: time.Duration(in.GetObjectiveMs()) * time.Millisecond,
		Streams: int(in.GetStreams()), Gain: time.Duration(in.GetGainUs()) * time.Microsecond,
	}
}

func encodeLoan(loan redwinghall.RoomLoan) *rpc.RoomLoan {
	return &rpc.RoomLoan{
		Service: loan.Service, Model: loan.Model, LastsUs: loan.Lasts.Microseconds(),
		Urgency: int32(loan.Urgency), Streams: int32(loan.Streams), //nolint:gosec // small numbers
	}
}

func decodeLoans(in []*rpc.RoomLoan) []redwinghall.RoomLoan {
	loans := make([]redwinghall.RoomLoan, 0, len(in))
	for _, l := range in {
		loans = append(loans, redwinghall.RoomLoan{
			Service: l.GetService(), Model: l.GetModel(), Urgency: int(l.GetUrgency()), Streams: int(l.GetStreams()),
			Lasts: time.Duration(l.GetLastsUs()) * time.Microsecond,
		})
	}
	return loans
}

func encodeUses(uses []redwinghall.AccountUse) []*rpc.AccountUse {
	var out []*rpc.AccountUse
	for _, u := range uses {
		out = append(out, &rpc.AccountUse{
			Service: u.Service, Model: u.Model, Account: u.Account, Urgency: int32(u.Urgency), //nolint:gosec // a small number
			AskedUs: u.Asked.Microseconds(), GivenUs: u.Given.Microseconds(),
		})
	}
	return out
}

func decodeUses(in []*rpc.AccountUse) []redwinghall.AccountUse {
	var uses []redwinghall.AccountUse
	for _, u := range in {
		uses = append(uses, redwinghall.AccountUse{
			Service: u.GetService(), Model: u.GetModel(), Account: u.GetAccount(), Urgency: int(u.GetUrgency()),
			Asked: usedTime(u.GetAskedUs()), Given: usedTime(u.GetGivenUs()),
		})
	}
	return uses
}

// maxUsed is more than the work that a deployment's groups do in a second.
const maxUsed = 10 * time.Hour

func usedTime(microseconds int64) time.Duration {
	return time.Duration(min(max(microseconds, 0), maxUsed.Microseconds())) * time.Microsecond
}
