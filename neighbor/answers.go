package neighbor

import (
	"io"
	"net/http"
	"sync"
	"time"

	"redwinghall/httpanswer"
)

// answeringTransport records when peers last answered, and closes the idle connections
// after a call without an answer, so that the next call does not fail on a broken
// connection that it reuses.
//
// A peer that has answered another call since is only slow, and its connections are sound.
// If they were closed, all nodes that wait for a busy dispatcher would connect to it anew
// at the same time, and keep it busy with that.
type answeringTransport struct {
	idleTransport

	mu       sync.Mutex
	answered map[string]time.Time // by the peer's address
}

func newAnsweringTransport(t *httpanswer.Transport) *answeringTransport {
	return &answeringTransport{idleTransport: idleTransport{t}, answered: map[string]time.Time{}}
}

// RoundTrip implements http.RoundTripper.
func (t *answeringTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	began := time.Now()
	response, err := t.idleTransport.RoundTrip(request)
	if err != nil {
		t.noteFailure(request.URL.Host, began)
		return nil, err
	}
	response.Body = &answerBody{ReadCloser: response.Body, transport: t, address: request.URL.Host, began: began}
	return response, nil
}

func (t *answeringTransport) noteAnswer(address string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.answered[address] = now
}

// noteFailure closes the idle connections unless the peer has answered since a call began.
func (t *answeringTransport) noteFailure(address string, began time.Time) {
	t.mu.Lock()
	answeredSince := t.answered[address].After(began)
	t.mu.Unlock()
	if !answeredSince {
		t.CloseIdleConnections()
	}
}

// answerBody is the body of a response, which is an answer once it has been read completely.
type answerBody struct {
	io.ReadCloser
	transport *answeringTransport
	address   string
	began     time.Time
}

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch err {
	case nil:
	case io.EOF:
		b.transport.noteAnswer(b.address, time.Now())
	default:
		b.transport.noteFailure(b.address, b.began)
	}
	return n, err
}
