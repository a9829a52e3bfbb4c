package gateway

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"redwinghall"
	"redwinghall/fleet"
	"redwinghall/platform"
)

// Limits of the connections to endpoints.
const (
	// connectTimeout is far above a round trip between zones, and short enough
	// to try another endpoint within a strict objective.
	connectTimeout = 150 * time.Millisecond
	// idleTimeout closes connections that are no longer needed.
	idleTimeout = 12 * time.Second
	idlePerHost = 64
	// The keep-alive probes find idle connections that went silent.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	readBuffer        = 4 << 10
)

// Kind says what a failed request to an endpoint means.
type Kind string

// The kinds of upstream error.
const (
	// NotSent: no byte of the request left this node.
	NotSent Kind = "not_sent"
	// Unknown: the endpoint may have run the request.
	Unknown Kind = "unknown"
)

// Error is a failed request to an endpoint.
type Error = redwinghall.OpError[Kind]

var errWrongAnswer = errors.New("the answer belongs to another request")

// countedConn counts what was written, to tell requests that never left.
type countedConn struct {
	net.Conn
	written atomic.Int64
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n))
	return n, err
}

// Upstream sends requests to endpoints over kept connections.
type Upstream struct {
	transport *http.Transport
}

// NewUpstream returns an upstream without connections.
func NewUpstream() *Upstream {
	dialer := &net.Dialer{
		Timeout:         connectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
	}
	return &Upstream{transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countedConn{Conn: conn}, nil
		},
		MaxIdleConnsPerHost: idlePerHost,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		ReadBufferSize:      readBuffer,
		WriteBufferSize:     readBuffer,
	}}
}

// Close drops all kept connections.
func (u *Upstream) Close() { u.transport.CloseIdleConnections() }

// onceBody is a request body that the library can't rewind.
//
// Guard: net/http sends a request again by itself when a kept connection
// breaks before the answer, if the request has no body or one that can be
// rewound. A call that may not be repeated would run twice. A body of a type
// that the library doesn't know is never sent again.
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

// Answer is an endpoint's answer; its body must be closed.
type Answer struct {
	Status  int
	Header  http.Header
	Body    io.ReadCloser
	Length  int64 // -1 if the answer doesn't say
	Verdict platform.ResponseInfo
}

// Send sends one request to an endpoint, once. Ending ctx closes the connection.
func (u *Upstream) Send(ctx context.Context, to *fleet.Endpoint, in *Request, forward platform.ForwardHeaders) (*Answer, error) {
	var conn *countedConn
	var before int64
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*countedConn); ok {
			conn, before = c, c.written.Load()
		}
	}})
	out := &http.Request{
		Method: in.Method, Host: in.Host, Header: forward.Encode(in.Header),
		URL:        endpointURL(to.Address, in.Target),
		Proto:      "HTTP/1.1",
		ProtoMajor: 1, ProtoMinor: 1,
		Body:          &onceBody{data: in.Body},
		ContentLength: int64(len(in.Body)),
	}
	answer, err := u.transport.RoundTrip(out.WithContext(ctx))
	if err != nil {
		if conn == nil || conn.written.Load() == before {
			return nil, redwinghall.NewOpError("Upstream.Send", NotSent, err)
		}
		return nil, redwinghall.NewOpError("Upstream.Send", Unknown, err)
	}
	verdict := platform.DecodeResponseInfo(answer.StatusCode, answer.Header)
	if verdict.RequestID != "" && verdict.RequestID != in.Ask.ID {
		// Guard: an endpoint may send a second, late answer on a kept connection,
		// where the next request's answer is expected. The echoed id tells.
		_ = answer.Body.Close()
		return nil, redwinghall.NewOpError("Upstream.Send", Unknown, errWrongAnswer)
	}
	return &Answer{
		Status: answer.StatusCode, Header: answer.Header, Body: answer.Body,
		Length: answer.ContentLength, Verdict: verdict,
	}, nil
}

// endpointURL keeps the caller's path and query byte for byte.
func endpointURL(address, target string) *url.URL {
	if !strings.HasPrefix(target, "//") {
		return &url.URL{Scheme: "http", Host: address, Opaque: target}
	}
	// The library would take the first part of such a path for a host.
	u, err := url.ParseRequestURI(target)
	if err != nil {
		return &url.URL{Scheme: "http", Host: address, Path: target}
	}
	u.Scheme, u.Host = "http", address
	return u
}
