package fleet

import (
	"context"
	"time"

	"redwinghall"
)

// Row is one row of the store. Version increases with each transaction of an era, across
// all rows.
type Row struct {
	Table   string
	Part    string
	Key     string
	Value   []byte
	Version int64
	Removed bool // only in changes: the row was removed
}

// Rows is a response of the store: rows, and the newest position that they cover.
type Rows struct {
	Rows []Row
	At   Position
	// More says that the store has newer changes than the response contains.
	More bool
	// Relayed says that the rows came from another node and the store was not called.
	Relayed bool
	// Age is how long ago the store answered with the rows, 0 if it just did.
	Age time.Duration
}

// Expect is a precondition of a transaction: the version that a row must have, or 0 if the
// row must not exist.
type Expect struct {
	Table, Part, Key string
	Version          int64
}

// Txn is a transaction: preconditions, writes and deletes that are applied atomically.
type Txn struct {
	Expects []Expect
	Writes  []Row
	Deletes []Row
}

// Store is the metadata store of the deployment's users.
type Store interface {
	// List returns the rows of a table whose Part is empty. Each page is a consistent snapshot.
	List(ctx context.Context, table string) (Rows, error)
	// Changes waits for changes after a position and returns those of rows whose Part is empty, in order. There may be none.
	Changes(ctx context.Context, table string, after Position, wait time.Duration) (Rows, error)
	// Commit applies a transaction and returns its position.
	Commit(ctx context.Context, txn Txn) (Position, error)
}

// StoreKind classifies the errors of calls to the store.
type StoreKind string

// The kinds of store error.
const (
	// StoreUnavailable: the call failed and had no effect.
	StoreUnavailable StoreKind = "store_unavailable"
	// StoreUnreachable: the node that was called can't reach the store itself, or the store wasn't called as it
	// recently didn't answer this node.
	StoreUnreachable StoreKind = "store_away"
	// StoreOutcomeUnknown: the transaction may have been applied, or may be applied later.
	StoreOutcomeUnknown StoreKind = "store_unknown"
	// StoreConflict: a precondition of the transaction was not met.
	StoreConflict StoreKind = "store_conflict"
	// StoreHistoryGone: the requested changes are no longer available; list the table again.
	StoreHistoryGone StoreKind = "store_history_gone"
)

// StoreError is a failed call to the store.
type StoreError = redwinghall.OpError[StoreKind]
