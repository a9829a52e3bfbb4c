package redwinghall

import (
	"github.com/rotisserie/eris"
)

// OpError is the base of each package's error type: the operation that failed
// (as Type.Method), a kind that callers may switch on, and the cause.
//
// A package declares its own kinds and an alias for its error type:
//
//	type Kind string
//	type Error = redwinghall.OpError[Kind]
type OpError[K ~string] struct {
	Op   string
	Kind K
	Err  error
}

// NewOpError returns an error of the given operation and kind. The cause may be
// nil; otherwise it is wrapped with eris, so that logs can include its stack
// trace.
func NewOpError[K ~string](op string, kind K, cause error) *OpError[K] {
	if cause != nil {
		cause = eris.Wrap(cause, op)
	}
	return &OpError[K]{Op: op, Kind: kind, Err: cause}
}

// Error returns the operation, the kind and the cause on one line.
func (e *OpError[K]) Error() string {
	if e.Err == nil {
		return e.Op + ": " + string(e.Kind)
	}
	return string(e.Kind) + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *OpError[K]) Unwrap() error { return e.Err }

// KindOf returns the kind of the first error in err's chain whose kind is of
// type K, or "" if there is none.
func KindOf[K ~string](err error) K {
	var e *OpError[K]
	if eris.As(err, &e) {
		return e.Kind
	}
	return ""
}
