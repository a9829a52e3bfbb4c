package node

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"k8s.io/klog/v2"

	"redwinghall/gateway"
	"redwinghall/kernel"
	"redwinghall/platform"
)

// NewCallerHandler returns the handler of callers' requests. During a planned stop, responses carry
// "Connection: close". A request whose handler panics gets status 502, which promises nothing, unless its
// response has begun: then its connection is closed.
func NewCallerHandler(next http.Handler, plannedStop func() gateway.Stop) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		writer := &closingWriter{ResponseWriter: w, plannedStop: plannedStop, connection: connectionOf(r.Context())}
		defer endPanicked(writer, r)
		next.ServeHTTP(writer, r)
	})
}

// newInternalHandler returns the handler of requests that callers don't send. The connection of one
// whose handler panics is closed.
func newInternalHandler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			if value := recover(); value != nil {
				logPanic(r, value, true)
				panic(http.ErrAbortHandler)
			}
		}()
		next.ServeHTTP(w, r)
	})
}

// endPanicked ends a request whose handler panicked. It must be deferred.
func endPanicked(w *closingWriter, r *http.Request) {
	value := recover()
	if value == nil {
		return
	}
	logPanic(r, value, w.begun)
	if w.begun || isAbort(value) {
		panic(http.ErrAbortHandler)
	}
	refusePanicked(w, platform.DecodeRequestInfo(r.Header).ID)
}

func logPanic(r *http.Request, value any, answered bool) {
	if isAbort(value) {
		return
	}
	klog.ErrorS(nil, "request_panicked", "request", platform.DecodeRequestInfo(r.Header).ID, "answered", answered,
		"value", kernel.PanicText(value), "stack", kernel.PanicStack())
}

// isAbort reports whether a handler panicked to close its connection.
func isAbort(value any) bool {
	err, ok := value.(error)
	return ok && errors.Is(err, http.ErrAbortHandler)
}

func refusePanicked(w http.ResponseWriter, id string) {
	clear(w.Header())
	refuseAndClose(w, id, http.StatusBadGateway, "panicked")
}

// excessRetryAfter is the Retry-After of a request that is too much for this node. It is short because the
// caller's next try meets another one.
const excessRetryAfter = 20 * time.Millisecond

// refuseExcess refuses a request that is more than this node can serve.
func refuseExcess(w http.ResponseWriter, r *http.Request) {
	id := platform.DecodeRequestInfo(r.Header).ID
	klog.InfoS("refused_late", "request", id, "retry_after", excessRetryAfter)
	w.Header().Set("Retry-After", strconv.FormatFloat(excessRetryAfter.Seconds(), 'f', -1, 64))
	refuseAndClose(w, id, http.StatusServiceUnavailable, "node_busy")
}

// refuseAndClose sends an error response, after which the connection is closed.
func refuseAndClose(w http.ResponseWriter, id string, status int, reason string) {
	h := w.Header()
	platform.SetRequestID(h, id)
	h.Set("Content-Type", "application/json")
	h.Set("Connection", "close")
	body, err := json.Marshal(map[string]string{"error": reason, "request_id": id})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body) // the caller may have left
}
