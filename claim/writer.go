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

// Limits of one transaction and of the queue before it.
const (
	maxBatch       = 200
	maxQueuedWrite = 20000
)

// A table that was down is asked first after firstPause, then after twice as
// long each time up to lastPause, at a random moment of the second half. When
// an outage ends, hundreds of routers must not all ask at the same moment and
// again at the shortest interval: that would be most of what the table bears.
const (
	firstPause = 250 * time.Millisecond
	lastPause  = 8 * time.Second
)

// pauseAfter returns the pause after so many failures in a row.
func pauseAfter(failures int, first time.Duration) time.Duration {
	pause := lastPause
	if failures < 16 {
		pause = min(lastPause, first<<failures)
	}
	return pause/2 + mathrand.N(pause/2+1)
}

// result is what became of one row's write.
type result int

const (
	written     result = iota
	conflicted         // the row's version was another
	unavailable        // nothing was sent
	unknown            // it may have been written, or may yet be
)

type write struct {
	row  redwinghall.Write
	done chan result
}

// Writer shares transactions between the claims and outcomes of concurrent
// requests: what arrives while one transaction is on its way goes into the
// next. At rest a write waits for nothing; under load the number of
// transactions stays bounded by the interval.
type Writer struct {
	table redwinghall.Table
	// interval is the least time between two transactions of this process.
	interval time.Duration

	mu     sync.Mutex
	queue  []write
	wake   chan struct{}
	down   bool // the table did not answer the last time it was asked
	counts Counts
}

// Counts tells how the writer used the table.
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

// Counts returns how the table was used so far.
func (w *Writer) Counts() Counts {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.counts
}

// Down reports whether the table did not answer lately.
func (w *Writer) Down() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.down
}

// Write puts one row into a coming transaction and waits for the result. When
// ctx ends first the result is unknown: the row may still be written.
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

// Run commits what is queued until ctx ends.
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

// RunProbe asks the table from time to time while it is down, so that claims
// are refused at once in the meantime and taken again soon after.
func (w *Writer) RunProbe(ctx context.Context) error {
	failures := 0
	for kernel.Sleep(ctx, pauseAfter(failures, firstPause)) {
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

// takeBatch removes the next writes from the queue, at most one for each key:
// two attempts at one key in one transaction would both conflict.
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

// commit carries out one batch. Rows in conflict are answered and the others
// tried again at once; each round has fewer rows, so it ends.
func (w *Writer) commit(ctx context.Context) {
	batch := w.takeBatch()
	for len(batch) > 0 {
		err := w.table.Commit(ctx, txnOf(batch))
		w.note(len(batch), err)
		switch redwinghall.KindOf[redwinghall.TableKind](err) {
		case "":
			if err == nil {
				answer(batch, written)
			} else {
				answer(batch, unknown)
			}
			return
		case redwinghall.TableConflict:
			rest := w.answerConflicts(batch, err)
			if len(rest) == len(batch) {
				answer(batch, unknown) // a conflict that names none of our keys
				return
			}
			batch = rest
		case redwinghall.TableUnavailable:
			w.setDown(true)
			answer(batch, unavailable)
			return
		default:
			answer(batch, unknown)
			return
		}
	}
}

func (w *Writer) answerConflicts(batch []write, err error) []write {
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

func (w *Writer) note(rows int, err error) {
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

// setDown notes whether the table answers. When it does not, what is still
// queued was never sent and is refused, so that nobody waits for an outage.
func (w *Writer) setDown(down bool) {
	w.mu.Lock()
	w.down = down
	var refused []write
	if down {
		refused, w.queue = w.queue, nil
	}
	w.mu.Unlock()
	answer(refused, unavailable)
}

func txnOf(batch []write) redwinghall.Txn {
	writes := make([]redwinghall.Write, len(batch))
	for i, one := range batch {
		writes[i] = one.row
	}
	return redwinghall.Txn{Writes: writes}
}

func answer(batch []write, r result) {
	for _, one := range batch {
		one.done <- r
	}
}
