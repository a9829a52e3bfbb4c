// Package endpointhttp sends requests to endpoints over connections that it keeps, and tells whether a request that failed
// was sent. It never sends a request twice by itself.
package endpointhttp

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"net/url"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"redwinghall"
	"redwinghall/dial"
	"redwinghall/fleet"
	"redwinghall/httpanswer"
	"redwinghall/platform"
)

// Settings of the connections to endpoints.
const (
	// connectTimeout is far above a round trip between zones, and short enough to try
	// another endpoint within a strict objective.
	connectTimeout = 150 * time.Millisecond
	// idleTimeout closes unused connections.
	idleTimeout    = 12 * time.Second
	idlePerHost    = 64
	connBufferSize = 4 << 10
	// maxHeadBytes is the largest head of a response. An endpoint may send one without end, at all connections at once.
	maxHeadBytes = 16 << 10
)

// Kind classifies a failed request to an endpoint.
type Kind string

// The kinds of upstream error.
const (
	// NotSent means that no byte of the request left this node.
	NotSent Kind = "not_sent"
	// Unknown means that the endpoint may have executed the request.
	Unknown Kind = "unknown"
)

// Error is a failed request to an endpoint.
type Error = redwinghall.OpError[Kind]

var (
	// ErrWrongResponse is the cause of an error if the response belongs to another request.
	ErrWrongResponse = errors.New("the response does not match the request")
	// ErrUnread is the cause of an error if bytes or the end came on a kept connection before the request was sent, which says
	// nothing of the path to the endpoint.
	ErrUnread = errors.New("bytes or the end came on the connection before the request was sent")
)

// Upstream sends requests to endpoints over pooled connections.
type Upstream struct {
	open      dial.Func
	transport *http.Transport
	addresses addresses // of transport
	// fresh opens a connection for each request and keeps none.
	fresh     *http.Transport
	witnesses atomic.Int64 // open, or being opened
}

// NewUpstream returns an upstream without connections.
func NewUpstream() *Upstream {
	return NewUpstreamWithDialer(dial.NewDialer().DialContext)
}

// NewUpstreamWithDialer returns an upstream that opens its connections by a function.
func NewUpstreamWithDialer(open dial.Func) *Upstream {
	open = unlessOpenOnly(dial.WithTimeout(open, connectTimeout))
	fresh := newEndpointTransport(open, &addresses{})
	fresh.MaxIdleConnsPerHost = -1 // keeps none, without asking the endpoint to close
	u := &Upstream{open: open, fresh: fresh}
	u.transport = newEndpointTransport(open, &u.addresses)
	return u
}

func newEndpointTransport(open dial.Func, addresses *addresses) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := httpanswer.TrueEnds(open)(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return newCountingConn(conn, addresses.add(address)), nil
		},
		MaxIdleConnsPerHost: idlePerHost,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		ReadBufferSize:      connBufferSize,
		WriteBufferSize:     connBufferSize,

		MaxResponseHeaderBytes: maxHeadBytes,
	}
}

// addressConns counts the open connections to an address, and records when the other side last ended an idle one.
type addressConns struct {
	open atomic.Int64
	// endedAt is when the other side last ended one without a request in progress, nil for never.
	endedAt atomic.Pointer[time.Time]
}

// addresses counts connections by address. The zero value is empty.
type addresses struct {
	mu    sync.Mutex
	conns map[string]*addressConns
}

// maxAddresses bounds what addresses holds. Addresses are used again by other endpoints.
const maxAddresses = 10000

// of returns an address's connections.
func (a *addresses) of(address string) *addressConns {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conns == nil {
		a.conns = map[string]*addressConns{}
	}
	for one, conns := range a.conns {
		if len(a.conns) < maxAddresses {
			break
		}
		if conns.open.Load() == 0 {
			delete(a.conns, one)
		}
	}
	conns, ok := a.conns[address]
	if !ok {
		conns = &addressConns{}
		a.conns[address] = conns
	}
	return conns
}

// add counts one more connection to an address and returns the address's connections.
func (a *addresses) add(address string) *addressConns {
	conns := a.of(address)
	conns.open.Add(1)
	return conns
}

// Open opens a connection to an address, apart from those for requests.
func (u *Upstream) Open(ctx context.Context, address string) (net.Conn, error) {
	return u.open(ctx, "tcp", address)
}

// Close closes all idle connections.
func (u *Upstream) Close() { u.transport.CloseIdleConnections() }

// onceBody is a request body that net/http can't rewind.
//
// net/http resends a request by itself when a reused connection breaks before the
// response, if the request has no body or one that can be rewound. A request that
// must not be repeated would be executed twice. net/http never resends a body whose
// type it does not know.
type onceBody struct {
	data []byte
}

func (b *onceBody) Read(p []byte) (int, error) {
	if len(b.data) == 0 {
		return 0, io.EOF
	}
	n := copy(p, b.data)
	b.data = b.data[n:]
	return n, nil
}

func (b *onceBody) Close() error { return nil }

// Request is what an endpoint gets of a caller's request.
type Request struct {
	ID     string
	Method string
	Host   string
	Target string // path and query exactly as the caller sent them
	Header http.Header
	Body   []byte
}

