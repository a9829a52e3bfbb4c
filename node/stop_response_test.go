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

// A booking is running when its node gets the signal to stop. If "Connection: close" is
// decided when the request arrives rather than when the response headers are sent, the
// response, over a second after the signal, lacks the header although the node closes the
// connection right after it. The caller then sends its next booking on that connection
// and gets no response.
func TestResponseInProgressAtStopHasConnectionClose(t *testing.T) {
	t.Parallel()
	d := deployWith(t, platformtest.EndpointConfig{Event: 10 * time.Millisecond, Events: answerEvents}, platformtest.EndpointConfig{Work: slowWork})
	d.start()
	d.waitOpen()
	r, err := platformtest.NewRequest(context.Background(), http.MethodPost, d.settings.CallerAddress, "/book/x", nil, platformtest.RequestInfo{
		ID: "under-way", Key: "key-1", Timeout: 5 * time.Second,
	})
	require.NoError(t, err)
	stopping := kernel.NewGroup(context.Background())
	stopping.Go("stop", func(ctx context.Context) error {
		kernel.Sleep(ctx, slowWork/3)
		d.stop()
		return nil
	})
	response, err := (&http.Client{Transport: &http.Transport{}}).Do(r)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.NoError(t, stopping.Wait())
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.True(t, response.Close, "the response headers were sent 1 s after the signal, without Connection: close")
}
