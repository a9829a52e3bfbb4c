package caller

// maxHeld bounds how many chunks may wait for an earlier one.
const maxHeld = 64

// sequence puts the chunks of one answer in order.
//
// Guard: after a resume, chunks of the first endpoint may arrive late, twice
// or out of order beside those of the second; the caller would read a
// chunk twice or miss one. A chunk counts only under this request's id, once, and
// at its position.
type sequence struct {
	requestID string
	next      int
	held      map[int][]byte
}

func newSequence(requestID string, next int) *sequence {
	return &sequence{requestID: requestID, next: next}
}

// offer takes a chunk and hands every chunk that is now due to deliver, in
// order. It returns false when the stream cannot be trusted any more.
func (q *sequence) offer(e Event, deliver func(position int, data []byte) error) (bool, error) {
	if !e.HasID || e.RequestID != q.requestID {
		return false, nil
	}
	if e.Position < q.next {
		return true, nil // late or doubled
	}
	if e.Position > q.next {
		return q.hold(e), nil
	}
	if err := deliver(e.Position, e.Data); err != nil {
		return true, err
	}
	q.next++
	return true, q.deliverHeld(deliver)
}

func (q *sequence) hold(e Event) bool {
	if len(q.held) >= maxHeld {
		return false
	}
	if q.held == nil {
		q.held = map[int][]byte{}
	}
	q.held[e.Position] = append([]byte(nil), e.Data...)
	return true
}

func (q *sequence) deliverHeld(deliver func(position int, data []byte) error) error {
	for {
		data, ok := q.held[q.next]
		if !ok {
			return nil
		}
		delete(q.held, q.next)
		if err := deliver(q.next, data); err != nil {
			return err
		}
		q.next++
	}
}
