// Package admit decides who goes first when requests must wait: a bounded
// queue for each client account and class, weighted fair between them, that
// refuses at once what cannot be served in time.
package admit

import (
	"context"
	"sync"
	"time"

	"redwinghall"
)

// Kind says why a request was refused.
type Kind string

// The kinds of refusal.
const (
	QueueFull        Kind = "queue_full"
	DeadlineTooShort Kind = "deadline_too_short"
	DeadlinePassed   Kind = "deadline_passed"
)

// Error is a refusal.
type Error = redwinghall.OpError[Kind]

// interactiveFactor is how much more an interactive account's weight counts
// than a batch account's.
const interactiveFactor = 8

// smoothing is the weight of the newest interval in the mean time between
// grants.
const smoothing = 0.2

// Gate lets requests through while its source has room, and queues the rest.
type Gate[T any] struct {
	mu          sync.Mutex
	acquireSlot func() (T, bool) // takes one unit of room
	queues      map[string]*queue[T]
	waiting     int
	virtualTime float64
	// lastGrant is when a waiting request was last let through; zero while
	// nobody waits. Only intervals between such grants tell the service rate:
	// with nobody waiting they tell how often requests arrive.
	lastGrant     time.Time
	grantInterval time.Duration
}

type queue[T any] struct {
	weight     float64
	finishTime float64 // virtual time at which its next request is due
	waiters    []*waiter[T]
}

type waiter[T any] struct {
	done    chan T
	granted bool
}

// NewGate returns a gate over a source of room. source must not block.
func NewGate[T any](source func() (T, bool)) *Gate[T] {
	return &Gate[T]{acquireSlot: source, queues: map[string]*queue[T]{}}
}

// Acquire returns one unit of room, or a refusal. It waits no longer than ctx,
// and refuses at once when the queue is full or when the wait seen lately is
// longer than the time that the request has left.
func (g *Gate[T]) Acquire(ctx context.Context, now time.Time, account redwinghall.ClientAccount) (T, error) {
	var zero T
	g.mu.Lock()
	if g.waiting == 0 {
		if room, ok := g.acquireSlot(); ok {
			g.mu.Unlock()
			return room, nil
		}
	}
	q := g.queueFor(account)
	if len(q.waiters) >= account.MaxQueued {
		g.mu.Unlock()
		return zero, redwinghall.NewOpError("Gate.Enter", QueueFull, nil)
	}
	if deadline, ok := ctx.Deadline(); ok && g.expectedWait(now, q) > deadline.Sub(now) {
		g.mu.Unlock()
		return zero, redwinghall.NewOpError("Gate.Enter", DeadlineTooShort, nil)
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
	case room := <-w.done:
		return room, nil
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
	var none T
	return none, redwinghall.NewOpError("Gate.wait", DeadlinePassed, ctx.Err())
}

// Wake hands free room to those who wait. Call it whenever room may have
// appeared: a request ended, or a group became usable.
func (g *Gate[T]) Wake(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for g.waiting > 0 {
		room, ok := g.acquireSlot()
		if !ok {
			return
		}
		g.grant(now, g.next(), room)
	}
}

func (g *Gate[T]) grant(now time.Time, q *queue[T], room T) {
	w := q.waiters[0]
	q.waiters = q.waiters[1:]
	g.waiting--
	g.virtualTime = q.finishTime
	if len(q.waiters) > 0 {
		q.finishTime += 1 / q.weight
	}
	g.recordGrant(now)
	w.granted = true
	w.done <- room
}

// next returns the queue whose head is due first; one exists.
func (g *Gate[T]) next() *queue[T] {
	var best *queue[T]
	for _, q := range g.queues {
		if len(q.waiters) > 0 && (best == nil || q.finishTime < best.finishTime) {
			best = q
		}
	}
	return best
}

// Waiting returns how many requests wait.
func (g *Gate[T]) Waiting() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.waiting
}

// RetryAfter returns how long the present queue will take at the rate seen
// lately, at least one second.
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

// expectedWait is the time that a new request of the queue will wait: those
// ahead of it in its own queue, scaled by the queue's share of the weights.
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

// currentInterval is the mean time between grants lately; zero while unknown, so
// that nothing is refused on a guess. A pause that is longer than the mean
// counts as it is: groups may have stopped taking work.
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
