package neighbor

import (
	"bufio"
	"bytes"
	"compress/flate"
	"encoding/binary"
	"errors"
	"io"

	"google.golang.org/protobuf/encoding/protowire"

	"redwinghall/fleet"
)

const (
	// maxListBytes is how much the rows of an answer may take.
	maxListBytes = 8 << 20
	// rowCost is what a row takes beside its key and value.
	rowCost = 112
)

// Fields of the messages, as in neighbor.proto.
const (
	fieldRows    = 1
	fieldKey     = 1
	fieldValue   = 2
	fieldVersion = 3
	fieldRemoved = 4
)

var (
	errListSize = errors.New("the rows take too much memory")
	errMessage  = errors.New("the rows can't be decoded")
)

// unpack decodes the compressed rows of a table. It measures them before it keeps any, since a few compressed bytes can
// expand to very many.
func unpack(table string, packed []byte) ([]fleet.Row, error) {
	count, size := 0, int64(0)
	err := scanRows(packed, func(r *messageReader) error {
		count++
		if size += rowCost + r.left; size > maxListBytes {
			return errListSize
		}
		return r.skip(r.left)
	})
	if err != nil {
		return nil, err
	}
	rows := make([]fleet.Row, 0, count)
	err = scanRows(packed, func(r *messageReader) error {
		row, err := r.row()
		row.Table = table
		rows = append(rows, row)
		return err
	})
	return rows, err
}

// scanRows calls a function for each row, which must read the row to its end.
func scanRows(packed []byte, use func(r *messageReader) error) error {
	r := &messageReader{in: bufio.NewReader(flate.NewReader(bytes.NewReader(packed)))}
	for {
		if _, err := r.in.Peek(1); err != nil {
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		}
		r.left = maxListBytes
		field, kind, err := r.tag()
		if err != nil {
			return err
		}
		if field != fieldRows || kind != protowire.BytesType {
			return errMessage
		}
		length, err := r.length()
		if err != nil {
			return err
		}
		r.left = length
		if err := use(r); err != nil {
			return err
		}
	}
}

// messageReader reads a message of which so many bytes are left.
type messageReader struct {
	in   *bufio.Reader
	left int64
}

func (r *messageReader) varint() (uint64, error) {
	v, err := binary.ReadUvarint(r.in)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	if r.left -= int64(protowire.SizeVarint(v)); r.left < 0 && err == nil {
		err = errMessage
	}
	return v, err
}

func (r *messageReader) tag() (protowire.Number, protowire.Type, error) {
	v, err := r.varint()
	field, kind := protowire.DecodeTag(v)
	return field, kind, err
}

// length reads the length of a field that lies within the message.
func (r *messageReader) length() (int64, error) {
	v, err := r.varint()
	if err == nil && v > uint64(r.left) { //nolint:gosec // it isn't negative
		err = errMessage
	}
	return int64(v), err //nolint:gosec // it is checked
}

func (r *messageReader) skip(n int64) error {
	skipped, err := r.in.Discard(int(n))
	r.left -= int64(skipped)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return err
}

func (r *messageReader) bytes() ([]byte, error) {
	n, err := r.length()
	if err != nil {
		return nil, err
	}
	value := make([]byte, n)
	_, err = io.ReadFull(r.in, value)
	r.left -= n
	return value, err
}

// row reads a row that ends with the message.
func (r *messageReader) row() (row fleet.Row, err error) {
	for r.left > 0 && err == nil {
		var field protowire.Number
		var kind protowire.Type
		if field, kind, err = r.tag(); err != nil {
			return row, err
		}
		switch kind {
		case protowire.VarintType:
			err = r.number(field, &row)
		case protowire.BytesType:
			err = r.text(field, &row)
		default:
			err = errMessage
		}
	}
	return row, err
}

func (r *messageReader) number(field protowire.Number, row *fleet.Row) error {
	v, err := r.varint()
	switch field {
	case fieldVersion:
		row.Version = int64(v) //nolint:gosec // as protobuf encodes negative numbers
	case fieldRemoved:
		row.Removed = v != 0
	}
	return err
}

func (r *messageReader) text(field protowire.Number, row *fleet.Row) error {
	value, err := r.bytes()
	switch field {
	case fieldKey:
		row.Key = string(value)
	case fieldValue:
		row.Value = value
	}
	return err
}
