// Package httpanswer tells answers of HTTP servers from bytes that are none. net/http takes the end of a connection that was
// reset for the end of an answer.
package httpanswer

import "net/http"

// Transport is a transport whose connections tell their true ends.
type Transport struct{ *http.Transport }

// New returns a transport that sends requests by base, the connections of which it changes.
func New(base *http.Transport) *Transport {
	base.DialContext = TrueEnds(base.DialContext)
	return &Transport{base}
}
