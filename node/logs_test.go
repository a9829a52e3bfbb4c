package node_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/kernel"
	"redwinghall/node"
)

// stuckWriter never returns from its first write.
type stuckWriter struct{ release chan struct{} }

func (s *stuckWriter) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// Whoever reads the standard output stops reading, the pipe is full, and a
// process that logs stands still with all its requests. Logging must go on
// without waiting, and count what it drops.
func TestLogNeverBlocks(t *testing.T) {
	out := &stuckWriter{release: make(chan struct{})}
	sink := node.NewLogSink(out)
	g := kernel.NewGroup(context.Background())
	sink.Start(g)
	written := make(chan struct{})
	g.Go("logger", func(context.Context) error {
		defer close(written)
		for range 5000 {
			if _, err := sink.Write([]byte("line\n")); err != nil {
				return err
			}
		}
		return nil
	})
	select {
	case <-written:
	case <-time.After(10 * time.Second):
		t.Fatal("logging waits for its reader")
	}
	require.Positive(t, sink.Dropped())
	close(out.release)
	g.Stop()
	require.NoError(t, g.Wait())
}
