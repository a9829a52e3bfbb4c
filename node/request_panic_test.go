package node_test

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
	"k8s.io/klog/v2"

	"redwinghall/gateway"
	"redwinghall/node"
)

// logLines holds what klog wrote.
type logLines struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (l *logLines) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(line)
}

// String returns all lines.
func (l *logLines) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// requestPanicking sends a request to a handler, and returns the response with its body and what was logged.
func requestPanicking(t *testing.T, handle http.HandlerFunc) (response *http.Response, body []byte, logged string, err error) {
	t.Helper()
	lines := &logLines{}
	klog.LogToStderr(false)
	klog.SetOutput(lines)
	defer klog.LogToStderr(true)
	server := httptest.NewServer(node.NewCallerHandler(handle, func() gateway.Stop { return gateway.Stop{} }))
	defer server.Close()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL, nil)
	require.NoError(t, err)
	request.Header.Set("Request-Id", "r1")
	response, err = http.DefaultClient.Do(request)
	if err != nil {
		return nil, nil, lines.String(), err
	}
	defer func() { require.NoError(t, response.Body.Close()) }()
	body, err = io.ReadAll(response.Body)
	return response, body, lines.String(), err
}

// A request may have run when its handler panics, and 502 promises nothing. A closed connection would tell
// its caller less.
func TestPanickedRequestIsAnsweredAndLogged(t *testing.T) {
	response, body, logged, err := requestPanicking(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "1000")
		panic(errors.New("request"))
	})
	require.NoError(t, err)
	require.Equal(t, http.StatusBadGateway, response.StatusCode)
	require.Equal(t, "r1", response.Header.Get("Request-Id"))
	require.JSONEq(t, `{"error":"panicked","request_id":"r1"}`, string(body))
	require.Regexp(t, `"request_panicked" request="r1" answered=false value="request" stack="node_test[^"\n]*"`+"\n", logged)
}

// A response that is cut short must not look complete.
func TestPanicInAResponseClosesItsConnection(t *testing.T) {
	_, _, logged, err := requestPanicking(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "part")
		_ = http.NewResponseController(w).Flush() // httptest's writer can flush
		panic("stream")
	})
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	require.Contains(t, logged, `"request_panicked" request="r1" answered=true value="stream"`)
}

func TestAbortedRequestIsNoPanic(t *testing.T) {
	_, _, logged, err := requestPanicking(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	require.ErrorIs(t, err, io.EOF)
	require.Empty(t, logged)
}
