package kernel_test

import (
	"bytes"
	"context"
	"log"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"k8s.io/klog/v2"

	"redwinghall/kernel"
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
	sink := kernel.NewLogSink(out)
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

// net/http writes to the standard log with locks held. If nobody reads standard error, all requests would wait there.
func TestStandardLogGoesToTheSink(t *testing.T) {
	t.Cleanup(klog.CaptureState().Restore)
	t.Cleanup(func() { log.SetOutput(os.Stderr) })
	var out bytes.Buffer
	sink := kernel.NewLogSink(&out)
	kernel.UseLogSink(sink, 0)
	g := kernel.NewGroup(t.Context())
	sink.Start(g)
	log.Print("Unsolicited response received on idle HTTP channel")
	g.Stop()
	require.NoError(t, g.Wait())
	require.Contains(t, out.String(), "Unsolicited response")
}
