package neighbor

import (
	"context"
	"io"
	"net/http"
	"time"

	"redwinghall/httpanswer"
	"redwinghall/kernel"
)

// withIdleTimeout returns a context for one call, which ends once next to nothing of the response has
// come for timeout.
func withIdleTimeout(parent context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, timer, cancel := kernel.WithIdleTimeout(parent, timeout)
	return context.WithValue(ctx, idleTimerKey{}, timer), cancel
}

type idleTimerKey struct{}

// idleTransport shows the bytes of responses to the idle timers of their calls.
type idleTransport struct{ *httpanswer.Transport }

// RoundTrip implements http.RoundTripper.
func (t idleTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.Transport.RoundTrip(request)
	if timer, ok := request.Context().Value(idleTimerKey{}).(*kernel.IdleTimer); ok && err == nil {
		response.Body = readCloser{timer.Reader(response.Body), response.Body}
	}
	return response, err
}

type readCloser struct {
	io.Reader
	io.Closer
}
