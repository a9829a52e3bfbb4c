package neighbor

import (
	"maps"
	"slices"
	"time"

	"redwinghall/balance"
	"redwinghall/neighbor/rpc"
	"redwinghall/silence"
)

// StillHead is the head of a group from which no node of a zone gets events.
type StillHead struct {
	Endpoint string
	Lost     bool // the group is known to have lost a member
}

// progressOf returns what a node sees of heads, from the loads that it has there and those that are still.
func progressOf(loads map[string]balance.Load, still map[string]time.Duration) silence.Report {
	report := silence.Report{Still: still}
	for id, load := range loads {
		if _, isStill := still[id]; !isStill && load.Requests > load.Unstarted {
			report.Moving = append(report.Moving, id)
		}
	}
	return report
}

// recordProgress passes on what the calling node sees of heads.
func (s *Server) recordProgress(now time.Time, in *rpc.ShareRequest, loads map[string]balance.Load) {
	if s.config.OnProgress != nil {
		s.config.OnProgress(now, in.GetNode(), progressOf(loads, decodeStill(in.GetStill())))
	}
}

// stillHeads returns the still heads for the response to the calling node.
func (s *Server) stillHeads(now time.Time) []*rpc.StillHead {
	if s.config.StillHeads == nil {
		return nil
	}
	return encodeStillHeads(s.config.StillHeads(now))
}

func encodeStill(still map[string]time.Duration) []*rpc.StillHead {
	out := make([]*rpc.StillHead, 0, len(still))
	for _, id := range slices.Sorted(maps.Keys(still)) {
		out = append(out, &rpc.StillHead{Endpoint: id, StillUs: still[id].Microseconds()})
	}
	return out
}

func decodeStill(in []*rpc.StillHead) map[string]time.Duration {
	out := make(map[string]time.Duration, len(in))
	for _, one := range in {
		out[one.GetEndpoint()] = time.Duration(one.GetStillUs()) * time.Microsecond
	}
	return out
}

func encodeStillHeads(heads []StillHead) []*rpc.StillHead {
	out := make([]*rpc.StillHead, 0, len(heads))
	for _, one := range heads {
		out = append(out, &rpc.StillHead{Endpoint: one.Endpoint, Lost: one.Lost})
	}
	return out
}

func decodeStillHeads(in []*rpc.StillHead) []StillHead {
	out := make([]StillHead, 0, len(in))
	for _, one := range in {
		out = append(out, StillHead{Endpoint: one.GetEndpoint(), Lost: one.GetLost()})
	}
	return out
}
