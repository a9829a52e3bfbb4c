package heldmemory

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"redwinghall/kernel"
)

// Limits on reading a request body.
const (
	defaultBodyBytes = 4 << 20
	bodySlack        = 1 // one extra byte shows that a body exceeds the limit
	// BodyIdleTime is how long a body may stand still. A segment that was lost several times arrives sooner.
	BodyIdleTime = 5 * time.Second
	// While memory is short, each BodyPressedTime has to bring bodyProgress bytes: a body that holds memory
	// without sending keeps others out.
	BodyPressedTime = time.Second
	bodyProgress    = 4 << 10
	// unreadBodyTime is how long the rest of a refused body is read for: a connection that is closed with unread
	// bytes may take the refusal with it.
	unreadBodyTime = 500 * time.Millisecond
)

// Why a body isn't read to its end. Other errors are those of its connection.
var (
	// ErrTooLarge means that the body is larger than its limit.
	ErrTooLarge = errors.New("the body is larger than the configuration allows")
	// ErrNoMemory means that no memory is left for the body.
	ErrNoMemory = errors.New("the bodies of all requests are too large together")
	// ErrSlow means that the body counts as standing still.
	ErrSlow = errors.New("the body stands still")
	// ErrEnded means that the node ends the request.
	ErrEnded = errors.New("the node ended before the body")
)

// bodyPace tells how long a body may take for its next bytes.
type bodyPace struct {
	last  time.Time // when bytes came last
	since time.Time // when the present bodyProgress bytes began
	got   int64     // how many of them have come
}

func newBodyPace(now time.Time) bodyPace { return bodyPace{last: now, since: now} }

// record records that n bytes came.
func (p *bodyPace) record(now time.Time, n int) {
	if n <= 0 {
		return
	}
	p.last = now
	if p.got += int64(n); p.got >= bodyProgress {
		p.since, p.got = now, 0
	}
}

// until returns when the body counts as standing still unless more bytes come.
func (p *bodyPace) until(pressed bool) time.Time {
	if pressed {
		return p.since.Add(BodyPressedTime)
	}
	return p.last.Add(BodyIdleTime)
}

// BodyBounds bound the reading of a body beside its limit.
type BodyBounds struct {
	Memory   *Share
	Deadline time.Time   // of the request
	IsEnded  func() bool // reports whether the node ends the request
}

// bodyRead reads the body of one request.
type bodyRead struct {
	BodyBounds
	from     io.Reader
	length   int64 // as announced, -1 if unknown
	limit    int64
	response http.ResponseWriter

	// mu guards the rest, which the timer uses too.
	mu    sync.Mutex
	pace  bodyPace
	timer *kernel.Timer // nil before the first read
	done  bool          // no further read follows
}

// ReadBody reads the complete body of a request, or returns what it read before an error: a retry at a second endpoint may
// need it, and a slow caller must not occupy an endpoint.
//
// Memory is taken in steps as bytes come, since many callers may announce large bodies and send little.
func ReadBody(w http.ResponseWriter, in *http.Request, limit int64, bounds BodyBounds) ([]byte, error) {
	if in.Body == nil || in.ContentLength == 0 {
		return nil, nil
	}
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if in.ContentLength > limit {
		return nil, ErrTooLarge
	}
	b := bodyRead{
		BodyBounds: bounds, from: in.Body, length: in.ContentLength, limit: limit,
		response: w, pace: newBodyPace(time.Now()),
	}
	body, err := b.readAll()
	b.endTimer()
	switch {
	case err != nil:
		b.endReads()
	case b.Memory.Bounded():
		_ = b.endReadsAt(time.Time{}) // fails only if the connection is closed
	}
	return body, err
}

// endReads prepares the connection for a refusal of a body that isn't read to its end.
func (b *bodyRead) endReads() {
	if b.Memory.Bounded() {
		b.response.Header().Set("Connection", "close")
		_ = b.endReadsAt(time.Now().Add(unreadBodyTime)) // fails only if the connection is closed
	}
}

// endReadsAt makes reads of the connection fail at a time, or never at the zero time.
func (b *bodyRead) endReadsAt(at time.Time) error {
	return http.NewResponseController(b.response).SetReadDeadline(at)
}

// most returns the size up to which the body is read.
func (b *bodyRead) most() int64 {
	if b.length > 0 {
		return b.length
	}
	return b.limit + bodySlack
}

func (b *bodyRead) readAll() ([]byte, error) {
	body := make([]byte, 0, min(b.most(), freeBodyBytes))
	for {
		if int64(len(body)) == b.most() {
			return b.finish(body, nil)
		}
		if len(body) == cap(body) {
			larger, ok := b.grow(body)
			if !ok {
				return body, ErrNoMemory
			}
			body = larger
		}
		n, err := b.read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err != nil {
			return b.finish(body, err)
		}
	}
}

// finish returns the result of a body that ended with err.
func (b *bodyRead) finish(body []byte, err error) ([]byte, error) {
	switch {
	case int64(len(body)) > b.limit:
		return nil, ErrTooLarge
	case errors.Is(err, io.EOF) && b.length > 0 && int64(len(body)) < b.length:
		return body, io.ErrUnexpectedEOF
	case errors.Is(err, io.EOF):
		return body, nil
	}
	return body, err
}

// grow doubles what is allocated for the body, up to what it may need.
func (b *bodyRead) grow(body []byte) ([]byte, bool) {
	size := min(2*int64(cap(body)), b.most())
	if !b.Memory.Take(Bodies, size-int64(cap(body))) {
		return nil, false
	}
	larger := make([]byte, len(body), size)
	copy(larger, body)
	return larger, true
}

// read reads more of the body, or fails once it counts as standing still.
//
// net/http takes a read that fails for the caller's end. So no read is given less time than it may have, and a timer ends
// those that have less as memory becomes short meanwhile.
func (b *bodyRead) read(into []byte) (int, error) {
	if !b.Memory.Bounded() {
		return b.from.Read(into)
	}
	for {
		until := b.startTimer()
		switch {
		case b.IsEnded():
			return 0, ErrEnded
		case !time.Now().Before(until):
			return 0, ErrSlow
		}
		if err := b.endReadsAt(until); err != nil && !errors.Is(err, http.ErrNotSupported) {
			return 0, err
		}
		n, err := b.from.Read(into)
		b.record(time.Now(), n)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, ignoreTimeout(err)
		}
		if b.length <= 0 {
			return 0, ErrSlow
		}
	}
}

// startTimer starts the timer with the first read, and returns until when the next one may take.
func (b *bodyRead) startTimer() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.timer == nil {
		b.timer = kernel.AfterFunc(BodyPressedTime, b.endIfSlow)
	}
	return b.until()
}

// endIfSlow ends the present read if the body counts as standing still by now.
func (b *bodyRead) endIfSlow() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.done {
		return
	}
	b.timer.Reset(BodyPressedTime)
	if now := time.Now(); !now.Before(b.until()) {
		_ = b.endReadsAt(now) // fails only if the connection is closed
	}
}

func (b *bodyRead) endTimer() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.done = true; b.timer != nil {
		b.timer.Stop()
	}
}

func (b *bodyRead) record(now time.Time, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pace.record(now, n)
}

// until returns when the body counts as standing still, at the latest with the time of the request. The caller holds b.mu.
func (b *bodyRead) until() time.Time { return minTime(b.pace.until(b.Memory.Pressed()), b.Deadline) }

// ignoreTimeout drops the timeout of a read that brought bytes.
func ignoreTimeout(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil
	}
	return err
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
