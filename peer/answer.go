package peer

import (
	"bufio"
	"cmp"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"redwinghall/kernel"
	"redwinghall/peer/rpc"
)

const (
	// maxAnswerBytes is the largest answer of a peer: the largest manifest with the other registers of a zone. maxErrorBytes
	// is the largest error, and maxHeadBytes the largest head.
	maxAnswerBytes = 9 << 20
	maxErrorBytes  = 16 << 10
	maxHeadBytes   = 8 << 10
	entryBytes     = 32 // of an entry beside its key and value
	// maxAnswerParts is how many registers, marks and the like an answer may hold. An empty one is two bytes of it, and takes
	// a hundred times that once it is decoded.
	maxAnswerParts = 32 << 10
	// shortAnswerBytes is how much of each answer is read at any time. Rounds and pushes have no longer ones.
	shortAnswerBytes = 64 << 10
	minChunkBytes    = 512
	maxChunkBytes    = 32 << 10
	// stillTime is how long no part of a long answer may come while another one waits, and turnPollInterval how often
	// that one looks.
	stillTime        = 200 * time.Millisecond
	turnPollInterval = 5 * time.Millisecond
)

var (
	errAnswerSize  = errors.New("the answer is too large")
	errAnswerParts = errors.New("the answer has too many parts")
	errAnswerForm  = errors.New("the answer is no message")
)

// longAnswers lets one long answer at a time be read and decoded.
//
// The largest one takes most of the memory that all answers may take, so a second one waits instead of being refused.
type longAnswers struct {
	mu     sync.Mutex
	holder *answer // of the turn
}

// enter waits for the turn of a long answer. It ends an answer that has the turn and stands still.
func (l *longAnswers) enter(ctx context.Context, a *answer) error {
	for !l.tryEnter(a, time.Now()) {
		kernel.Sleep(ctx, turnPollInterval)
		if err := ctx.Err(); err != nil {
			return err
		}
	}
	return nil
}

func (l *longAnswers) tryEnter(a *answer, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.holder == nil {
		l.holder, a.movedAt = a, now
	}
	if l.holder != a && !l.holder.whole && kernel.RunTime(l.holder.movedAt, now) >= stillTime {
		l.holder.end()
	}
	return l.holder == a
}

// record notes that a part of an answer came, or all of it.
func (l *longAnswers) record(a *answer, now time.Time, whole bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a.movedAt, a.whole = now, whole
}

func (l *longAnswers) leave(a *answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.holder == a {
		l.holder = nil
	}
}

// answer is an answer that was read whole. Each part of it is dropped once it is read again.
type answer struct {
	chunks  [][]byte
	long    *longAnswers
	end     context.CancelFunc // of its connection
	movedAt time.Time          // guarded by long.mu, as whole
	whole   bool
}

// read reads an answer of up to so many bytes, of a call that end ends. It must be closed, also after an error.
func (l *longAnswers) read(ctx context.Context, end context.CancelFunc, r io.Reader, most int) (*answer, error) {
	a := &answer{long: l, end: end}
	return a, a.fill(ctx, r, most)
}

// fill reads in chunks that grow with the answer: one that ends with an error is never held twice, as it would be by
// io.ReadAll.
func (a *answer) fill(ctx context.Context, r io.Reader, most int) error {
	for size, hasTurn := 0, false; ; {
		chunk := make([]byte, min(max(size, minChunkBytes), maxChunkBytes))
		n, err := fillChunk(r, chunk)
		a.chunks = append(a.chunks, chunk[:n])
		size += n
		a.long.record(a, time.Now(), errors.Is(err, io.EOF))
		switch {
		case size > most:
			return errAnswerSize
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		case size >= shortAnswerBytes && !hasTurn:
			if err := a.long.enter(ctx, a); err != nil {
				return err
			}
			hasTurn = true
		}
	}
}

// fillChunk reads until the chunk is full, or returns io.EOF at the end of the answer.
func fillChunk(r io.Reader, chunk []byte) (filled int, err error) {
	for filled < len(chunk) && err == nil {
		var n int
		n, err = r.Read(chunk[filled:])
		filled += n
	}
	return filled, err
}

// check returns an error if the answer is no message, or one of too many parts.
func (a *answer) check() error { return checkParts(&answer{chunks: slices.Clone(a.chunks)}) }

// Read implements io.Reader.
func (a *answer) Read(p []byte) (int, error) {
	for len(a.chunks) > 0 && len(a.chunks[0]) == 0 {
		a.chunks[0] = nil
		a.chunks = a.chunks[1:]
	}
	if len(a.chunks) == 0 {
		return 0, io.EOF
	}
	n := copy(p, a.chunks[0])
	a.chunks[0] = a.chunks[0][n:]
	return n, nil
}

// Close ends the turn of a long answer.
func (a *answer) Close() error {
	a.long.leave(a)
	return nil
}

// fitEntries returns the entries for which an answer with other parts has room, the smaller ones first. The next
// exchanges bring the others. One that is larger than an answer reaches a process by a push or by the table.
func fitEntries(answer *rpc.ExchangeResponse, entries []Entry) []Entry {
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(len(a.Value), len(b.Value)) })
	left := maxAnswerBytes - proto.Size(answer)
	parts := maxAnswerParts - len(answer.Marks) - len(answer.Health) - len(answer.Wanted) - 1 // the digest
	for i, e := range entries {
		if left -= len(e.Key) + len(e.Value) + entryBytes; left < 0 || i >= parts {
			return entries[:i]
		}
	}
	return entries
}

// checkParts returns an error if a message has too many parts, or one that can't be read.
func checkParts(message io.Reader) error {
	in := bufio.NewReader(message)
	for range maxAnswerParts + 1 {
		tag, err := binary.ReadUvarint(in)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := skipPart(in, protowire.Type(tag&7)); err != nil { //nolint:gosec // three bits
			return err
		}
	}
	return errAnswerParts
}

// skipPart skips the value of a part.
func skipPart(in *bufio.Reader, kind protowire.Type) error {
	var length uint64
	var err error
	switch kind {
	case protowire.VarintType:
		_, err = binary.ReadUvarint(in)
	case protowire.BytesType:
		length, err = binary.ReadUvarint(in)
	case protowire.Fixed64Type:
		length = 8
	case protowire.Fixed32Type:
		length = 4
	default:
		err = errAnswerForm
	}
	if err == nil && length > maxAnswerBytes {
		err = errAnswerForm
	}
	if err != nil {
		return err
	}
	_, err = in.Discard(int(length)) //nolint:gosec // it is checked
	if errors.Is(err, io.EOF) {
		err = errAnswerForm
	}
	return err
}
