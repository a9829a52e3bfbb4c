package caller

// maxBuffered is the maximum number of chunks that wait for an earlier one.
const maxBuffered = 64

// sequence puts the chunks of one response in order.
//
// When a second endpoint resumes a response, chunks of the first may arrive late, twice
// or out of order among those of the second, so that the caller would receive a chunk
// twice or miss one. Each position is therefore delivered once and in order, and only
// chunks with this request's id are accepted.
type sequence struct {
	requestID string
	next      int
	buffered  map[int][]byte
}

func newSequence(requestID string, next int) *sequence {
	return &sequence{requestID: requestID, next: next}
}

// received returns how many chunks have come, those included that wait for an earlier one.
func (q *sequence) received() int { return q.next + len(q.buffered) }

// add adds a chunk and calls deliver for each chunk that is now next in order. It
// returns false if the stream is malformed: the chunk does not have this request's id,
// or too many chunks are out of order.
func (q *sequence) add(e Event, deliver func(position int, data []byte) error) (bool, error) {
	if !e.HasID || e.RequestID != q.requestID {
		return false, nil
	}
	if e.Position < q.next {
		return true, nil // late or duplicate
	}
	if e.Position > q.next {
		return q.buffer(e), nil
	}
	if err := deliver(e.Position, e.Data); err != nil {
		return true, err
	}
	q.next++
	return true, q.deliverBuffered(deliver)
}

func (q *sequence) buffer(e Event) bool {
	if len(q.buffered) >= maxBuffered {
		return false
	}
	if q.buffered == nil {
		q.buffered = map[int][]byte{}
	}
	q.buffered[e.Position] = append([]byte(nil), e.Data...)
	return true
}

func (q *sequence) deliverBuffered(deliver func(position int, data []byte) error) error {
	for {
		data, ok := q.buffered[q.next]
		if !ok {
			return nil
		}
		delete(q.buffered, q.next)
		if err := deliver(q.next, data); err != nil {
			return err
		}
		q.next++
	}
}
