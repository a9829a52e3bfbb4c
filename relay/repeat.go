package relay

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"redwinghall"
	"redwinghall/fleet"
	"redwinghall/kernel"
)

const (
	// answerPatience is how long beyond its wait a call may stay unanswered until it is made again. It is above the
	// time of an answer of a store that is slow, and leaves time for the second call within the bound for a
	// configuration.
	answerPatience = 300 * time.Millisecond
	// repeatTimeout bounds the second call to another node, which answers from memory.
	repeatTimeout = 300 * time.Millisecond
)

// target is what a call for changes is made to.
type target string

const (
	targetStore target = "store"
	targetPeer  target = "peer"
)

// timeout returns the timeout of the second call, 0 if the client's own one is enough.
func (t target) timeout() time.Duration {
	if t == targetPeer {
		return repeatTimeout
	}
	return 0
}

// waitTwice makes a call that waits for changes, and makes it once more without a wait if it is not answered.
//
// Open connections may fall silent for good while new ones work. A failed call closes the idle ones, so the second
// call goes over a new connection. Without it the store, or a reader that works, would count as silent, and the next
// one would be called over connections that are as silent.
func waitTwice[T any](ctx context.Context, to target, table string, wait time.Duration, call func(ctx context.Context, wait time.Duration) (T, error)) (T, error) {
	begun := time.Now()
	first, cancel := kernel.WithTimeout(ctx, wait+answerPatience)
	out, err := call(first, wait)
	unanswered := first.Err() != nil || redwinghall.KindOf[fleet.StoreKind](err) == fleet.StoreOutcomeUnknown
	cancel()
	if err == nil || !unanswered || ctx.Err() != nil {
		return out, err
	}
	klog.InfoS("read_repeated", "to", to, "table", table, "took", time.Since(begun), "err", err)
	if timeout := to.timeout(); timeout > 0 {
		var cancelSecond context.CancelFunc
		ctx, cancelSecond = kernel.WithTimeout(ctx, timeout)
		defer cancelSecond()
	}
	return call(ctx, 0)
}
