package neighbor

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"redwinghall"
	"redwinghall/dial"
	"redwinghall/httpanswer"
)

// ForwardKind is the kind of a call that one node makes to an endpoint for another node.
type ForwardKind string

// The kinds of forwarded calls.
const (
	// ForwardRequest is a caller's request. The forwarding node finds route, account and
	// service itself, as for its own callers.
	ForwardRequest ForwardKind = "request"
	// ForwardControl is an order, a report or a health check.
	ForwardControl ForwardKind = "control"
	// ForwardCheck only asks whether the called node reaches the endpoint.
	ForwardCheck ForwardKind = "check"
)

// Forward says what a node asks another one to do. It travels as headers beside those of the
// caller's request.
type Forward struct {
	Kind     ForwardKind
	Endpoint string // ID
	Node     string // the asking node
	// Configuration is the version in force at the asking node.
	Configuration int64
	// Timeout is the time left for the call.
	Timeout time.Duration
	// LastEvent is the event after which a stream resumes, "" from its beginning.
	LastEvent string
}

// ForwardOutcome is what became of a forwarded call.
type ForwardOutcome string

// The outcomes. All but Delivered, Reached and Lost state that nothing was sent to the endpoint.
const (
	// Lost: the call was sent to the endpoint, and no usable response was received.
	Lost ForwardOutcome = "lost"
	// Delivered: the response is the endpoint's own.
	Delivered ForwardOutcome = "delivered"
	// Reached: the called node reaches the endpoint.
	Reached ForwardOutcome = "reached"
	// Unreached: the called node doesn't reach the endpoint either.
	Unreached ForwardOutcome = "unreached"
	// Indirect: other nodes reach the endpoint, the called one doesn't.
	Indirect ForwardOutcome = "indirect"
	// Refused: the endpoint's address refuses connections of the called node.
	Refused ForwardOutcome = "refused"
	// Unusable: the called node must not send the request. The endpoint is unknown there, leaving,
	// closed or within a Retry-After, or the two nodes' configurations differ.
	Unusable ForwardOutcome = "unusable"
	// Busy: the called node has too many such calls, or is stopping.
	Busy ForwardOutcome = "busy"
)

// Headers of forwarded calls.
const (
	headerForwardKind          = "Rwh-Forward"
	headerForwardEndpoint      = "Rwh-Endpoint"
	headerForwardNode          = "Rwh-Node"
	headerForwardConfiguration = "Rwh-Configuration"
	headerForwardTimeout       = "Rwh-Timeout-Ms"
	headerForwardLastEvent     = "Rwh-Last-Event"
	headerForwardOutcome       = "Rwh-Outcome"
	headerForwardAnswered      = "Rwh-Answered-Ms"
)

// maxHeadBytes is the largest head of another node's response: that of an endpoint's, which may grow by two thirds as it
// is written anew, and this project's own headers.
const maxHeadBytes = 32 << 10

// forwardDialTimeout bounds the wait for a connection to the forwarding node.
const forwardDialTimeout = 100 * time.Millisecond

// ForwardErrorKind is the kind of a failed forwarded call.
type ForwardErrorKind string

// The kinds of failed forwarded calls.
const (
	// PeerUnreached: no connection to the other node could be opened, so nothing was sent.
	PeerUnreached ForwardErrorKind = "peer_unreached"
	// PeerSilent: the call was sent and no usable response was received.
	PeerSilent ForwardErrorKind = "peer_silent"
)

// IsForwarded reports whether a request to the internal address is a forwarded call.
func IsForwarded(r *http.Request) bool { return r.Header.Get(headerForwardKind) != "" }

