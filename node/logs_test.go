package node_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/kernel"
	"redwinghall/node"
)

// blockedWriter blocks in Write until it is released.
type blockedWriter struct{ release chan struct{} }

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// If the reader of standard output stops reading, the pipe fills up and a process
// that writes its log there blocks with all its requests. Logging must never block,
// and must count the lines that it drops.
func TestLogNeverBlocks(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
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
		t.Fatal("logging blocks on its reader")
	}
	require.Positive(t, sink.Dropped())
	close(out.release)
	g.Stop()
	require.NoError(t, g.Wait())
}
