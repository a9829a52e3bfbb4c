// Package admit implements admission control. Requests wait in bounded queues, one
// per client account and class, that are served by weighted fair queueing. Requests
// that cannot be served before their deadline are refused at once.
package admit

import (
	"context"
	"sync"
	"time"

	"redwinghall"
)

// Kind is the reason for a refusal.
type Kind string

// The reasons for a refusal.
const (
	QueueFull        Kind = "queue_full"
	DeadlineTooShort Kind = "deadline_too_short"
	DeadlinePassed   Kind = "deadline_passed"
)

// Error is a refused request.
type Error = redwinghall.OpError[Kind]

// interactiveFactor multiplies the weight of interactive accounts relative to batch
// accounts.
const interactiveFactor = 8

// smoothing is the weight of the newest sample in the moving average of the interval
// between grants.
const smoothing = 0.2

// Gate admits requests while slots are free, and queues the rest.
type Gate[T any] struct {
	mu          sync.Mutex
	acquireSlot func() (T, bool) // acquires a free slot, if any
	queues      map[string]*queue[T]
	waiting     int
	virtualTime float64
	// lastGrant is when a waiting request was last granted a slot; zero if none is
	// waiting. Only intervals between such grants reflect the service rate: while no
	// request waits, they reflect the arrival rate.
	lastGrant     time.Time
	grantInterval time.Duration
}

type queue[T any] struct {
	weight     float64
	finishTime float64 // virtual finish time of its first request
	waiters    []*waiter[T]
}

type waiter[T any] struct {
	done    chan T
	granted bool
}

// NewGate returns a gate that takes slots from acquireSlot, which returns false if
// none is free and must not block.
func NewGate[T any](acquireSlot func() (T, bool)) *Gate[T] {
	return &Gate[T]{acquireSlot: acquireSlot, queues: map[string]*queue[T]{}}
}

// Acquire returns a slot, or a refusal. It waits no longer than until ctx is done, and
// refuses at once if the queue is full or if the expected wait exceeds the time until
// the deadline of ctx.
func (g *Gate[T]) Acquire(ctx context.Context, now time.Time, account redwinghall.ClientAccount) (T, error) {
	var zero T
	g.mu.Lock()
	if g.waiting == 0 {
		if slot, ok := g.acquireSlot(); ok {
			g.mu.Unlock()
			return slot, nil
		}
	}
	q := g.queueFor(account)
	if len(q.waiters) >= account.MaxQueued {
		g.mu.Unlock()
		return zero, redwinghall.NewOpError("Gate.Acquire", QueueFull, nil)
	}
	if deadline, ok := ctx.Deadline(); ok && g.expectedWait(now, q) > deadline.Sub(now) {
		g.mu.Unlock()
		return zero, redwinghall.NewOpError("Gate.Acquire", DeadlineTooShort, nil)
	}
	w := &waiter[T]{done: make(chan T, 1)}
	if len(q.waiters) == 0 {
		q.finishTime = max(q.finishTime, g.virtualTime) + 1/q.weight
	}
	q.waiters = append(q.waiters, w)
	g.waiting++
	g.mu.Unlock()
	return g.wait(ctx, q, w)
}

func (g *Gate[T]) wait(ctx context.Context, q *queue[T], w *waiter[T]) (T, error) {
	select {
	case slot := <-w.done:
		return slot, nil
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if w.granted {
		return <-w.done, nil
	}
	for i, one := range q.waiters {
		if one == w {
			q.waiters = append(q.waiters[:i], q.waiters[i+1:]...)
			g.waiting--
			break
		}
	}
	if g.waiting == 0 {
		g.lastGrant = time.Time{}
	}
	var zero T
	return zero, redwinghall.NewOpError("Gate.wait", DeadlinePassed, ctx.Err())
}

// Wake grants free slots to waiting requests. Call it whenever a slot may have become
// free: a request ended, or a group became usable.
func (g *Gate[T]) Wake(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for g.waiting > 0 {
		slot, ok := g.acquireSlot()
		if !ok {
			return
		}
		g.grant(now, g.next(), slot)
	}
}

func (g *Gate[T]) grant(now time.Time, q *queue[T], slot T) {
	w := q.waiters[0]
	q.waiters = q.waiters[1:]
	g.waiting--
	g.virtualTime = q.finishTime
	if len(q.waiters) > 0 {
		q.finishTime += 1 / q.weight
	}
	g.recordGrant(now)
	w.granted = true
	w.done <- slot
}

// next returns the non-empty queue with the earliest virtual finish time. At least
// one must be non-empty.
func (g *Gate[T]) next() *queue[T] {
	var best *queue[T]
	for _, q := range g.queues {
		if len(q.waiters) > 0 && (best == nil || q.finishTime < best.finishTime) {
			best = q
		}
	}
	return best
}

// Waiting returns the number of waiting requests.
func (g *Gate[T]) Waiting() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.waiting
}

// RetryAfter returns the time in which the waiting requests will be served at the
// recent service rate, at least one second.
func (g *Gate[T]) RetryAfter(now time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return max(time.Second, g.currentInterval(now)*time.Duration(g.waiting))
}

func (g *Gate[T]) queueFor(account redwinghall.ClientAccount) *queue[T] {
	key := account.ID + "/" + string(account.Class)
	q, ok := g.queues[key]
	if !ok {
		q = &queue[T]{}
		g.queues[key] = q
	}
	q.weight = float64(account.Weight)
	if account.Class == redwinghall.ClassInteractive {
		q.weight *= interactiveFactor
	}
	return q
}

// expectedWait returns the expected wait of a new request of q: the requests ahead of
// it in q, scaled by the share of q in the weights of all non-empty queues.
func (g *Gate[T]) expectedWait(now time.Time, q *queue[T]) time.Duration {
	total := 0.0
	for _, one := range g.queues {
		if len(one.waiters) > 0 || one == q {
			total += one.weight
		}
	}
	ahead := min(float64(len(q.waiters)+1)*total/q.weight, float64(g.waiting+1))
	return time.Duration(ahead * float64(g.currentInterval(now)))
}

// currentInterval returns the moving average of the interval between grants, 0 while
// it is unknown, so that no request is refused on a guess. If the time since the last
// grant is longer than the average, it is returned instead: groups may have stopped
// accepting work.
func (g *Gate[T]) currentInterval(now time.Time) time.Duration {
	if g.lastGrant.IsZero() || g.grantInterval == 0 {
		return g.grantInterval
	}
	return max(g.grantInterval, now.Sub(g.lastGrant))
}

func (g *Gate[T]) recordGrant(now time.Time) {
	if !g.lastGrant.IsZero() {
		sample := now.Sub(g.lastGrant)
		if g.grantInterval == 0 {
			g.grantInterval = sample
		}
		g.grantInterval += time.Duration(smoothing * float64(sample-g.grantInterval))
	}
	g.lastGrant = now
	if g.waiting == 0 {
		g.lastGrant = time.Time{}
	}
}
