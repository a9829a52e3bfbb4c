package node_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/platform/platformtest"
)

// Guards against a node that spends a short stop waiting for a call to a silent store which was in progress at the signal, and
// then has no time left to answer what is running.
func TestShortStopBesideASilentStoreAnswersWhatIsRunning(t *testing.T) {
	t.Parallel()
	for _, grace := range []int{1, 2} {
		t.Run(fmt.Sprint(grace), func(t *testing.T) {
			t.Parallel()
			d := deployWith(t, platformtest.EndpointConfig{Event: longPause, Events: longEvents}, platformtest.EndpointConfig{Work: slowCall})
			d.withGrace(fmt.Sprint(grace))
			end := d.startEnding(waysToEnd["grace over"])
			d.waitOpen()
			c := newCallers(d)
			c.send("booking", "/book/x")
			require.Eventually(t, func() bool { return d.runCounter.Runs("booking") > 0 }, 5*time.Second, 10*time.Millisecond)
			d.store.SetFaults(platformtest.Faults{Silent: true})
			time.Sleep(1100 * time.Millisecond)
			require.Less(t, end(), time.Duration(grace)*time.Second)
			require.Equal(t, http.StatusBadGateway, c.wait()["booking"].status)
		})
	}
}
