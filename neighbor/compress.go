package neighbor

import (
	"bytes"
	"compress/flate"
	"io"
	"net/http"
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
	last map[string]compressedRows // by table
}

type compressedRows struct {
	at    fleet.Position
	bytes []byte
}

// compress replaces the rows of a response by their compressed form, if there are at least
// compressMinRows.
func (c *rowCompressor) compress(table string, response *rpc.RowsResponse) error {
	if len(response.GetRows()) < compressMinRows {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	at := fleet.Position{Era: response.GetEra(), Version: response.GetVersion()}
	last, ok := c.last[table]
	if !ok || last.at != at {
		packed, err := deflateRows(response.GetRows())
		if err != nil {
			return err
		}
		last = compressedRows{at: at, bytes: packed}
		c.last[table] = last
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

// maxDecompressedBytes limits the size of decompressed rows, since a few compressed bytes
// can expand to very many. Three tables may be read at once, each with copies of its rows.
const maxDecompressedBytes = 16 << 20

// decompress replaces the compressed rows of a response by the rows.
func decompress(response *rpc.RowsResponse) error {
	if len(response.GetPacked()) == 0 {
		return nil
	}
	plain, err := io.ReadAll(http.MaxBytesReader(nil, flate.NewReader(bytes.NewReader(response.GetPacked())), maxDecompressedBytes))
	if err != nil {
		return err
	}
	var rows rpc.RowsResponse
	if err := proto.Unmarshal(plain, &rows); err != nil {
		return err
	}
	response.Rows, response.Packed = rows.GetRows(), nil
	return nil
}
