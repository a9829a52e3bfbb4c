package endpointhttp

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"

	"redwinghall/dial"
	"redwinghall/fleet"
	"redwinghall/httpanswer"
	"redwinghall/platform"
)

// openOnly marks the context of a question that may go over open connections only.
type openOnly struct{}

var errNoneOpen = errors.New("no connection is open")

// unlessOpenOnly opens no connection for a question that may go over open ones only.
func unlessOpenOnly(open dial.Func) dial.Func {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if ctx.Value(openOnly{}) != nil {
			return nil, &net.OpError{Op: "dial", Net: network, Err: errNoneOpen}
		}
		return open(ctx, network, address)
	}
}

// askedOnce sends a question as the last one on its connection. An answer to an earlier request may come in place of the
// question's, which would then be taken for the answer to the next request.
type askedOnce struct{ transport *http.Transport }

func (t askedOnce) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Close = true
	return httpanswer.Over(t.transport).RoundTrip(r)
}

// AskEarlier asks an endpoint over an idle connection that was open as a request was sent. The process that got the request had
// accepted that connection, or its kernel for it, and the connection ends with the process: only this process can
// answer there.
func (u *Upstream) AskEarlier(ctx context.Context, e *fleet.Endpoint, sent time.Time, timeout time.Duration) fleet.Presence {
	var conn *countingConn
	ctx = httptrace.WithClientTrace(context.WithValue(ctx, openOnly{}, true), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*countingConn); ok {
				conn = c
				c.idle.ask()
			}
		},
	})
	found := platform.PresenceOver(ctx, askedOnce{u.transport}, e, timeout)
	answered := found == fleet.PresenceAnswered || found == fleet.PresenceAlive
	if answered && conn != nil && conn.opened.Before(sent) {
		return fleet.PresenceAlive
	}
	return fleet.PresenceUnknown
}

// endedSince reports whether the other side has ended an idle connection to an address since a time.
func (u *Upstream) endedSince(address string, since time.Time) bool {
	ended := u.addresses.of(address).endedAt.Load()
	return ended != nil && ended.After(since)
}

// Weigh finds out what the earlier connections to an endpoint show that has answered without naming its start. If one was ended
// by the other side since the request was sent, and none is answered, another process may have answered.
func (u *Upstream) Weigh(ctx context.Context, e *fleet.Endpoint, sent time.Time, timeout time.Duration) fleet.Presence {
	if u.AskEarlier(ctx, e, sent, timeout) == fleet.PresenceAlive {
		return fleet.PresenceAlive
	}
	if u.endedSince(e.Address, sent) {
		return fleet.PresenceUnknown
	}
	return fleet.PresenceAnswered
}
