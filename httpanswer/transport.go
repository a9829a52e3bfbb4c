package httpanswer

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"

	"redwinghall/dial"
)

// Transport is a transport whose responses are answers. A connection on which something else came isn't used again: nobody
// knows where that ends.
type Transport struct{ base *http.Transport }

// New returns a transport that sends requests by base, the connections of which it changes.
func New(base *http.Transport) *Transport {
	base.DialContext = TrueEnds(base.DialContext)
	return Over(base)
}

// Over returns a transport that sends requests by base, whose connections tell their true ends.
func Over(base *http.Transport) *Transport { return &Transport{base} }

// CloseIdleConnections closes the connections on which no request is in progress.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var conn net.Conn
	var informational Informational
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			conn = info.Conn
			dial.BeginRequest(conn)
		},
		Got1xxResponse: func(_ int, head textproto.MIMEHeader) error { return informational.Add(head) },
	})
	response, err := t.base.RoundTrip(r.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err := Accept(response, informational, conn); err != nil {
		return nil, err
	}
	return response, nil
}

// Accept returns an error, and closes the connection, if the head of a response or an informational one before it is none of an
// answer. If its trailer has a bad name, reading the body ends with an error.
func Accept(response *http.Response, informational Informational, conn net.Conn) error {
	if err := errors.Join(informational.err, Check(response)); err != nil {
		discard(conn)
		_ = response.Body.Close() // nobody reads it
		return err
	}
	if len(response.TransferEncoding) > 0 {
		response.Body = &trailedBody{ReadCloser: response.Body, response: response, conn: conn}
	}
	return nil
}

// discard closes a connection, nil for none.
func discard(conn net.Conn) {
	if conn != nil {
		_ = conn.Close() // it may be closed already
	}
}

// trailedBody is a body behind which fields may come, which are as much a part of the answer as those of its head.
type trailedBody struct {
	io.ReadCloser
	response *http.Response
	conn     net.Conn
}

// Read implements io.Reader.
func (b *trailedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if bad := checkNames("Transport.RoundTrip", b.response.Trailer); bad != nil {
		discard(b.conn)
		return n, bad
	}
	return n, err
}
