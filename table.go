package redwinghall

import (
	"context"
	"encoding/json"
	"strings"
)

// Row is one record of the platform's table. Version rises with each write;
// zero means that the row does not exist.
type Row struct {
	Key     string          `json:"key"`
	Version int64           `json:"version"`
	Value   json.RawMessage `json:"value,omitempty"`
}

// Write changes one row in a transaction if its version is still Expect.
type Write struct {
	Key    string          `json:"key"`
	Expect int64           `json:"expect"`
	Value  json.RawMessage `json:"value,omitempty"`
	Delete bool            `json:"delete,omitempty"`
	// CheckOnly leaves the row as it is and only demands its version.
	CheckOnly bool `json:"check_only,omitempty"`
}

// Txn is a set of writes that happen all or not at all.
type Txn struct {
	Writes []Write `json:"writes"`
}

// Table is the platform's transactional table service.
type Table interface {
	// Read returns the rows of the keys in order; an absent row has version 0.
	Read(ctx context.Context, keys ...string) ([]Row, error)
	// Scan returns the rows whose key starts with prefix, in key order.
	Scan(ctx context.Context, prefix string) ([]Row, error)
	// Commit carries out the transaction. Its error's kind is TableConflict
	// (nothing was written), TableUnavailable (nothing was sent) or
	// TableUnknown (it may have been written, or may yet be).
	Commit(ctx context.Context, txn Txn) error
}

// TableKind says what a table error means for the operation.
type TableKind string

// The kinds of table error.
const (
	TableConflict    TableKind = "table_conflict"
	TableUnavailable TableKind = "table_unavailable"
	TableUnknown     TableKind = "table_unknown"
)

// TableError is a failed table operation.
type TableError = OpError[TableKind]

// ConflictError is the cause of a TableConflict: the keys whose versions were
// not as expected.
type ConflictError struct {
	Keys []string
}

// Error lists the keys.
func (e *ConflictError) Error() string { return "version changed: " + strings.Join(e.Keys, ", ") }
