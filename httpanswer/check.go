// Package httpanswer tells answers of HTTP servers from bytes that are none. net/http takes any three digits for a status and
// a blank for a part of a field's name, and the end of a connection that was reset for the end of an answer.
package httpanswer

import (
	"fmt"
	"net/http"
	"net/textproto"
	"strings"

	"redwinghall"
)

// Kind classifies what makes an answer none.
type Kind string

// The kinds of error.
const (
	// BadStatus means that the status is not one of an answer.
	BadStatus Kind = "bad_status"
	// BadField means that the name of a field holds a byte that no name has, so that its line may have said how long the
	// answer is.
	BadField Kind = "bad_field"
	// BadVersion means that the answer is of another version of HTTP.
	BadVersion Kind = "bad_version"
	// TooMany means that too many informational responses come before the answer.
	TooMany Kind = "too_many_informational"
)

// Error tells why an answer is none.
type Error = redwinghall.OpError[Kind]

// The statuses of answers. A request never asks for another protocol, so 101 answers none.
const (
	minStatus = 200
	maxStatus = 599
)

// Check returns an error unless the head of a response is that of an answer.
func Check(response *http.Response) error {
	const op = "Check"
	if response.ProtoMajor != 1 {
		return redwinghall.NewOpError(op, BadVersion, fmt.Errorf("version %q", response.Proto))
	}
	if response.StatusCode < minStatus || response.StatusCode > maxStatus {
		return redwinghall.NewOpError(op, BadStatus, fmt.Errorf("status %q", response.Status))
	}
	return checkNames(op, response.Header)
}

// maxInformational is the most informational responses before an answer. A server may send them without end, and net/http
// bounds their size only together with their number.
const maxInformational = 5

// Informational checks the informational responses before one answer. The zero value has seen none.
type Informational struct {
	count int
	err   error // what is wrong with them; httptrace drops what a hook returns if there is another one
}

// Add returns an error unless the head of one more informational response may precede an answer.
func (i *Informational) Add(head textproto.MIMEHeader) error {
	const op = "Informational.Add"
	if i.count++; i.count > maxInformational {
		i.err = redwinghall.NewOpError(op, TooMany, fmt.Errorf("more than %d", maxInformational))
	}
	if i.err == nil {
		i.err = checkNames(op, http.Header(head))
	}
	return i.err
}

// tokenMarks are the bytes of a name beside letters and digits (RFC 9110, 5.6.2).
const tokenMarks = "!#$%&'*+-.^_`|~"

func isToken(name string) bool {
	for _, c := range []byte(name) {
		isLetter := ('a' <= c && c <= 'z') || ('A' <= c && c <= 'Z')
		if !isLetter && (c < '0' || c > '9') && strings.IndexByte(tokenMarks, c) < 0 {
			return false
		}
	}
	return name != ""
}

func checkNames(op string, head http.Header) error {
	for name := range head {
		if !isToken(name) {
			return redwinghall.NewOpError(op, BadField, fmt.Errorf("field %q", name))
		}
	}
	return nil
}
