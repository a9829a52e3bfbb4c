package node

import (
	"net/http"

	"redwinghall/gateway"
)

// lastAnswer is an answer that may be the last on its connection.
//
// Guard: whether the node is stopping is asked when the headers go out, not
// when the request comes. The caller of an answer that was under way at the
// signal would use the connection again, which is closed right behind it, and
// couldn't tell whether that next request ran.
type lastAnswer struct {
	http.ResponseWriter
	plannedStop func() gateway.Stop
}

// WriteHeader implements http.ResponseWriter.
func (a lastAnswer) WriteHeader(status int) {
	if a.plannedStop().Active() {
		a.Header().Set("Connection", "close")
	}
	a.ResponseWriter.WriteHeader(status)
}

// Unwrap lets http.ResponseController reach the server's own writer.
func (a lastAnswer) Unwrap() http.ResponseWriter { return a.ResponseWriter }
