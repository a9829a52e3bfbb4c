package gateway

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"redwinghall/balance"
	"redwinghall/platform"
)

// refusal is an answer of our own. Statuses 429 and 503 say that the request
// has not run and will not; 502 and 504 say nothing about it.
type refusal struct {
	status     int
	reason     string
	retryAfter time.Duration
	// predicted is the time to the first event that decided, or of a stopping
	// node to the end of the answer, if one did.
	predicted time.Duration
	// best is the endpoint that would have been chosen, "" if there was none;
	// running and loadAge say what was known of it.
	best    string
	running int
	loadAge time.Duration
	// nodeLeft is how much time a stopping node has, 0 if it isn't stopping.
	nodeLeft time.Duration
}

func fromBalance(r *balance.Refusal) refusal {
	return refusal{
		status: http.StatusServiceUnavailable, reason: r.Reason, retryAfter: r.RetryAfter, predicted: r.Predicted,
		best: r.Best, running: r.Running, loadAge: r.Age,
	}
}

// startupRetryAfter is when a caller may try again at a node that has just started.
const startupRetryAfter = 300 * time.Millisecond

// noEndpointRefusal refuses a request for which no endpoint was chosen. A node that
// has not read any entry yet knows of none, but soon will.
func (g *Gateway) noEndpointRefusal(refused *balance.Refusal) refusal {
	why := fromBalance(refused)
	if refused.Reason == balance.NoEndpoint && g.Book.Read().IsZero() {
		why.reason, why.retryAfter = "endpoints_unknown", startupRetryAfter
	}
	return why
}

type refusalBody struct {
	Error     string `json:"error"`
	RequestID string `json:"request_id,omitempty"`
}

// refuse answers at once, so that the caller can go elsewhere in its time.
func (g *Gateway) refuse(w http.ResponseWriter, r *Request, why refusal) {
	klog.InfoS("refused", "request", r.Ask.ID, "status", why.status, "reason", why.reason, "account", r.account(),
		"route", routeName(r), "predicted", why.predicted, "objective", routeObjective(r), "best", why.best, "running", why.running,
		"load_age", why.loadAge, "node_left", why.nodeLeft, "retry_after", why.retryAfter, "held", time.Since(r.Arrived),
		"configuration", r.configVersion())
	g.Metrics.Refused(r, why)
	h := w.Header()
	platform.SetRequestID(h, r.Ask.ID)
	h.Set("Content-Type", "application/json")
	if why.retryAfter > 0 {
		seconds := math.Ceil(why.retryAfter.Seconds()*1000) / 1000
		h.Set("Retry-After", strconv.FormatFloat(seconds, 'f', -1, 64))
	}
	body, err := json.Marshal(refusalBody{Error: why.reason, RequestID: r.Ask.ID})
	if err != nil {
		klog.ErrorS(err, "refusal_unwritten", "request", r.Ask.ID)
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(why.status)
	if _, err := w.Write(body); err != nil {
		klog.V(1).InfoS("caller_gone", "request", r.Ask.ID, "err", err)
	}
}

func routeName(r *Request) string {
	if r.Route == nil {
		return ""
	}
	return r.Route.Name
}

func routeObjective(r *Request) time.Duration {
	if r.Route == nil {
		return 0
	}
	return r.Route.Objective
}

func hash(id string) uint64 { return xxhash.Sum64String(id) }
