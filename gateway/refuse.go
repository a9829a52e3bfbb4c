package gateway

import (
	"encoding/json"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"redwinghall"
	"redwinghall/balance"
	"redwinghall/heldmemory"
	"redwinghall/kernel"
	"redwinghall/platform"
)

// refusal is an error response that the gateway generates itself. Statuses 429 and
// 503 guarantee that the request was not and will not be executed; 502 and 504
// guarantee nothing.
type refusal struct {
	status     int
	reason     string
	retryAfter time.Duration
	// predicted is the prediction that led to the refusal, if any: the time to the
	// first event or, on a stopping node, to the end of the response.
	predicted time.Duration
	// best is the endpoint that would have been chosen, "" if there was none; running
	// and loadAge are its load at this node and the age of that figure.
	best    string
	running int
	loadAge time.Duration
	// nodeLeft is the time until a stopping node ends, 0 if it is not stopping.
	nodeLeft time.Duration
	// inBackoff is the number of endpoints that were skipped as they didn't answer.
	inBackoff int
	// limit is the limit that the request exceeded, if its room is for others.
	limit redwinghall.AdmissionLimit
}

func fromBalance(r *balance.Refusal) refusal {
	return refusal{
		status: http.StatusServiceUnavailable, reason: r.Reason, retryAfter: r.RetryAfter, predicted: r.Predicted,
		best: r.Best, running: r.Running, loadAge: r.Age, inBackoff: r.InBackoff, limit: r.Limit,
	}
}

// startupRetryAfter is the Retry-After of a node that has just started and has not
// read any endpoint entries.
const startupRetryAfter = 300 * time.Millisecond

// noEndpointRefusal returns the refusal of a request for which no endpoint was
// chosen. A node that has not read any entries yet will have endpoints soon, so its
// refusals have a reason of their own and a shorter Retry-After.
func (g *Gateway) noEndpointRefusal(refused *balance.Refusal) refusal {
	why := fromBalance(refused)
	if refused.Reason == balance.NoEndpoint && g.Cache.Read().IsZero() {
		why.reason, why.retryAfter = "endpoints_unknown", startupRetryAfter
	}
	return why
}

// rejectedRefusal returns the refusal of a request that an endpoint rejected and that is
// not tried again. If all endpoints asked for nothing, it names the time until the first of
// them may be asked.
func (g *Gateway) rejectedRefusal(r *Request) refusal {
	view := g.Cache.View()
	endpoints := view.ByService[r.Service.Name]
	if r.Service.Engine != nil {
		endpoints = view.Heads(r.Service.Name, r.Info.Model)
	}
	if refused := g.Tracker.RefusalWithinRetryAfters(time.Now(), endpoints, view.ZonesOut, g.balanceRequest(r, nil)); refused != nil {
		return fromBalance(refused)
	}
	return refusal{status: http.StatusServiceUnavailable, reason: "endpoint_busy", retryAfter: defaultRetryAfter}
}

type refusalBody struct {
	Error     string `json:"error"`
	RequestID string `json:"request_id,omitempty"`
}

// refuse sends an error response immediately, so that the caller has time left to try
// another node.
func (g *Gateway) refuse(w http.ResponseWriter, r *Request, why refusal) {
	klog.InfoS("refused", "request", r.Info.ID, "status", why.status, "reason", why.reason, "account", r.account(),
		"route", routeName(r), "predicted", why.predicted, "objective", routeObjective(r), "best", why.best, "running", why.running,
		"load_age", why.loadAge, "node_left", why.nodeLeft, "retry_after", why.retryAfter, "held", time.Since(r.Arrived),
		"configuration", r.configVersion(), "since_confirmed", g.Cache.SinceConfirmed(time.Now()), "in_backoff", why.inBackoff, "since_answer", g.Tracker.SinceAnswer(time.Now()),
		"caller_left", r.callerLeft(), "urgency", urgencyOf(r), "limit", why.limit.Predicted, "ahead", why.limit.Ahead, "asked", why.limit.Asked,
		"given", why.limit.Given, "due", why.limit.Due)
	g.Metrics.Refused(r, why)
	if err := writeRefusal(w, r, why); err != nil {
		g.logUnanswered("caller_gone", r, goneReason(r), "refusal", why.reason, "err", err)
	}
}

func writeRefusal(w http.ResponseWriter, r *Request, why refusal) error {
	h := w.Header()
	platform.SetRequestID(h, r.Info.ID)
	h.Set("Content-Type", "application/json")
	if why.retryAfter > 0 {
		seconds := math.Ceil(why.retryAfter.Seconds()*1000) / 1000
		h.Set("Retry-After", strconv.FormatFloat(seconds, 'f', -1, 64))
	}
	body, err := json.Marshal(refusalBody{Error: why.reason, RequestID: r.Info.ID})
	if err != nil {
		klog.ErrorS(err, "refusal_unwritten", "request", r.Info.ID)
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(why.status)
	_, err = w.Write(body)
	return err
}

func routeName(r *Request) string {
	if r.Route == nil {
		return ""
	}
	return r.Route.Name
}

func urgencyOf(r *Request) int {
	if r.Route == nil {
		return 0
	}
	return r.Priority()
}

func routeObjective(r *Request) time.Duration {
	if r.Route == nil {
		return 0
	}
	return r.Route.Objective
}

func hash(id string) uint64 { return xxhash.Sum64String(id) }

// refuseBody ends a request whose body could not be read completely. read is how many bytes were.
func (g *Gateway) refuseBody(w http.ResponseWriter, r *Request, read int, err error) {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, heldmemory.ErrTooLarge), errors.As(err, &tooLarge):
		g.refuse(w, r, refusal{status: http.StatusRequestEntityTooLarge, reason: "body_too_large"})
		return
	case errors.Is(err, heldmemory.ErrNoMemory):
		g.refuseMemory(w, r, heldmemory.Bodies, read)
		return
	case r.isEnded():
		w.Header().Set("Connection", "close")
		g.refuse(w, r, goneRefusal(r, false))
		return
	case errors.Is(err, heldmemory.ErrSlow):
		klog.InfoS("body_slow", "request", r.Info.ID, "read", read, "pressed", r.memory.Pressed(), "took", kernel.RunTime(r.Arrived, time.Now()))
		g.refuse(w, r, refusal{status: http.StatusRequestTimeout, reason: "body_slow"})
		return
	}
	why := refusal{status: http.StatusBadRequest, reason: "body_unreadable"}
	w.Header().Set("Connection", "close")
	if !bodyBrokeOff(err) {
		g.refuse(w, r, why)
		return
	}
	g.logUnanswered("request_broken_off", r, goneReason(r), "body_read", read, "err", err)
	_ = writeRefusal(w, r, why) // the caller has left, or only shut its sending side
}

// bodyBrokeOff reports whether a body ended with its connection, and not as it can't be read.
func bodyBrokeOff(err error) bool {
	var network net.Error
	return errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) || errors.As(err, &network)
}
