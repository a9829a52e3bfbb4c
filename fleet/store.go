package fleet

import (
	"context"
	"time"

	"redwinghall"
)

// Row is one record of the store. Version rises over all rows with each
// transaction of an era.
type Row struct {
	Table   string
	Part    string
	Key     string
	Value   []byte
	Version int64
	Removed bool // only in changes: the row is gone
}

// Rows is an answer of the store: rows, and the newest position that it covers.
type Rows struct {
	Rows []Row
	At   Position
	// More says of changes that the store knew newer ones than the answer holds.
	More bool
	// Relayed says that another node read them: the store was not called.
	Relayed bool
}

// Expect is a condition of a transaction: the version that a row must have,
// 0 for a row that must not exist.
type Expect struct {
	Table, Part, Key string
	Version          int64
}

// Txn is a set of conditions, writes and deletes that hold together or not at all.
type Txn struct {
	Expects []Expect
	Writes  []Row
	Deletes []Row
}

// Store is the users' metadata store.
type Store interface {
	// List returns the rows of a table without a part, as of one moment a page.
	List(ctx context.Context, table string) (Rows, error)
	// Changes waits for changes after a position and returns them in order.
	Changes(ctx context.Context, table string, after Position, wait time.Duration) (Rows, error)
	// Commit carries out a transaction and returns its position.
	Commit(ctx context.Context, txn Txn) (Position, error)
}

// StoreKind says what a failed call to the store means.
type StoreKind string

// The kinds of store error.
const (
	// StoreUnavailable: nothing was done.
	StoreUnavailable StoreKind = "store_unavailable"
	// StoreUnreachable: the node that was asked doesn't reach the store itself.
	StoreUnreachable StoreKind = "store_away"
	// StoreOutcomeUnknown: the call may have been carried out, or may yet be.
	StoreOutcomeUnknown StoreKind = "store_unknown"
	// StoreConflict: a condition of the transaction did not hold.
	StoreConflict StoreKind = "store_conflict"
	// StoreHistoryGone: the changes asked for are no longer known; list again.
	StoreHistoryGone StoreKind = "store_history_gone"
)

// StoreError is a failed call to the store.
type StoreError = redwinghall.OpError[StoreKind]
