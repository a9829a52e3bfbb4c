package redwinghall

import (
	"context"
	"encoding/json"
	"strings"
)

// Row is one row of the platform's table. Version increases with each write;
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
	// CheckOnly checks the version and leaves the row unchanged.
	CheckOnly bool `json:"check_only,omitempty"`
}

// Txn is a set of writes that are applied atomically.
type Txn struct {
	Writes []Write `json:"writes"`
}

// Table is the platform's transactional table service.
type Table interface {
	// Read returns the rows of the keys in the same order; a row that does
	// not exist has version 0.
	Read(ctx context.Context, keys ...string) ([]Row, error)
	// Scan returns the rows whose keys start with prefix, in key order.
	Scan(ctx context.Context, prefix string) ([]Row, error)
	// Commit executes the transaction. The kind of its error is TableConflict
	// (a version was not the expected one, so nothing was written),
	// TableUnavailable (nothing was sent, or the request was refused) or
	// TableUnknown (the writes may have been applied, or may still be).
	Commit(ctx context.Context, txn Txn) error
}

// TableKind is the kind of a table error. Table.Commit describes the kinds.
type TableKind string

// The kinds of table errors.
const (
	TableConflict    TableKind = "table_conflict"
	TableUnavailable TableKind = "table_unavailable"
	TableUnknown     TableKind = "table_unknown"
)

// TableError is a failed table operation.
type TableError = OpError[TableKind]

// ConflictError is the cause of a TableConflict: it lists the keys whose versions
// were not the expected ones.
type ConflictError struct {
	Keys []string
}

// Error lists the keys.
func (e *ConflictError) Error() string { return "version changed: " + strings.Join(e.Keys, ", ") }
