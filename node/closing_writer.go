package node

import (
	"net/http"

	"redwinghall/gateway"
)

// closingWriter adds "Connection: close" to responses during a planned stop, and knows whether
// a response has begun.
//
// It checks for a stop when the headers are sent, not when the request arrives.
// Otherwise the caller of a request that was running at the signal would reuse the
// connection, which is closed right after the response, and could not tell whether
// its next request was executed.
type closingWriter struct {
	http.ResponseWriter
	plannedStop func() gateway.Stop
	begun       bool // the response's headers were sent
}

// WriteHeader implements http.ResponseWriter.
func (a *closingWriter) WriteHeader(status int) {
	a.begun = true
	if a.plannedStop().Active() {
		a.Header().Set("Connection", "close")
	}
	a.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (a *closingWriter) Write(p []byte) (int, error) {
	a.begun = true
	return a.ResponseWriter.Write(p)
}

// Unwrap gives http.ResponseController access to the underlying writer.
func (a *closingWriter) Unwrap() http.ResponseWriter { return a.ResponseWriter }
