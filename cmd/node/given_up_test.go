package main_test

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/kernel"
	"redwinghall/platform/platformtest"
	"redwinghall/rwhtest/loopback"
	"redwinghall/standin/link"
)

// lateArrival is how long after the end of a cut what it has held up has arrived.
const lateArrival = time.Second

// linkedDesk is a node with one plain service, to which all requests pass a link.
type linkedDesk struct {
	*nodeProcess
	link *link.Link
	runs *platformtest.RunCounter
}

func newLinkedDesk(t *testing.T) *linkedDesk {
	t.Helper()
	d := &linkedDesk{nodeProcess: newNodeProcess(t), runs: platformtest.NewRunCounter()}
	store := platformtest.NewStore()
	t.Cleanup(store.Close)
	require.NoError(t, store.PutConfiguration(platformtest.Configuration(1, "key-1")))
	g := kernel.NewGroup(context.Background())
	t.Cleanup(func() {
		g.Stop()
		require.NoError(t, g.Wait())
	})
	e, err := platformtest.NewEndpoint(platformtest.EndpointConfig{ID: "e1", Service: "desk", Zone: "a", RegisterAs: func(address string) (string, error) {
		var err error
		d.link, err = link.New(g, loopback.Host()+":0", address)
		if err != nil {
			return "", err
		}
		return d.link.Address(), nil
	}}, store, d.runs)
	require.NoError(t, err)
	t.Cleanup(e.Close)
	d.settings.StoreAddress = store.Address()
	require.NoError(t, os.WriteFile(d.path, []byte(d.settings.Text()), 0o600))
	d.start()
	d.waitReady()
	require.Eventually(t, func() bool { status, err := d.lookUp("first"); return err == nil && status == http.StatusOK }, waitTime, 10*time.Millisecond)
	return d
}

// book sends a booking, and returns its status once it ends or its caller leaves. 0 is that of a connection that ended.
func (d *linkedDesk) book(id string, timeout, leaves time.Duration) int {
	ctx, cancel := context.WithTimeout(context.Background(), leaves)
	defer cancel()
	r, err := platformtest.NewRequest(ctx, http.MethodPost, d.settings.CallerAddress, "/book/x", nil, platformtest.RequestInfo{ID: id, Key: "key-1", Timeout: timeout})
	require.NoError(d.t, err)
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
	if err != nil {
		return 0
	}
	require.NoError(d.t, response.Body.Close())
	return response.StatusCode
}

// A booking that its node had given up ran at its endpoint seconds after the end of a cut, though its caller had an answer or had left.
func TestBookingThatIsGivenUpBehindACutNeverRuns(t *testing.T) {
	for name, c := range map[string]struct {
		timeout, leaves time.Duration
		killed          bool
		want            int
	}{
		"its time is over":    {timeout: time.Second, leaves: waitTime, want: http.StatusGatewayTimeout},
		"its caller leaves":   {timeout: waitTime, leaves: 300 * time.Millisecond},
		"its node was killed": {timeout: waitTime, leaves: waitTime, killed: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newLinkedDesk(t)
			require.Equal(t, http.StatusOK, d.book("before", waitTime, waitTime))
			d.link.Set(link.Hold, 0)
			booked := make(chan int, 3)
			g := kernel.NewGroup(context.Background())
			for i := range cap(booked) {
				g.Go("caller", func(context.Context) error {
					booked <- d.book(fmt.Sprint("held-", i), c.timeout, c.leaves)
					return nil
				})
			}
			if c.killed {
				time.Sleep(300 * time.Millisecond)
				d.signal(syscall.SIGKILL)
			}
			require.NoError(t, g.Wait())
			for range cap(booked) {
				require.Equal(t, c.want, <-booked)
			}
			time.Sleep(100 * time.Millisecond)
			d.link.Set(link.Pass, 0)
			time.Sleep(lateArrival)
			for i := range cap(booked) {
				require.Zero(t, d.runs.Runs(fmt.Sprint("held-", i)))
			}
		})
	}
}
