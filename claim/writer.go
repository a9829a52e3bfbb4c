package claim

import (
	"context"
	"errors"
	mathrand "math/rand/v2"
	"sync"
	"time"

	"redwinghall"
	"redwinghall/kernel"
)

// Limits of a transaction and of the queue of writes.
const (
	maxBatch       = 200
	maxQueuedWrite = 20000
)

// While the table is down it is probed after minBackoff, then with a delay that
// doubles up to maxBackoff; the second half of each delay is random. When an
// outage ends, hundreds of routers must not all retry at the same moment and at
// the shortest interval: that would use up most of the table's capacity.
const (
	minBackoff = 250 * time.Millisecond
	maxBackoff = 8 * time.Second
)

// backoff returns the delay after the given number of consecutive failures.
func backoff(failures int, first time.Duration) time.Duration {
	pause := maxBackoff
	if failures < 16 {
		pause = min(maxBackoff, first<<failures)
	}
	return pause/2 + mathrand.N(pause/2+1)
}

// result is the outcome of writing one row.
type result int

const (
	written     result = iota
	conflicted         // the row had a different version
	unavailable        // nothing was sent
	unknown            // it may have been written, or may be written later
)

type write struct {
	row  redwinghall.Write
	done chan result
}

// Writer batches the claims and outcomes of concurrent requests into shared
// transactions: writes that arrive while a transaction is in progress go into
// the next one. An idle writer commits a write immediately; under load the
// interval limits the rate of transactions.
type Writer struct {
	table redwinghall.Table
	// interval is the minimum time between two transactions of this process.
	interval time.Duration

	mu     sync.Mutex
	queue  []write
	wake   chan struct{}
	down   bool // the table did not respond to the last call
	counts Counts
}

// Counts holds the writer's counters of its use of the table.
type Counts struct {
	Transactions uint64
	Rows         uint64
	Conflicts    uint64
	Unknown      uint64
	Unavailable  uint64
}

// NewWriter returns a writer that starts at most one transaction in each
// interval.
func NewWriter(table redwinghall.Table, interval time.Duration) *Writer {
	return &Writer{table: table, interval: interval, wake: make(chan struct{}, 1)}
}

// Counts returns the counters so far.
func (w *Writer) Counts() Counts {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.counts
}

// Down reports whether the table is considered unavailable.
func (w *Writer) Down() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.down
}

// Write queues one row for a transaction and waits for the result. If ctx ends
// first, the result is unknown: the row may still be written.
func (w *Writer) Write(ctx context.Context, row redwinghall.Write) result {
	one := write{row: row, done: make(chan result, 1)}
	w.mu.Lock()
	if w.down || len(w.queue) >= maxQueuedWrite {
		w.mu.Unlock()
		return unavailable
	}
	w.queue = append(w.queue, one)
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	select {
	case r := <-one.done:
		return r
	case <-ctx.Done():
		return unknown
	}
}

// Run commits queued writes until ctx ends.
func (w *Writer) Run(ctx context.Context) error {
	var last time.Time
	for {
		select {
		case <-ctx.Done():
			w.setDown(true)
			return nil
		case <-w.wake:
		}
		for w.pending() > 0 && ctx.Err() == nil {
			if wait := w.interval - time.Since(last); wait > 0 && !kernel.Sleep(ctx, wait) {
				break
			}
			last = time.Now()
			w.commit(ctx)
		}
	}
}

// RunProbe probes the table while it is down. Claims are refused immediately
// until a probe succeeds.
func (w *Writer) RunProbe(ctx context.Context) error {
	failures := 0
	for kernel.Sleep(ctx, backoff(failures, minBackoff)) {
		if !w.Down() {
			failures = 0
			continue
		}
		if _, err := w.table.Read(ctx, "probe"); err != nil {
			failures++
			continue
		}
		failures = 0
		w.setDown(false)
	}
	return nil
}

func (w *Writer) pending() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.queue)
}

// takeBatch removes the next writes from the queue, at most one for each key,
// because two writes of one key in the same transaction would both conflict.
func (w *Writer) takeBatch() []write {
	w.mu.Lock()
	defer w.mu.Unlock()
	seen := map[string]bool{}
	var batch, rest []write
	for _, one := range w.queue {
		if len(batch) < maxBatch && !seen[one.row.Key] {
			seen[one.row.Key] = true
			batch = append(batch, one)
			continue
		}
		rest = append(rest, one)
	}
	w.queue = rest
	return batch
}

// commit writes one batch. Conflicting rows are reported to their writers and the
// others are retried immediately; each round has fewer rows, so the loop ends.
func (w *Writer) commit(ctx context.Context) {
	batch := w.takeBatch()
	for len(batch) > 0 {
		err := w.table.Commit(ctx, txnOf(batch))
		w.updateCounts(len(batch), err)
		switch redwinghall.KindOf[redwinghall.TableKind](err) {
		case "":
			if err == nil {
				sendResults(batch, written)
			} else {
				sendResults(batch, unknown)
			}
			return
		case redwinghall.TableConflict:
			rest := w.sendConflicts(batch, err)
			if len(rest) == len(batch) {
				sendResults(batch, unknown) // the conflict names none of the batch's keys
				return
			}
			batch = rest
		case redwinghall.TableUnavailable:
			w.setDown(true)
			sendResults(batch, unavailable)
			return
		default:
			sendResults(batch, unknown)
			return
		}
	}
}

func (w *Writer) sendConflicts(batch []write, err error) []write {
	var conflict *redwinghall.ConflictError
	if !errors.As(err, &conflict) {
		return batch
	}
	inConflict := make(map[string]bool, len(conflict.Keys))
	for _, key := range conflict.Keys {
		inConflict[key] = true
	}
	var rest []write
	for _, one := range batch {
		if inConflict[one.row.Key] {
			one.done <- conflicted
			continue
		}
		rest = append(rest, one)
	}
	return rest
}

func (w *Writer) updateCounts(rows int, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counts.Transactions++
	w.counts.Rows += uint64(rows)
	switch redwinghall.KindOf[redwinghall.TableKind](err) {
	case redwinghall.TableConflict:
		w.counts.Conflicts++
	case redwinghall.TableUnavailable:
		w.counts.Unavailable++
	case redwinghall.TableUnknown:
		w.counts.Unknown++
	}
}

// setDown records whether the table is down. If it is, the queued writes, which
// were never sent, are refused, so that no request waits for the outage to end.
func (w *Writer) setDown(down bool) {
	w.mu.Lock()
	w.down = down
	var refused []write
	if down {
		refused, w.queue = w.queue, nil
	}
	w.mu.Unlock()
	sendResults(refused, unavailable)
}

func txnOf(batch []write) redwinghall.Txn {
	writes := make([]redwinghall.Write, len(batch))
	for i, one := range batch {
		writes[i] = one.row
	}
	return redwinghall.Txn{Writes: writes}
}

func sendResults(batch []write, r result) {
	for _, one := range batch {
		one.done <- r
	}
}
