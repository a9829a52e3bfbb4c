package node_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/kernel"
	"redwinghall/platform/platformtest"
)

// A caller's booking runs when its node is told to stop. Its answer comes whole,
// over a second after the signal, but doesn't say that its connection ends; the
// node closes the connection right behind it. So the caller sends its next
// booking on it, and sees it end without an answer. Cause: whether an answer
// is the last one is decided when its request comes, not when its headers go out.
func TestAnswerUnderWaySaysThatItIsTheLast(t *testing.T) {
	t.Parallel()
	d := deployWith(t, platformtest.EndpointConfig{Event: 10 * time.Millisecond, Events: answerEvents}, platformtest.EndpointConfig{Work: slowWork})
	d.start()
	d.waitOpen()
	r, err := platformtest.NewRequest(context.Background(), http.MethodPost, d.settings.Callers, "/book/x", nil, platformtest.Ask{
		ID: "under-way", Key: "key-1", Patience: 5 * time.Second,
	})
	require.NoError(t, err)
	stopping := kernel.NewGroup(context.Background())
	stopping.Go("stop", func(ctx context.Context) error {
		kernel.Sleep(ctx, slowWork/3)
		d.stop()
		return nil
	})
	answer, err := (&http.Client{Transport: &http.Transport{}}).Do(r)
	require.NoError(t, err)
	require.NoError(t, answer.Body.Close())
	require.NoError(t, stopping.Wait())
	require.Equal(t, http.StatusOK, answer.StatusCode)
	require.True(t, answer.Close, "the answer's headers went out 1 s after the signal, without Connection: close")
}
