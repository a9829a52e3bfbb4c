package neighbor

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"google.golang.org/protobuf/proto"

	"redwinghall/neighbor/rpc"
)

// packRows is the number of rows from which an answer is compressed.
const packRows = 50

// packer compresses answers, and keeps the last of each table.
//
// Gain: after a start of all nodes, the reader of a zone sends each of them the whole
// table of endpoints. Its link is then what they wait for.
type packer struct {
	mu   sync.Mutex
	last map[string]packedRows // by table
}

type packedRows struct {
	version int64
	bytes   []byte
}

// pack compresses the rows of an answer in place, if they are many.
func (p *packer) pack(table string, answer *rpc.RowsResponse) error {
	if len(answer.GetRows()) < packRows {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	last, ok := p.last[table]
	if !ok || last.version != answer.GetVersion() {
		packed, err := compress(answer.GetRows())
		if err != nil {
			return err
		}
		last = packedRows{version: answer.GetVersion(), bytes: packed}
		p.last[table] = last
	}
	answer.Rows, answer.Packed = nil, last.bytes
	return nil
}

func compress(rows []*rpc.Row) ([]byte, error) {
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

// unpackLimit bounds what is unpacked, as a few bytes may stand for very many.
const unpackLimit = 64 << 20

// unpack puts the rows of a compressed answer in their place.
func unpack(answer *rpc.RowsResponse) error {
	if len(answer.GetPacked()) == 0 {
		return nil
	}
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(answer.GetPacked())), unpackLimit))
	if err != nil {
		return err
	}
	var rows rpc.RowsResponse
	if err := proto.Unmarshal(plain, &rows); err != nil {
		return err
	}
	answer.Rows, answer.Packed = rows.GetRows(), nil
	return nil
}
