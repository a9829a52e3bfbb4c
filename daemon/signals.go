package daemon

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// handleSignals returns a context that ends with SIGTERM or SIGINT, and lets the process outlive SIGHUP.
// It never gives a signal back to its default action, which ends the process.
func handleSignals() context.Context {
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP) // parts that act on it add channels of their own
	ctx, _ := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	return ctx
}
