package eventstream

import (
	"errors"
	"io"
	"sync"
	"time"

	"redwinghall/kernel"
)

const (
	// provingEvents is how many new events show that an endpoint serves a stream, and provingTime how long the first
	// of them is held for a second one: an endpoint may send an event and fail.
	provingEvents = 2
	provingTime   = 50 * time.Millisecond
	// maxProvingBytes is how much is held of a response at the most.
	maxProvingBytes = 16 << 10
	// readBuffer is how much is read at once.
	readBuffer = 4 << 10
)

// ProvingBody is the body of a response that is held until it has shown that its endpoint serves the stream. One goroutine
// calls Prove or EndProving, and another one Read, once the response is to be passed on.
type ProvingBody struct {
	from io.Reader

	mu      sync.Mutex
	changed sync.Cond // signals that bytes were read or that proving has ended
	proving bool      // only Prove may read from the body
	wanted  bool      // the response is passed on
	held    []byte    // what was read and not passed on
	blank   int       // bytes of blank lines and comments that were dropped
	err     error     // the end of the body
}

// NewProvingBody returns the body of a response that is being proved.
func NewProvingBody(from io.Reader) *ProvingBody {
	b := &ProvingBody{from: from, proving: true}
	b.changed.L = &b.mu
	return b
}

// Read implements io.Reader.
func (b *ProvingBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	b.wanted = true
	for len(b.held) == 0 && b.proving {
		b.changed.Wait()
	}
	if len(b.held) > 0 {
		defer b.mu.Unlock()
		n := copy(p, b.held)
		b.held = b.held[n:]
		return n, nil
	}
	err := b.err
	b.mu.Unlock()
	if err != nil {
		return 0, err
	}
	return b.from.Read(p)
}

// Prove reads until the body has shown that the stream goes on behind the event with the id after, or is passed on
// anyway. It calls onServes if the first new event isn't followed by another one or the end soon. The error is nil if the
// endpoint serves the stream.
func (b *ProvingBody) Prove(after int64, onServes func()) error {
	defer b.EndProving()
	var timer *kernel.Timer
	buffer := make([]byte, readBuffer)
	for {
		n, err := b.from.Read(buffer)
		events, done, err := b.hold(buffer[:n], err, after)
		if timer == nil && events > 0 && err == nil && !done {
			timer = kernel.AfterFunc(provingTime, func() { b.unlessFailed(onServes) })
			defer timer.Stop()
		}
		switch {
		case errors.Is(err, io.EOF), err == nil && done:
			return nil
		case err != nil:
			return err
		}
	}
}

// hold keeps what was read and the error of the read. It returns how many new events are held, whether that is enough, and
// the error, which tells of an end in the middle of an event too.
func (b *ProvingBody) hold(read []byte, err error, after int64) (events int, done bool, end error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	defer b.changed.Broadcast()
	b.held = append(b.held, read...)
	b.err = err
	if b.wanted {
		return 0, true, err
	}
	b.dropBlank()
	events, rest := countNewEvents(b.held, after)
	switch {
	case errors.Is(err, io.EOF) && rest > 0:
		b.err = newError("ProvingBody.Prove", EventTruncated)
	case err == nil && b.blank > maxBlankBytes:
		b.err = newError("ProvingBody.Prove", OnlyBlank)
	}
	return events, events >= provingEvents || len(b.held) >= maxProvingBytes, b.err
}

// dropBlank drops the blank lines and comments before the first event: they show nothing, and may come without end.
// The caller holds b.mu.
func (b *ProvingBody) dropBlank() {
	for end := endOf(b.held); end > 0 && IsBlank(b.held[:end]); end = endOf(b.held) {
		b.blank += end
		b.held = b.held[end:]
	}
}

// unlessFailed calls fn unless the body has ended with an error.
func (b *ProvingBody) unlessFailed(fn func()) {
	b.mu.Lock()
	failed := b.err != nil && !errors.Is(b.err, io.EOF)
	b.mu.Unlock()
	if !failed {
		fn()
	}
}

// EndProving lets Read go on with what comes.
func (b *ProvingBody) EndProving() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.proving = false
	b.changed.Broadcast()
}

// countNewEvents returns how many complete events behind the one with the id after a part of a stream has, and how many
// bytes follow its last complete event.
func countNewEvents(part []byte, after int64) (events, rest int) {
	for {
		end := endOf(part)
		if end < 0 {
			return events, len(part)
		}
		event := part[:end]
		part = part[end:]
		if id, ok := ID(event); !IsBlank(event) && (!ok || id > after) {
			events++
		}
	}
}
