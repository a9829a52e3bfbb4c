package daemon

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// handleSignals returns a context that ends with SIGTERM or SIGINT, and lets the process outlive SIGHUP
// and SIGPIPE. It never gives a signal back to its default action, which ends the process.
//
// Go ends a process that writes to standard output after the reader has closed it. A log collector
// that ends at all VMs would end all processes.
func handleSignals() context.Context {
	signal.Ignore(syscall.SIGPIPE)
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP) // parts that act on it add channels of their own
	ctx, _ := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	return ctx
}
