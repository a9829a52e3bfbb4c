package node_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"redwinghall/kernel"
	"redwinghall/node"
	"redwinghall/platform"
	"redwinghall/platform/platformtest"
	"redwinghall/rwhtest/loopback"
	"redwinghall/standin/link"
)

// deployment is one node with a fake store and fake endpoints.
type deployment struct {
	t          *testing.T
	store      *platformtest.Store
	runCounter *platformtest.RunCounter
	engines    []*platformtest.Endpoint
	desks      []*platformtest.Endpoint
	settings   platformtest.NodeSettings
	// partition stands between the node and all endpoints.
	partition *link.Partition
	path      string
	node      *node.Node // once it is started
	stop      context.CancelFunc
	done      chan error
}

const answerEvents = 5

// freeAddresses returns n distinct addresses of a host that were free at the time of the call.
func freeAddresses(t *testing.T, host string, n int) []string {
	t.Helper()
	var addresses []string
	for range n {
		listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
		require.NoError(t, err)
		defer func() { require.NoError(t, listener.Close()) }() // deferred, so that no port is returned twice
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses
}

func portOf(t *testing.T, address string) int {
	t.Helper()
	_, text, err := net.SplitHostPort(address)
	require.NoError(t, err)
	var port int
	_, err = fmt.Sscan(text, &port)
	require.NoError(t, err)
	return port
}

func deploy(t *testing.T) *deployment {
	t.Helper()
	return deployWith(t, platformtest.EndpointConfig{Event: 10 * time.Millisecond, Events: answerEvents}, platformtest.EndpointConfig{})
}

// deployWith prepares a deployment whose engines respond with the events of engine,
// and whose booking desk takes the time given by desk.
func deployWith(t *testing.T, engine, desk platformtest.EndpointConfig) *deployment {
	t.Helper()
	d := &deployment{t: t, store: platformtest.NewStore(), runCounter: platformtest.NewRunCounter(), partition: link.NewPartition(), done: make(chan error, 1)}
	t.Cleanup(d.store.Close)
	require.NoError(t, d.store.PutConfiguration(platformtest.Configuration(1, "key-1")))
	for i := range 3 {
		d.add(platformtest.EndpointConfig{
			ID: fmt.Sprintf("engine-%d", i), Service: "llm", Zone: "a", Domain: "d0", Engine: true,
			Join: 20 * time.Millisecond, Event: engine.Event, Events: engine.Events,
		})
	}
	d.add(platformtest.EndpointConfig{ID: "desk-1", Service: "desk", Zone: "a", Work: desk.Work})
	host := loopback.Host() // its own, as a node serves its metrics on a fixed port
	free := freeAddresses(t, host, 3)
	d.settings = platformtest.NodeSettings{
		Node: "n1", Zone: "a", Zones: []string{"a"}, CallerAddress: free[0], ReadinessAddress: free[1], IP: host,
		FirstInternalPort: portOf(t, free[2]), StoreAddress: d.store.Address(),
	}
	d.path = filepath.Join(t.TempDir(), "node.conf")
	require.NoError(t, os.WriteFile(d.path, []byte(d.settings.Text()), 0o600))
	return d
}

func (d *deployment) add(config platformtest.EndpointConfig) {
	e, err := platformtest.NewEndpoint(config, d.store, d.runCounter)
	require.NoError(d.t, err)
	d.t.Cleanup(e.Close)
	if config.Engine {
		d.engines = append(d.engines, e)
	} else {
		d.desks = append(d.desks, e)
	}
}

// start runs the node until the test ends.
func (d *deployment) start() {
	d.t.Helper()
	settings, err := platform.LoadSettings(d.path)
	require.NoError(d.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	d.stop = cancel
	n := node.NewWithDialer(d.path, settings, d.partition.Dial)
	d.node = n
	g := kernel.NewGroup(context.Background())
	g.Go("node", func(context.Context) error {
		err := n.Run(ctx)
		assert.NoError(d.t, err, "the node exited with an error")
		d.done <- err
		return nil
	})
	d.t.Cleanup(func() {
		cancel()
		require.NoError(d.t, g.Wait())
	})
}

func (d *deployment) ready() bool {
	response, err := http.Get("http://" + d.settings.ReadinessAddress + platform.PathReadiness)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }() // the body isn't read
	return response.StatusCode == http.StatusOK
}

// waitOpen waits until a group is open.
func (d *deployment) waitOpen() {
	d.t.Helper()
	require.Eventually(d.t, d.ready, 10*time.Second, 20*time.Millisecond)
	require.Eventually(d.t, func() bool {
		for _, e := range d.engines {
			if e.IsOpen() {
				return true
			}
		}
		return false
	}, 20*time.Second, 20*time.Millisecond)
}

// waitServing waits until a stream has been served.
func (d *deployment) waitServing() {
	d.t.Helper()
	d.waitOpen()
	require.Eventually(d.t, func() bool {
		status, _ := d.request(http.MethodPost, "/stream/x", "warm-up")
		return status == http.StatusOK
	}, 5*time.Second, 50*time.Millisecond)
}

func (d *deployment) request(method, path, id string) (int, string) {
	r, err := platformtest.NewRequest(context.Background(), method, d.settings.CallerAddress, path, nil, platformtest.RequestInfo{
		ID: id, Key: "key-1", Model: "m0", Timeout: 5 * time.Second, Prompt: 100, Answer: 30,
	})
	require.NoError(d.t, err)
	return d.send(http.DefaultClient, r)
}

// send returns the response that a caller receives. The status is 0 if the response is
// missing or incomplete.
func (d *deployment) send(client *http.Client, r *http.Request) (status int, body string) {
	response, err := client.Do(r)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }() // the body was read or the read failed
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, string(data)
	}
	return response.StatusCode, string(data)
}

