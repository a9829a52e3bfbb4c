package clienthttp

const (
	// fieldBytes is what a parsed field takes beside its bytes: its places in the map and in the list of values.
	fieldBytes = 160
	// lineFactor is what the bytes of a head take while they are read: a line is copied as it grows.
	lineFactor = 2
	// usualHead is the part of each head's cost that isn't counted, so that usual requests find room beside any others.
	usualHead = 6 << 10
	// largestRead is the most that one read of net/http adds to a head's cost.
	largestRead = readAhead * (lineFactor + fieldBytes/shortestLine + 1)
	// readAhead is how much net/http may have read of what follows a head.
	readAhead = 4 << 10
	// shortestLine is the length of the shortest line of a head.
	shortestLine = 3
)

// head counts what the head of a request takes. The zero value is a head of which nothing was read.
type head struct {
	bytes, lines int
	ended        bool // the empty line has come
	behind       int  // bytes that came behind it
	blank        bool // nothing has come of the present line
}

// with returns the head with more bytes of it.
func (h head) with(more []byte) head {
	for i, b := range more {
		if h.ended {
			h.behind += len(more) - i
			return h
		}
		h.bytes++
		switch b {
		case '\n':
			h.ended, h.blank = h.blank && h.lines > 0, true
			h.lines++
		case '\r':
		default:
			h.blank = false
		}
	}
	return h
}

// cost returns how many bytes of memory the head takes beyond those of a usual one.
func (h head) cost() int64 { return max(0, int64(lineFactor*h.bytes+fieldBytes*h.lines)-usualHead) }

// next returns the head that follows this one on its connection, whose request had a body of which so many bytes were read.
// What net/http has read of it already is taken for the shortest lines.
func (h head) next(body int64) head {
	ahead := int(min(readAhead, max(0, int64(h.behind)-body)))
	return head{bytes: ahead, lines: ahead / shortestLine}
}
