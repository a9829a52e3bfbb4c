package neighbor

import (
	"bytes"
	"compress/flate"
	"sync"

	"google.golang.org/protobuf/proto"

	"redwinghall/fleet"
	"redwinghall/neighbor/rpc"
)

// compressMinRows is the number of rows from which a response is compressed.
const compressMinRows = 50

// rowCompressor compresses responses and caches the last result for each table.
//
// When all nodes start at once, the reader of a zone sends each of them the full table of
// endpoints, and the bandwidth of its network link limits how fast they start.
type rowCompressor struct {
	mu   sync.Mutex
	last map[string]compressedRows // by call and table
}

type compressedRows struct {
	after, at fleet.Position
	bytes     []byte
}

// compress replaces the rows of a response, which lie behind a position, by their compressed form if there are at least
// compressMinRows. name is that of the call and the table.
func (c *rowCompressor) compress(name string, after fleet.Position, response *rpc.RowsResponse) error {
	if len(response.GetRows()) < compressMinRows {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	at := fleet.Position{Era: response.GetEra(), Version: response.GetVersion()}
	last, ok := c.last[name]
	if !ok || last.at != at || last.after != after {
		packed, err := deflateRows(response.GetRows())
		if err != nil {
			return err
		}
		last = compressedRows{after: after, at: at, bytes: packed}
		c.last[name] = last
	}
	response.Rows, response.Packed = nil, last.bytes
	return nil
}

func deflateRows(rows []*rpc.Row) ([]byte, error) {
	plain, err := proto.Marshal(&rpc.RowsResponse{Rows: rows})
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(plain); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}
