package neighbor

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"path"
	"sync/atomic"
	"time"

	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/encoding/protowire"

	"redwinghall/kernel"
)

const (
	// maxShortRequest is for the calls that nodes make for each request of a caller, maxLongRequest for reports, evidence
	// and transactions, of which the store takes less.
	maxShortRequest = 32 << 10
	maxLongRequest  = 768 << 10
	// maxShortBodies and maxLongBodies are how much memory requests may take together. Long ones, of which few are
	// read at a time, leave room to those for which a caller waits.
	maxShortBodies = 4 << 20
	maxLongBodies  = 5 << 20
	// requestTimeout is how long the body of a request may take. No node waits as long for the answer.
	requestTimeout = 2 * callTimeout
	// bodyCost is how many bytes one byte of a body takes until it is decoded: it is read here, again by the generated
	// code, and copied into the message. fieldCost is for a part of a message, which takes no more than two bytes of the
	// body.
	bodyCost  = 6
	fieldCost = 160
	minChunk  = 512
	maxChunk  = 32 << 10
	// memoryWait is how long a request may be read and wait for memory, well within what its sender waits for the answer, and
	// memoryPollInterval how often it looks.
	memoryWait         = callTimeout / 2
	memoryPollInterval = 5 * time.Millisecond
)

var (
	errBodySize   = errors.New("the body is too large")
	errBodyCut    = errors.New("the body is cut off")
	errBodyMemory = errors.New("too much is being read")
)

// longRequests are the calls whose requests may be long.
var longRequests = map[string]bool{"Share": true, "Commit": true, "Lend": true, "Quarantine": true, "Trial": true}

// memoryWaits are the waits of the calls whose senders have gone before memoryWait is over. What is read later would be done
// for nobody.
var memoryWaits = map[string]time.Duration{"Reserve": reserveTimeout, "Permit": reserveTimeout, "Trial": trialTimeout}

// memoryWaitOf returns how long the request of a call waits for memory.
func memoryWaitOf(call string) time.Duration {
	if wait, ok := memoryWaits[call]; ok {
		return wait
	}
	return memoryWait
}

// bodyMemory bounds the memory of all bodies that are being read and decoded.
type bodyMemory struct {
	limit int64
	used  atomic.Int64
}

func (m *bodyMemory) tryTake(n int64) bool {
	if m.used.Add(n) <= m.limit {
		return true
	}
	m.used.Add(-n)
	return false
}

// body is a body that was read whole.
type body struct {
	bytes.Reader
	memory *bodyMemory
	begun  time.Time
	wait   time.Duration // for memory from then on, before the body is given up
	taken  atomic.Int64
}

// read reads a body of up to so many bytes, and waits so long for memory. It must be closed if there is no error.
func (m *bodyMemory) read(r io.Reader, most int64, wait time.Duration) (*body, error) {
	b := &body{memory: m, begun: time.Now(), wait: wait}
	data, err := readAll(&bodyReader{r: r, body: b, left: most})
	if err == nil && !b.take(fieldCost*countFields(data)) {
		err = errBodyMemory
	}
	if err != nil {
		_ = b.Close()
		return nil, err
	}
	b.Reset(data)
	return b, nil
}

// take takes memory, and waits for it until others give theirs back.
//
// All nodes of a zone may report within a moment, as after a pause of this one. Those whose reports were refused
// would take it for silent.
func (b *body) take(n int64) bool {
	for !b.memory.tryTake(n) {
		if kernel.RunTime(b.begun, time.Now()) >= b.wait {
			return false
		}
		kernel.Sleep(context.Background(), memoryPollInterval)
	}
	b.taken.Add(n)
	return true
}

// Close gives the memory back.
func (b *body) Close() error {
	b.memory.used.Add(-b.taken.Swap(0))
	return nil
}

// bodyReader reads a body and takes the memory for it.
type bodyReader struct {
	r    io.Reader
	body *body
	left int64
}

// Read implements io.Reader.
func (r *bodyReader) Read(p []byte) (int, error) {
	n, err := r.r.Read(p[:min(int64(len(p)), r.left+1)])
	if errors.Is(err, io.ErrUnexpectedEOF) {
		err = errBodyCut // io.ReadFull returns the other for a body that ends
	}
	if r.left -= int64(n); r.left < 0 {
		return n, errBodySize
	}
	if !r.body.take(bodyCost * int64(n)) {
		return n, errBodyMemory
	}
	return n, err
}

// readAll reads a body, in chunks that grow with it. A body that ends with an error is never held twice, as it would be by
// io.ReadAll.
func readAll(r io.Reader) ([]byte, error) {
	var chunks [][]byte
	for size := 0; ; {
		chunk := make([]byte, min(max(size, minChunk), maxChunk))
		n, err := io.ReadFull(r, chunk)
		chunks = append(chunks, chunk[:n])
		size += n
		switch {
		case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
			return bytes.Join(chunks, nil), nil
		case err != nil:
			return nil, err
		}
	}
}

// countFields returns how many fields a message has, up to the first that can't be read.
func countFields(message []byte) (count int64) {
	for len(message) > 0 {
		_, _, n := protowire.ConsumeField(message)
		if n < 0 {
			return count
		}
		message = message[n:]
		count++
	}
	return count
}

// newBoundedHandler limits the bodies of requests before a handler reads them.
//
// The generated handlers read a body whole, whatever comes, and for as long as it comes.
func newBoundedHandler(next http.Handler) http.Handler {
	short, long := &bodyMemory{limit: maxShortBodies}, &bodyMemory{limit: maxLongBodies}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		call := path.Base(r.URL.Path)
		memory, most := short, int64(maxShortRequest)
		if longRequests[call] {
			memory, most = long, maxLongRequest
		}
		control := http.NewResponseController(w)
		_ = control.SetReadDeadline(time.Now().Add(requestTimeout)) // a writer without deadlines reads no connection
		b, err := memory.read(r.Body, most, memoryWaitOf(call))
		if err != nil {
			w.Header().Set("Connection", "close") // what is left isn't read
			_ = twirp.WriteError(w, twirp.NewError(twirp.Unavailable, err.Error()))
			return
		}
		defer func() { _ = b.Close() }()
		_ = control.SetReadDeadline(time.Time{})
		r.Body = b
		next.ServeHTTP(w, r)
	})
}
