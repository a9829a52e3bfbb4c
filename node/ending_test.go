package node_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/kernel"
	"redwinghall/node"
	"redwinghall/platform"
	"redwinghall/platform/platformtest"
	"redwinghall/rwhtest/logtest"
)

// requireLine waits for the only line of an event.
func requireLine(t *testing.T, log *logtest.Log, event string, texts ...string) string {
	t.Helper()
	require.Eventually(t, func() bool { return len(log.Lines(event)) > 0 }, 5*time.Second, 10*time.Millisecond, event)
	lines := log.Lines(event)
	require.Len(t, lines, 1)
	for _, text := range texts {
		require.Contains(t, lines[0], text)
	}
	return lines[0]
}

// beginStream begins a stream that outlasts the test, and returns once its first event has come.
func (d *deployment) beginStream(id string) {
	d.t.Helper()
	var response *http.Response
	require.Eventually(d.t, func() bool {
		r, err := platformtest.NewRequest(d.t.Context(), http.MethodPost, d.settings.CallerAddress, "/stream/x", nil, platformtest.RequestInfo{
			ID: id, Key: "key-1", Model: "m0", Timeout: 8 * time.Second, Prompt: 100, Answer: longTokens,
		})
		require.NoError(d.t, err)
		response, err = http.DefaultTransport.RoundTrip(r)
		require.NoError(d.t, err)
		return response.StatusCode == http.StatusOK
	}, 5*time.Second, 50*time.Millisecond, "no group takes the stream")
	d.t.Cleanup(func() { _ = response.Body.Close() }) // the node has broken it off
	_, err := io.ReadFull(response.Body, make([]byte, 1))
	require.NoError(d.t, err)
}

// deployLong prepares a deployment whose streams take some seconds.
func deployLong(t *testing.T) *deployment {
	return deployWith(t, platformtest.EndpointConfig{Event: longPause, Events: longEvents}, platformtest.EndpointConfig{})
}

// A stop that is over before its requests are cuts them. The last line must say so, and how many.
func TestLastLineSaysWhatTheGraceCut(t *testing.T) {
	d := deployLong(t)
	d.withGrace("1")
	d.start()
	d.waitOpen()
	d.beginStream("long")
	log := logtest.Open(t)
	d.stop()
	require.NoError(t, <-d.done)
	requireLine(t, log, "node_stopping", `cause="context canceled"`, "connections=", "requests=1")
	requireLine(t, log, "cut_by_stop", `request="long"`, `reason="grace_over"`)
	requireLine(t, log, "node_stopped", `reason="planned_stop"`, `cause="context canceled"`, `by_grace=true`, "interrupted=1", "err=null")
}

func TestLastLineSaysThatAStopCutNothing(t *testing.T) {
	d := deploy(t)
	d.start()
	d.waitServing()
	log := logtest.Open(t)
	d.stop()
	require.NoError(t, <-d.done)
	require.Empty(t, log.Lines("cut_by_stop"))
	requireLine(t, log, "node_stopped", `reason="planned_stop"`, `by_grace=false`, "interrupted=0")
}

// A part of the node fails and the node ends by itself. Its last lines must tell that from a kill and
// from a planned stop, and name the requests that end with it.
func TestLastLineSaysThatAPartFailed(t *testing.T) {
	d := deployLong(t)
	settings, err := platform.LoadSettings(d.path)
	require.NoError(t, err)
	n := node.New(d.path, settings)
	g := kernel.NewGroup(context.Background())
	failed := errors.New("the part can't go on")
	g.Go("node", func(ctx context.Context) error {
		if err := n.Run(ctx); !errors.Is(err, failed) {
			return errors.Join(errors.New("want the error of the part"), err)
		}
		return nil
	})
	d.waitOpen()
	d.beginStream("long")
	log := logtest.Open(t)
	n.FailPart(failed)
	require.NoError(t, g.Wait())
	requireLine(t, log, "cut_by_stop", `request="long"`, `reason="part_failed"`)
	requireLine(t, log, "node_stopped", `reason="part_failed"`, `interrupted=1`, `err="the part can't go on"`)
	requireLine(t, log, "caller_gone", `request="long"`, `reason="node_ended"`, "last_event=")
}
