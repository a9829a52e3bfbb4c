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
	connection  *connection // nil if it isn't tracked
	begun       bool        // the response's headers were sent
}

// WriteHeader implements http.ResponseWriter.
func (a *closingWriter) WriteHeader(status int) {
	a.begin()
	if a.plannedStop().Active() {
		a.Header().Set("Connection", "close")
	}
	a.ResponseWriter.WriteHeader(status)
}

func (a *closingWriter) begin() {
	if !a.begun {
		a.begun = true
		a.connection.reach(requestBegun)
	}
}

// Write implements http.ResponseWriter.
func (a *closingWriter) Write(p []byte) (int, error) {
	a.begin()
	return a.ResponseWriter.Write(p)
}

// Unwrap gives http.ResponseController access to the underlying writer.
func (a *closingWriter) Unwrap() http.ResponseWriter { return a.ResponseWriter }
