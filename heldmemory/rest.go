package heldmemory

import (
	"errors"
	"io"
	"net/http"
	"time"
)

// maxRestBytes bounds the rest of a refused body that is read, at twice the default bound of a body.
const maxRestBytes = 2 * defaultBodyBytes

// ReadRest sends the refusal that was written, and reads what comes of the request's body within unreadBodyTime.
//
// A connection that is closed with unread bytes is reset, and the refusal may be lost with it: its sender can't know then that the
// request hasn't run. net/http reads up to 256 KiB of the rest, but nothing if the request says that its connection is closed
// behind it, or if the body is wrapped.
func ReadRest(w http.ResponseWriter, in *http.Request) {
	if in.Body == nil || in.ContentLength == 0 || in.Header.Get("Expect") != "" { // who expects to be asked sends no body
		return
	}
	control := http.NewResponseController(w)
	if control.Flush() != nil || control.SetReadDeadline(time.Now().Add(unreadBodyTime)) != nil {
		return
	}
	if _, err := io.CopyN(io.Discard, in.Body, maxRestBytes); errors.Is(err, io.EOF) {
		_ = control.SetReadDeadline(time.Time{}) // fails only if the connection is closed
	}
}
