package dial_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall"
	"redwinghall/dial"
	"redwinghall/kernel"
)

// An endpoint that doesn't accept connections must be found in time, as one to which nothing was sent.
func TestDialTimesOut(t *testing.T) {
	open := dial.WithTimeout(func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Err: ctx.Err()}
	}, 50*time.Millisecond)
	begun := time.Now()
	_, err := open(t.Context(), "tcp", "127.0.0.1:1")
	require.True(t, dial.Failed(err))
	var timeout net.Error
	require.ErrorAs(t, err, &timeout)
	require.True(t, timeout.Timeout())
	require.Less(t, time.Since(begun), time.Second)
}

// A caller that leaves ends the attempt, which must not look like a timeout of the endpoint.
func TestDialEndsWithItsCaller(t *testing.T) {
	open := dial.WithTimeout(func(ctx context.Context, _, _ string) (net.Conn, error) { return nil, ctx.Err() }, time.Minute)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := open(ctx, "tcp", "127.0.0.1:1")
	require.ErrorIs(t, err, context.Canceled)
}

// net/http opens connections in goroutines of its own, in which nothing recovers a panic.
func TestPanicWhileDialingIsAFailedDial(t *testing.T) {
	open := dial.WithTimeout(func(context.Context, string, string) (net.Conn, error) { panic("address") }, time.Minute)
	client := &http.Client{Transport: &http.Transport{DialContext: open}}
	_, err := client.Get("http://127.0.0.1:1")
	require.True(t, dial.Failed(err))
	require.Equal(t, kernel.Panicked, redwinghall.KindOf[kernel.Kind](err))
}
