package eventstream

import "redwinghall"

// Kind says why a stream can't be read on.
type Kind string

// The kinds of errors of a stream. They come as redwinghall.OpError; an error of the reader below is returned as it is.
const (
	EventTooLarge  Kind = "event_too_large"
	EventTruncated Kind = "event_truncated" // the stream ended in the middle of an event
	OnlyBlank      Kind = "only_blank"      // only blank lines and comments come
	NoMemory       Kind = "no_memory"       // the unfinished events of all streams are too large together
)

func newError(op string, kind Kind) error { return redwinghall.NewOpError(op, kind, nil) }