func TestNodeServesStreamsAndBookings(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	d.start()
	d.waitServing()
	status, body := d.request(http.MethodPost, "/stream/x", "ask-1")
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, platformtest.FullResponse("ask-1", answerEvents), body)
	status, body = d.request(http.MethodPost, "/book/x", "book-1")
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, "done book-1", body)
	require.Equal(t, 1, d.runCounter.Runs("book-1"))
	metrics, err := http.Get(fmt.Sprintf("http://%s:%d%s", d.settings.IP, node.MetricsPort, node.MetricsPath))
	require.NoError(t, err)
	data, err := io.ReadAll(metrics.Body)
	require.NoError(t, err)
	require.NoError(t, metrics.Body.Close())
	require.Contains(t, string(data), "first_event_us.depot.streaming.llm")
}

// An API key is revoked while the store drops its change history. The key must stop
// working even so.
func TestWithdrawnKeyStopsWorking(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	d.start()
	d.waitServing()
	d.store.DropHistory()
	require.NoError(t, d.store.PutConfiguration(platformtest.Configuration(2, "key-2")))
	require.Eventually(t, func() bool {
		status, _ := d.request(http.MethodGet, "/look/x", "look-1")
		return status == http.StatusUnauthorized
	}, 4*time.Second, 50*time.Millisecond)
}

// While the store is unavailable, callers are served from the last known state.
func TestNodeServesWithoutTheStore(t *testing.T) {
	t.Parallel()
	for name, faults := range map[string]platformtest.Faults{
		"silent": {Silent: true}, "busy": {Refuse: http.StatusServiceUnavailable}, "turned away": {Refuse: http.StatusTooManyRequests},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := deploy(t)
			d.start()
			d.waitServing()
			d.store.SetFaults(faults)
			for i := range 20 {
				status, body := d.request(http.MethodPost, "/stream/x", fmt.Sprint("ask-", i))
				require.Equal(t, http.StatusOK, status)
				require.Equal(t, platformtest.FullResponse(fmt.Sprint("ask-", i), answerEvents), body)
				time.Sleep(100 * time.Millisecond)
			}
			d.store.SetFaults(platformtest.Faults{})
		})
	}
}

// Operators restart a node while callers use it. No request that it has read may end
// without a response, and new requests go to other nodes once the load balancer notices.
func TestPlannedStopInterruptsNoRequest(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	d.start()
	d.waitServing()
	var mu sync.Mutex
	broken, answered := 0, 0
	calling, stopCalling := context.WithCancel(context.Background())
	g := kernel.NewGroup(calling)
	for i := range 4 {
		g.Go("caller", func(ctx context.Context) error {
			for n := 0; ctx.Err() == nil; n++ {
				id := fmt.Sprintf("ask-%d-%d", i, n)
				status, body := d.request(http.MethodPost, "/stream/x", id)
				mu.Lock()
				if status == http.StatusOK && body == platformtest.FullResponse(id, answerEvents) {
					answered++
				} else if d.runCounter.Runs(id) > 0 {
					broken++
				}
				mu.Unlock()
			}
			return nil
		})
	}
	time.Sleep(500 * time.Millisecond)
	d.stop()
	require.Eventually(t, func() bool { return !d.ready() }, time.Second, 5*time.Millisecond)
	require.NoError(t, <-d.done)
	stopCalling()
	require.NoError(t, g.Wait())
	require.Zero(t, broken)
	require.Greater(t, answered, 20)
}

// The settings file is replaced by an invalid one while the node runs. The node must
// keep its settings and keep serving.
func TestInvalidSettingsFileIsIgnored(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	d.start()
	d.waitServing()
	require.NoError(t, os.WriteFile(d.path, []byte("node_name=\n"), 0o600))
	time.Sleep(3500 * time.Millisecond)
	status, _ := d.request(http.MethodGet, "/look/x", "look-1")
	require.Equal(t, http.StatusOK, status)
}
