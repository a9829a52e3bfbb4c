package neighbor

import (
	"cmp"
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"redwinghall/kernel"
	"redwinghall/neighbor/rpc"
	"redwinghall/quarantine"
)

// trialTimeout bounds the wait for the node that grants trials. It covers a round trip between regions.
const trialTimeout = 200 * time.Millisecond

// TrialRequest asks for the permission to send a request with suspected parts.
type TrialRequest struct {
	Request string
	Service string
	Parts   []string
	// Known holds the asking node's evidence on the parts.
	Known quarantine.Report
	// Over returns the permission: the request told nothing of its parts.
	Over bool
}

// Trial asks a node for the permission to send a request, or returns it.
func (c *Client) Trial(ctx context.Context, address string, request TrialRequest) (quarantine.TrialAnswer, quarantine.Report, error) {
	ctx, cancel := kernel.WithTimeout(withAnswerSize(ctx, maxTrialAnswer), trialTimeout)
	defer cancel()
	out, err := c.clientFor(address).Trial(ctx, &rpc.TrialRequest{
		Request: request.Request, Service: request.Service, Parts: request.Parts, Report: encodeShort(request.Known), Over: request.Over,
	})
	if err != nil {
		return "", quarantine.Report{}, callError("Client.Trial", err)
	}
	return quarantine.TrialAnswer(out.GetAnswer()), decodeQuarantine(out.GetReport()), nil
}

// Quarantine sends a node this one's evidence on parts under which endpoints ended. It returns what the other
// node knows if withAll is set.
func (c *Client) Quarantine(ctx context.Context, address, node string, report quarantine.Report, withAll bool) (quarantine.Report, error) {
	ctx, cancel := kernel.WithTimeout(withAnswerSize(ctx, maxReportAnswer), callTimeout)
	defer cancel()
	out, err := c.clientFor(address).Quarantine(ctx, &rpc.QuarantineRequest{Node: node, Report: encodeQuarantine(report), WithAll: withAll})
	if err != nil {
		return quarantine.Report{}, callError("Client.Quarantine", err)
	}
	return decodeQuarantine(out.GetReport()), nil
}

// Quarantine implements rpc.Neighbor.
func (s *Server) Quarantine(_ context.Context, in *rpc.QuarantineRequest) (*rpc.QuarantineResponse, error) {
	now := time.Now()
	s.config.Quarantine.Merge(now, decodeQuarantine(in.GetReport()))
	out := &rpc.QuarantineResponse{}
	if in.GetWithAll() {
		out.Report = encodeQuarantine(s.config.Quarantine.All(now))
	}
	return out, nil
}

// Trial implements rpc.Neighbor.
func (s *Server) Trial(_ context.Context, in *rpc.TrialRequest) (*rpc.TrialResponse, error) {
	now := time.Now()
	s.config.Quarantine.Merge(now, decodeQuarantine(in.GetReport()))
	if in.GetOver() {
		s.config.Quarantine.EndTrial(in.GetRequest())
		return &rpc.TrialResponse{}, nil
	}
	answer := s.config.Quarantine.RequestTrial(now, in.GetRequest(), in.GetService(), in.GetParts())
	return &rpc.TrialResponse{Answer: string(answer), Report: encodeShort(s.config.Quarantine.About(now, in.GetService(), in.GetParts()))}, nil
}

// encodeShort encodes a report on the parts of one request. If all its suspects take more than maxTrialReport, it has those that
// say most: of trials, and the newest.
func encodeShort(report quarantine.Report) *rpc.QuarantineReport {
	out := encodeQuarantine(report)
	slices.SortStableFunc(out.Suspects, func(a, b *rpc.PartSuspect) int {
		switch {
		case a.GetTrial() == b.GetTrial():
			return cmp.Compare(a.GetAgeUs(), b.GetAgeUs())
		case a.GetTrial():
			return -1
		}
		return 1
	})
	for len(out.GetSuspects()) > 1 && proto.Size(out) > maxTrialReport {
		out.Suspects = out.GetSuspects()[:len(out.GetSuspects())/2]
	}
	return out
}

func encodeQuarantine(report quarantine.Report) *rpc.QuarantineReport {
	out := &rpc.QuarantineReport{}
	for _, one := range report.Suspects {
		s := one.Suspect
		out.Suspects = append(out.Suspects, &rpc.PartSuspect{
			Endpoint: s.Process.Endpoint, StartedMs: s.Process.StartedMillis, Request: s.Request, Service: s.Service, Parts: s.Parts, Trial: s.Trial,
			AgeUs: one.Age.Microseconds(),
		})
	}
	for _, one := range report.Cleared {
		out.Cleared = append(out.Cleared, &rpc.PartCleared{Service: one.Part.Service, Id: one.Part.ID, AgeUs: one.Age.Microseconds()})
	}
	return out
}

func decodeQuarantine(in *rpc.QuarantineReport) quarantine.Report {
	var report quarantine.Report
	for _, one := range in.GetSuspects() {
		report.Suspects = append(report.Suspects, quarantine.SuspectReport{
			Suspect: quarantine.Suspect{
				Process: quarantine.Process{Endpoint: one.GetEndpoint(), StartedMillis: one.GetStartedMs()},
				Request: one.GetRequest(), Service: one.GetService(), Parts: one.GetParts(), Trial: one.GetTrial(),
			},
			Age: time.Duration(one.GetAgeUs()) * time.Microsecond,
		})
	}
	for _, one := range in.GetCleared() {
		report.Cleared = append(report.Cleared, quarantine.ClearedReport{
			Part: quarantine.Part{Service: one.GetService(), ID: one.GetId()}, Age: time.Duration(one.GetAgeUs()) * time.Microsecond,
		})
	}
	return report
}
