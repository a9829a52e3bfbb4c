package gateway

import (
	"net/http"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"redwinghall/balance"
	"redwinghall/endpointhttp"
	"redwinghall/platform"
)

// Response is an endpoint's response; its body must be closed.
type Response struct {
	*endpointhttp.Response
	// Peer is the node that forwarded the request, "" if it went over this node's own
	// connection.
	Peer string
}

// via returns the node that forwarded the request, "" if there is none or no response.
func (r *Response) via() string {
	if r == nil {
		return ""
	}
	return r.Peer
}

// rejectedWithRetryAfter reports whether the endpoint did not run the request and asked
// for none until later. That is no failure from which to conclude how the endpoint
// serves others. A nil response is none.
func (r *Response) rejectedWithRetryAfter() bool {
	return r != nil && r.Info.NotRun && r.Info.RetryAfter > 0
}

// recordResponseInfo records what the headers of a response tell about its endpoint.
func (g *Gateway) recordResponseInfo(r *Request, choice balance.Choice, response *Response) {
	for _, field := range response.Info.Unreadable {
		g.recordUnreadable(r, choice.Endpoint.ID, field)
	}
	if response.Status == http.StatusMisdirectedRequest {
		return // the response may be that of another endpoint that now has the address
	}
	if response.Info.Leaving && choice.Attempt.RecordLeaving(time.Now()) {
		klog.InfoS("endpoint_leaving", "request", r.Info.ID, "endpoint", choice.Endpoint.ID, "entry_state", choice.Endpoint.State,
			"entry", choice.Endpoint.Revision, "status", response.Status)
		g.Metrics.EndpointLeaving()
	}
	g.recordLimit(r, choice, response)
	if response.Peer != "" {
		return // a Retry-After binds the node from which the request came
	}
	wait := response.Info.RetryAfter
	choice.Attempt.RecordResponse(time.Now(), response.Info.NotRun, wait)
	if wait > 0 {
		klog.InfoS("retry_after_received", "request", r.Info.ID, "endpoint", choice.Endpoint.ID, "retry_after", wait, "status", response.Status,
			"running", choice.Running)
		g.Metrics.RetryAfterReceived()
	}
}

// recordUnreadable counts a header that could not be parsed, and logs the first one of
// each field and endpoint.
func (g *Gateway) recordUnreadable(r *Request, endpointID string, field platform.ResponseField) {
	g.Metrics.HeaderUnreadable(field)
	if g.unreadable.isNew(endpointID, field) {
		klog.InfoS("header_unreadable", "request", r.Info.ID, "endpoint", endpointID, "field", field)
	}
}

// maxUnreadableHeaders bounds the memory of unreadableHeaders. Further ones are only
// counted.
const maxUnreadableHeaders = 1000

// unreadableHeaders is the set of headers, by endpoint and field, that could not be
// parsed. The zero value is empty.
type unreadableHeaders struct {
	mu   sync.Mutex
	seen map[unreadableHeader]bool
}

type unreadableHeader struct {
	endpointID string
	field      platform.ResponseField
}

// isNew adds a header to the set. It returns false if the set has it or is full.
func (u *unreadableHeaders) isNew(endpointID string, field platform.ResponseField) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	key := unreadableHeader{endpointID, field}
	if u.seen[key] || len(u.seen) >= maxUnreadableHeaders {
		return false
	}
	if u.seen == nil {
		u.seen = map[unreadableHeader]bool{}
	}
	u.seen[key] = true
	return true
}
