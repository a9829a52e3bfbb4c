package admit_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall"
	"redwinghall/admit"
	"redwinghall/kernel"
)

// slots counts the free slots. Its method acquire supplies a gate with them.
type slots struct{ free int }

func (r *slots) acquire() (int, bool) {
	if r.free == 0 {
		return 0, false
	}
	r.free--
	return 1, true
}

func account(id string, weight, queued int) redwinghall.ClientAccount {
	return redwinghall.ClientAccount{ID: id, Class: redwinghall.ClassInteractive, Weight: weight, MaxQueued: queued}
}

// startWaiters starts count requests of an account and appends the account to order
// for each that is admitted.
func startWaiters(g *kernel.Group, gate *admit.Gate[int], a redwinghall.ClientAccount, count int, order *[]string) {
	for range count {
		g.Go("acquire", func(ctx context.Context) error {
			_, err := gate.Acquire(ctx, time.Now(), a)
			if err == nil {
				*order = append(*order, a.ID)
			}
			return err
		})
	}
}

// freeSlot frees one slot and waits until it is used.
func freeSlot(gate *admit.Gate[int], r *slots) {
	r.free++
	gate.Wake(time.Now())
	synctest.Wait()
}

// One account queues many requests, then another queues a few. The few must not wait
// for all of the first account, as they would in a single FIFO queue.
func TestFloodingAccountDoesNotStarveAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &slots{}
		gate := admit.NewGate(r.acquire)
		g := kernel.NewGroup(t.Context())
		var order []string
		startWaiters(g, gate, account("flood", 1, 1000), 100, &order)
		synctest.Wait()
		startWaiters(g, gate, account("drivers", 1, 1000), 5, &order)
		synctest.Wait()
		for range 12 {
			freeSlot(gate, r)
		}
		count := 0
		for _, id := range order {
			if id == "drivers" {
				count++
			}
		}
		require.Equal(t, 5, count, "%v", order)
		for range 93 {
			freeSlot(gate, r)
		}
		require.NoError(t, g.Wait())
	})
}

func TestWeightsDivideSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &slots{}
		gate := admit.NewGate(r.acquire)
		g := kernel.NewGroup(t.Context())
		var order []string
		startWaiters(g, gate, account("heavy", 3, 1000), 40, &order)
		startWaiters(g, gate, account("light", 1, 1000), 40, &order)
		synctest.Wait()
		for range 40 {
			freeSlot(gate, r)
		}
		heavy := 0
		for _, id := range order {
			if id == "heavy" {
				heavy++
			}
		}
		require.InDelta(t, 30, heavy, 1)
		for range 40 {
			freeSlot(gate, r)
		}
		require.NoError(t, g.Wait())
	})
}

func TestRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &slots{}
		gate := admit.NewGate(r.acquire)
		g := kernel.NewGroup(t.Context())
		var order []string
		startWaiters(g, gate, account("a", 1, 3), 3, &order)
		synctest.Wait()
		_, err := gate.Acquire(t.Context(), time.Now(), account("a", 1, 3))
		require.Equal(t, admit.QueueFull, redwinghall.KindOf[admit.Kind](err))

		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = gate.Acquire(ctx, time.Now(), account("b", 1, 3))
		require.Equal(t, admit.DeadlinePassed, redwinghall.KindOf[admit.Kind](err))
		require.Equal(t, 3, gate.Waiting(), "a request that timed out must leave the queue")
		for range 3 {
			freeSlot(gate, r)
		}
		require.NoError(t, g.Wait())
	})
}

// A request with two seconds left arrives while 15 others wait and one is served each
// second. It must be refused at once, not after its deadline. This fails if the
// expected wait is not compared with the remaining time.
func TestRequestThatCannotMeetItsDeadlineIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &slots{}
		gate := admit.NewGate(r.acquire)
		g := kernel.NewGroup(t.Context())
		var order []string
		a := account("a", 1, 1000)
		startWaiters(g, gate, a, 20, &order)
		synctest.Wait()
		for range 5 {
			time.Sleep(time.Second)
			freeSlot(gate, r)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		before := time.Now()
		_, err := gate.Acquire(ctx, before, a)
		require.Equal(t, admit.DeadlineTooShort, redwinghall.KindOf[admit.Kind](err))
		require.Equal(t, before, time.Now(), "must be refused without waiting")
		require.GreaterOrEqual(t, gate.RetryAfter(before), 10*time.Second)
		for range 15 {
			freeSlot(gate, r)
		}
		require.NoError(t, g.Wait())
	})
}

// A request after an idle period must not be refused because the intervals between
// earlier requests were long.
func TestIdleTimeIsNoServiceTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &slots{}
		gate := admit.NewGate(r.acquire)
		a := account("a", 1, 10)
		for range 50 {
			r.free = 1
			_, err := gate.Acquire(t.Context(), time.Now(), a)
			require.NoError(t, err)
			time.Sleep(time.Minute)
		}
		g := kernel.NewGroup(t.Context())
		g.Go("acquire", func(ctx context.Context) error {
			ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
			defer cancel()
			_, err := gate.Acquire(ctx, time.Now(), a)
			return err
		})
		synctest.Wait()
		freeSlot(gate, r)
		require.NoError(t, g.Wait())
	})
}

// Two requests are served a second apart, a third reaches its deadline while waiting,
// and an hour later new ones wait. The hour must not count as a service time, or a
// request with seconds left is refused.
func TestTimedOutRequestDoesNotSkewServiceRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &slots{}
		gate := admit.NewGate(r.acquire)
		a := account("a", 1, 100)
		g := kernel.NewGroup(t.Context())
		var order []string
		startWaiters(g, gate, a, 2, &order)
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		g.Go("times out", func(context.Context) error {
			_, err := gate.Acquire(ctx, time.Now(), a)
			require.Equal(t, admit.DeadlinePassed, redwinghall.KindOf[admit.Kind](err))
			return nil
		})
		synctest.Wait()
		for range 2 {
			time.Sleep(time.Second)
			freeSlot(gate, r)
		}
		require.NoError(t, g.Wait())
		time.Sleep(time.Hour)

		g = kernel.NewGroup(t.Context())
		startWaiters(g, gate, a, 2, &order)
		synctest.Wait()
		freeSlot(gate, r)
		require.Less(t, gate.RetryAfter(time.Now()), 5*time.Second)
		freeSlot(gate, r)
		require.NoError(t, g.Wait())
	})
}

func BenchmarkAcquire(b *testing.B) {
	gate := admit.NewGate(func() (int, bool) { return 1, true })
	a := account("a", 1, 10)
	now := time.Now()
	for b.Loop() {
		if _, err := gate.Acquire(b.Context(), now, a); err != nil {
			b.Fatal(err)
		}
	}
}
