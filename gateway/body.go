package gateway

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"redwinghall/kernel"
)

// Limits on reading a request body.
const (
	defaultBodyBytes = 4 << 20
	bodySlack        = 1 // one extra byte shows that a body exceeds the limit
	// bodyIdleTime is how long a body may stand still. A segment that was lost several times arrives sooner.
	bodyIdleTime = 5 * time.Second
	// While memory is short, each bodyPressedTime has to bring bodyProgress bytes: a body that holds memory
	// without sending keeps others out.
	bodyPressedTime = time.Second
	bodyProgress    = 4 << 10
	// unreadBodyTime is how long the rest of a refused body is read for: a connection that is closed with unread
	// bytes may take the refusal with it.
	unreadBodyTime = 500 * time.Millisecond
	// memoryRetryAfter is when a request that found no memory may return: slow bodies have made room by then.
	memoryRetryAfter = bodyPressedTime
)

var (
	errBodyTooLarge = errors.New("the body is larger than the configuration allows")
	errBodyMemory   = errors.New("the bodies of all requests are too large together")
	errBodySlow     = errors.New("the body stands still")
	errBodyEnded    = errors.New("the node ended before the body")
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
		return p.since.Add(bodyPressedTime)
	}
	return p.last.Add(bodyIdleTime)
}

// bodyRead reads the body of one request.
type bodyRead struct {
	from     io.Reader
	length   int64 // as announced, -1 if unknown
	limit    int64
	memory   *requestMemory
	deadline time.Time   // of the request
	isEnded  func() bool // reports whether the node ends the request
	response http.ResponseWriter

	// mu guards the rest, which the timer uses too.
	mu    sync.Mutex
	pace  bodyPace
	timer *kernel.Timer // nil before the first read
	done  bool          // no further read follows
}

// readBody reads the complete body of a request, or returns what it read before an error: a retry at a second endpoint may
// need it, and a slow caller must not occupy an endpoint.
//
// Memory is taken in steps as bytes come, since many callers may announce large bodies and send little.
func (g *Gateway) readBody(w http.ResponseWriter, in *http.Request, limit int64, r *Request) ([]byte, error) {
	if in.Body == nil || in.ContentLength == 0 {
		return nil, nil
	}
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if in.ContentLength > limit {
		return nil, errBodyTooLarge
	}
	b := bodyRead{
		from: in.Body, length: in.ContentLength, limit: limit, memory: &r.memory, deadline: r.Deadline, isEnded: r.isEnded,
		response: w, pace: newBodyPace(time.Now()),
	}
	body, err := b.readAll()
	b.endTimer()
	switch {
	case err != nil:
		b.endReads()
	case b.memory.bounded():
		_ = b.endReadsAt(time.Time{}) // fails only if the connection is closed
	}
	return body, err
}

// endReads prepares the connection for a refusal of a body that isn't read to its end.
func (b *bodyRead) endReads() {
	if b.memory.bounded() {
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
				return body, errBodyMemory
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
		return nil, errBodyTooLarge
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
	if !b.memory.take(heldBody, size-int64(cap(body))) {
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
	if !b.memory.bounded() {
		return b.from.Read(into)
	}
	for {
		until := b.startTimer()
		switch {
		case b.isEnded():
			return 0, errBodyEnded
		case !time.Now().Before(until):
			return 0, errBodySlow
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
			return 0, errBodySlow
		}
	}
}

// startTimer starts the timer with the first read, and returns until when the next one may take.
func (b *bodyRead) startTimer() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.timer == nil {
		b.timer = kernel.AfterFunc(bodyPressedTime, b.endIfSlow)
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
	b.timer.Reset(bodyPressedTime)
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
func (b *bodyRead) until() time.Time { return minTime(b.pace.until(b.memory.pressed()), b.deadline) }

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

// refuseMemory refuses a request for which no memory is left.
func (g *Gateway) refuseMemory(w http.ResponseWriter, r *Request, why heldKind, read int) {
	g.logMemoryRefused(r, why, read)
	g.refuse(w, r, refusal{status: http.StatusServiceUnavailable, reason: "memory", retryAfter: memoryRetryAfter})
}

func (g *Gateway) logMemoryRefused(r *Request, why heldKind, read int) {
	m := &g.memory
	klog.InfoS("memory_refused", "request", r.Info.ID, "for", why, "urgency", r.memory.urgency, "read", read, "held", m.total.Load(), "limit", r.memory.limit,
		"requests", m.byKind[heldRequest].Load(), "bodies", m.byKind[heldBody].Load(), "answers", m.byKind[heldAnswer].Load())
	g.Metrics.MemoryRefused(why.String())
}

// refuseBody ends a request whose body could not be read completely. read is how many bytes were.
func (g *Gateway) refuseBody(w http.ResponseWriter, r *Request, read int, err error) {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, errBodyTooLarge), errors.As(err, &tooLarge):
		g.refuse(w, r, refusal{status: http.StatusRequestEntityTooLarge, reason: "body_too_large"})
		return
	case errors.Is(err, errBodyMemory):
		g.refuseMemory(w, r, heldBody, read)
		return
	case r.isEnded():
		w.Header().Set("Connection", "close")
		g.refuse(w, r, goneRefusal(r, false))
		return
	case errors.Is(err, errBodySlow):
		klog.InfoS("body_slow", "request", r.Info.ID, "read", read, "pressed", r.memory.pressed(), "took", kernel.RunTime(r.Arrived, time.Now()))
		g.refuse(w, r, refusal{status: http.StatusRequestTimeout, reason: "body_slow"})
		return
	}
	why := refusal{status: http.StatusBadRequest, reason: "body_unreadable"}
	w.Header().Set("Connection", "close")
	if !bodyBrokeOff(err) {
		g.refuse(w, r, why)
		return
	}
	g.logUnanswered("request_broken_off", r, goneReason(r), "body_read", read, "err", err)
	_ = writeRefusal(w, r, why) // the caller has left, or only shut its sending side
}

// bodyBrokeOff reports whether a body ended with its connection, and not as it can't be read.
func bodyBrokeOff(err error) bool {
	var network net.Error
	return errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) || errors.As(err, &network)
}
