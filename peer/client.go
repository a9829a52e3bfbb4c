package peer

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"redwinghall/dial"
	"redwinghall/httpanswer"
)

// Traffic counts the bytes sent and received on the connections of the
// exchanges that this process starts.
type Traffic struct {
	Sent     atomic.Uint64
	Received atomic.Uint64
}

type countedConn struct {
	net.Conn
	traffic *Traffic
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.Received.Add(uint64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.Sent.Add(uint64(n))
	return n, err
}

const (
	dialTimeout     = 500 * time.Millisecond
	idleConnTimeout = 30 * time.Second
	maxIdlePerPeer  = 1
)

func newClient(traffic *Traffic, token string) *http.Client {
	open := dial.WithTimeout(new(net.Dialer).DialContext, dialTimeout)
	transport := httpanswer.New(&http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := open(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return countedConn{Conn: conn, traffic: traffic}, nil
		},
		MaxIdleConnsPerHost: maxIdlePerPeer,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxHeadBytes,
	})
	return &http.Client{Transport: tokenTransport{next: transport, token: token, long: &longAnswers{}}}
}

// tokenTransport adds the peer token to each request. It reads answers whole, and ends those that are too large with an
// error.
type tokenTransport struct {
	next  *httpanswer.Transport
	token string
	long  *longAnswers
}

func (t tokenTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	ctx, end := context.WithCancel(r.Context())
	defer end()
	r = r.Clone(ctx)
	r.Header.Set("Authorization", "Bearer "+t.token)
	r.Header.Set("User-Agent", "") // omitted to save bytes: no peer reads it
	response, err := t.next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	most, ok := maxErrorBytes, response.StatusCode == http.StatusOK
	if ok {
		most = maxAnswerBytes
	}
	whole, err := t.long.read(ctx, end, response.Body, most)
	if err == nil && ok {
		err = whole.check()
	}
	if err != nil {
		_ = whole.Close()
		return nil, err
	}
	out := *response
	out.Body = whole
	return &out, nil
}

// CloseIdleConnections is called by http.Client.CloseIdleConnections.
func (t tokenTransport) CloseIdleConnections() { t.next.CloseIdleConnections() }
