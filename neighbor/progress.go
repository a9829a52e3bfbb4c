package neighbor

import (
	"context"
	"io"
	"net/http"
	"time"

	"redwinghall/kernel"
)

// withIdleTimeout returns a context for one call. It is canceled once this process has run for
// timeout without a byte of the response.
//
// A node that is slow, or behind a slow link, would never get a large response within a total
// timeout: each attempt starts anew.
func withIdleTimeout(parent context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	timer := kernel.AfterFunc(timeout, func() { cancel(context.DeadlineExceeded) })
	ctx = context.WithValue(ctx, progressKey{}, func() { timer.Reset(timeout) })
	return ctx, func() {
		timer.Stop()
		cancel(nil)
	}
}

type progressKey struct{}

// progressTransport reports the bytes of responses to the timeout of their calls.
type progressTransport struct{ http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t progressTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.RoundTripper.RoundTrip(request)
	progress, ok := request.Context().Value(progressKey{}).(func())
	if err != nil || !ok {
		return response, err
	}
	progress()
	response.Body = &progressBody{ReadCloser: response.Body, progress: progress}
	return response, nil
}

// CloseIdleConnections closes the idle connections of the transport.
func (t progressTransport) CloseIdleConnections() {
	(&http.Client{Transport: t.RoundTripper}).CloseIdleConnections()
}

type progressBody struct {
	io.ReadCloser
	progress func()
}

// Read implements io.Reader.
func (b *progressBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.progress()
	}
	return n, err
}