// To returns the request as it is sent to an address with a header of its own. net/http sends it once at most.
func (r *Request) To(address string, header http.Header) *http.Request {
	return &http.Request{
		Method: r.Method, Host: r.Host, Header: header,
		URL:        endpointURL(address, r.Target),
		Proto:      "HTTP/1.1",
		ProtoMajor: 1, ProtoMinor: 1,
		Body:          &onceBody{data: r.Body},
		ContentLength: int64(len(r.Body)),
	}
}

// Response is an endpoint's response; its body must be closed.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	Length int64 // -1 if unknown
	// Unframed is set if the response has neither a length nor chunks, so that it ends with its
	// connection.
	Unframed bool
	Info     platform.ResponseInfo
	// SentAt is when this node had the connection on which it sent the request, zero if that isn't known.
	SentAt time.Time
}

// SendOptions vary how a request is sent.
type SendOptions struct {
	// Fresh sends the request over a new connection.
	Fresh bool
	// OnConnected is called if a connection was opened for the request; it may be nil.
	OnConnected func()
	// Keep is how many idle connections to the endpoint are kept, 0 for any number. Further ones are
	// closed soon.
	Keep int
}

// Send sends one request to an endpoint, without retries. Cancelling ctx closes the
// connection.
func (u *Upstream) Send(ctx context.Context, to *fleet.Endpoint, in *Request, headers platform.ForwardHeaders, options SendOptions) (*Response, error) {
	var conn *countingConn
	var before, use int64
	var sentAt time.Time
	reused := false
	var informational httpanswer.Informational
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		Got1xxResponse: func(_ int, head textproto.MIMEHeader) error { return informational.Add(head) },
		GotConn: func(info httptrace.GotConnInfo) {
			sentAt, reused = time.Now(), info.Reused
			dial.BeginRequest(info.Conn)
			if c, ok := info.Conn.(*countingConn); ok {
				conn, before, use = c, c.begin(info.Reused), c.idle.begin()
			}
			if !info.Reused && options.OnConnected != nil {
				options.OnConnected()
			}
		},
		PutIdleConn: func(err error) {
			if err == nil && conn != nil {
				conn.idle.end(use, conn.Conn, options.Keep > 0 && conn.address.open.Load() > int64(options.Keep))
			}
		},
	})
	out := in.To(to.Address, headers.Encode(in.Header))
	transport := u.transport
	if options.Fresh {
		transport = u.fresh
	}
	response, err := transport.RoundTrip(out.WithContext(ctx))
	if err != nil {
		if conn == nil || conn.isUnsent(before) {
			return nil, redwinghall.NewOpError("Upstream.Send", NotSent, unsentError(reused, err))
		}
		return nil, redwinghall.NewOpError("Upstream.Send", Unknown, err)
	}
	return conn.answer(response, informational, in, before, sentAt)
}

// unsentError returns the error of a request that wasn't written. On a reused connection that means that bytes came, or its end.
func unsentError(reused bool, err error) error {
	if !reused || errors.Is(err, ErrUnread) {
		return err
	}
	return fmt.Errorf("%w: %w", ErrUnread, err)
}

// answer returns the response to a request that was sent at a time on a connection, before which so many bytes were written.
// informational holds the heads before it. c may be nil.
func (c *countingConn) answer(response *http.Response, informational httpanswer.Informational, in *Request, before int64, sentAt time.Time) (*Response, error) {
	if c == nil {
		if err := httpanswer.Accept(response, informational, nil); err != nil {
			return nil, redwinghall.NewOpError("Upstream.Send", Unknown, err)
		}
		return NewResponse(response, in)
	}
	if c.endUnsent(before) {
		_ = response.Body.Close()
		return nil, redwinghall.NewOpError("Upstream.Send", NotSent, ErrUnread)
	}
	if err := httpanswer.Accept(response, informational, c); err != nil {
		return nil, redwinghall.NewOpError("Upstream.Send", Unknown, err)
	}
	answer, err := NewResponse(response, in)
	if err == nil {
		c.idle.setTimeout(answer.Info.IdleTimeout)
		answer.SentAt = sentAt
	}
	return answer, err
}

// NewResponse returns the response to a request, or an error if it belongs to another one.
func NewResponse(response *http.Response, in *Request) (*Response, error) {
	info := platform.DecodeResponseInfo(response.StatusCode, response.Header)
	if info.RequestID != "" && info.RequestID != in.ID {
		// An endpoint may send a late second response to an earlier request on a
		// reused connection, in place of the next request's response. The echoed
		// request id reveals it.
		_ = response.Body.Close()
		return nil, redwinghall.NewOpError("Upstream.Send", Unknown, ErrWrongResponse)
	}
	return &Response{
		Status: response.StatusCode, Header: response.Header, Body: response.Body,
		Length: response.ContentLength, Unframed: in.Method != http.MethodHead && isUnframed(response), Info: info,
	}, nil
}

// isUnframed reports whether a response has neither a length nor chunks, so that it ends with its connection.
func isUnframed(response *http.Response) bool {
	return response.ContentLength < 0 && !slices.Contains(response.TransferEncoding, "chunked")
}

// endpointURL returns the URL of a request at an endpoint, with the caller's path and
// query byte for byte.
func endpointURL(address, target string) *url.URL {
	if !strings.HasPrefix(target, "//") {
		return &url.URL{Scheme: "http", Host: address, Opaque: target}
	}
	// net/http would parse the first segment of such a path as a host.
	u, err := url.ParseRequestURI(target)
	if err != nil {
		return &url.URL{Scheme: "http", Host: address, Path: target}
	}
	u.Scheme, u.Host = "http", address
	return u
}