// DecodeForward decodes a forwarded call and removes its headers from those of the caller.
func DecodeForward(h http.Header) Forward {
	version, _ := strconv.ParseInt(h.Get(headerForwardConfiguration), 10, 64) // 0 if unreadable: any version will do
	millis, _ := strconv.ParseInt(h.Get(headerForwardTimeout), 10, 64)        // 0 if unreadable: no time is left
	f := Forward{
		Kind: ForwardKind(h.Get(headerForwardKind)), Endpoint: h.Get(headerForwardEndpoint), Node: h.Get(headerForwardNode),
		Configuration: version, Timeout: time.Duration(millis) * time.Millisecond, LastEvent: h.Get(headerForwardLastEvent),
	}
	for _, name := range []string{
		headerForwardKind, headerForwardEndpoint, headerForwardNode, headerForwardConfiguration, headerForwardTimeout, headerForwardLastEvent,
	} {
		h.Del(name)
	}
	return f
}

func (f Forward) encode(h http.Header) {
	h.Set(headerForwardKind, string(f.Kind))
	h.Set(headerForwardEndpoint, f.Endpoint)
	h.Set(headerForwardNode, f.Node)
	h.Set(headerForwardConfiguration, strconv.FormatInt(f.Configuration, 10))
	h.Set(headerForwardTimeout, strconv.FormatInt(f.Timeout.Milliseconds(), 10))
	h.Del(headerForwardLastEvent)
	if f.LastEvent != "" {
		h.Set(headerForwardLastEvent, f.LastEvent)
	}
}

// SetForwardOutcome sets the outcome in the headers of a response to a forwarded call.
func SetForwardOutcome(h http.Header, outcome ForwardOutcome) {
	h.Set(headerForwardOutcome, string(outcome))
}

// SetForwardAnswered sets how long ago the endpoint last sent something to the called node.
func SetForwardAnswered(h http.Header, age time.Duration) {
	h.Set(headerForwardAnswered, strconv.FormatInt(age.Milliseconds(), 10))
}

// ForwardAnswered returns how long ago the endpoint last sent something to the called node.
func ForwardAnswered(h http.Header) (age time.Duration, known bool) {
	millis, err := strconv.ParseInt(h.Get(headerForwardAnswered), 10, 64)
	return time.Duration(millis) * time.Millisecond, err == nil
}

// TakeForwardOutcome returns the outcome of a forwarded call and removes it from the headers
// of the response.
func TakeForwardOutcome(h http.Header) ForwardOutcome {
	outcome := ForwardOutcome(h.Get(headerForwardOutcome))
	h.Del(headerForwardOutcome)
	return outcome
}

var errNoOutcome = errors.New("the response of the other node names no outcome")

// ForwardClient makes calls to endpoints by way of other nodes. Each call has a connection of
// its own: whether a request left on one that was open before would be unknown if it breaks.
type ForwardClient struct {
	transport *httpanswer.Transport
}

// NewForwardClient returns a client.
func NewForwardClient() *ForwardClient {
	return &ForwardClient{transport: httpanswer.New(&http.Transport{
		DialContext: dialWithin(forwardDialTimeout), DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: maxHeadBytes,
	})}
}

// Send makes a call by way of the node at an address. The request's URL, host, headers and body
// are those for the endpoint; its headers are changed. The body of the response must be closed.
func (c *ForwardClient) Send(ctx context.Context, address string, f Forward, request *http.Request) (*http.Response, ForwardOutcome, error) {
	const op = "ForwardClient.Send"
	request.URL.Scheme, request.URL.Host = "http", address
	f.encode(request.Header)
	response, err := c.transport.RoundTrip(request.WithContext(ctx))
	if err != nil {
		if dial.Failed(err) {
			return nil, "", redwinghall.NewOpError(op, PeerUnreached, err)
		}
		return nil, "", redwinghall.NewOpError(op, PeerSilent, err)
	}
	outcome := TakeForwardOutcome(response.Header)
	if outcome == "" {
		_ = response.Body.Close()
		return nil, "", redwinghall.NewOpError(op, PeerSilent, errNoOutcome)
	}
	return response, outcome, nil
}
