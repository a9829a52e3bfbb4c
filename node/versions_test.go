package node_test

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/kernel"
	"redwinghall/platform/platformtest"
	"redwinghall/standin/link"
)

// The streams of these tests last 1 to 3 s, and their bookings 300 ms.
const (
	versionEvent       = 50 * time.Millisecond
	versionEventTokens = 6
	versionWork        = 300 * time.Millisecond
	streamsPerNode     = 4
	bookingsPerNode    = 2
	// streamsBegin is how long callers call before the change, and streamsGoOn how long after it.
	streamsBegin = 1500 * time.Millisecond
	streamsGoOn  = 2500 * time.Millisecond
	// transitTime is how long before a change a request may be sent that a node reads after it.
	transitTime = 50 * time.Millisecond
	// slowBodyParts parts of a slow body follow each other every slowBodyPause.
	slowBodyParts = 10
	slowBodyPause = 100 * time.Millisecond
)

// entryChanges are the kinds of change beside the configuration.
var entryChanges = map[string]func(t *testing.T, z *zonedDeployment){
	"entries are written anew": func(t *testing.T, z *zonedDeployment) {
		for _, e := range z.all() {
			require.NoError(t, e.Rewrite("2", 3))
		}
	},
	"endpoints drain": func(t *testing.T, z *zonedDeployment) {
		for _, e := range z.all() {
			require.NoError(t, e.Drain())
		}
	},
	"entries vanish": func(_ *testing.T, z *zonedDeployment) {
		for _, e := range z.all() {
			e.Unregister()
		}
	},
	"endpoints say that they leave": func(_ *testing.T, z *zonedDeployment) {
		for _, e := range z.all() {
			e.AnnounceLeaving()
		}
	},
	"a zone is taken out": func(t *testing.T, z *zonedDeployment) {
		require.NoError(t, z.nodes[0].store.TakeZoneOut("a"))
	},
	"all zones are taken out": func(t *testing.T, z *zonedDeployment) {
		for _, zone := range []string{"a", "b"} {
			require.NoError(t, z.nodes[0].store.TakeZoneOut(zone))
		}
	},
	"the store's history is dropped": func(t *testing.T, z *zonedDeployment) {
		z.nodes[0].store.DropHistory()
		require.NoError(t, z.nodes[0].store.PutConfiguration(platformtest.NewDraft(2)))
	},
	"the store is restored": func(t *testing.T, z *zonedDeployment) {
		z.restoreStore(t)
	},
	"the configuration is unreadable": func(t *testing.T, z *zonedDeployment) {
		require.NoError(t, z.nodes[0].store.PutConfiguration([]any{"no configuration"}))
	},
	"the configuration vanishes": func(_ *testing.T, z *zonedDeployment) { z.nodes[0].store.RemoveConfiguration() },
	"a storm of versions of all other kinds": func(t *testing.T, z *zonedDeployment) {
		const versions, gap = 50, 20 * time.Millisecond
		kinds := slices.DeleteFunc(slices.Sorted(maps.Keys(platformtest.ConfigurationChanges)), func(kind string) bool { return kind == platformtest.ShortTimeouts })
		for number := range versions {
			next := platformtest.NewDraft(2 + number)
			platformtest.ConfigurationChanges[kinds[number%len(kinds)]](next)
			require.NoError(t, z.nodes[0].store.PutConfiguration(next))
			time.Sleep(gap)
		}
	},
}

// versionCaller sends requests to a node over one keep-alive connection.
type versionCaller struct {
	d      *deployment
	name   string
	path   string
	slow   bool // its body
	client *http.Client

	mu   sync.Mutex
	seen []versionAttempt
}

// versionAttempt is the result of one request as its caller saw it.
type versionAttempt struct {
	id          string
	sent, ended time.Time
	status      int
	body        string
	complete    bool
}

// slowBody hands its parts out one after the other.
type slowBody struct{ left int }

func (b *slowBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	time.Sleep(slowBodyPause)
	b.left--
	return copy(p, "part of a body"), nil
}

func (c *versionCaller) run(ctx context.Context) error {
	defer c.client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		a := versionAttempt{id: fmt.Sprintf("%s-%s-%d", c.d.settings.Node, c.name, n), sent: time.Now()}
		c.call(&a)
		a.ended = time.Now()
		c.mu.Lock()
		c.seen = append(c.seen, a)
		c.mu.Unlock()
		kernel.Sleep(ctx, 20*time.Millisecond)
	}
	return nil
}

func (c *versionCaller) call(a *versionAttempt) {
	events := 20 + rand.IntN(40)
	var body io.Reader
	if c.slow {
		body = &slowBody{slowBodyParts}
	}
	r, err := platformtest.NewRequest(context.Background(), http.MethodPost, c.d.settings.CallerAddress, c.path, body, platformtest.RequestInfo{
		ID: a.id, Key: "key-1", Model: "m0", Timeout: 6 * time.Second, Prompt: 100, Answer: events * versionEventTokens,
	})
	require.NoError(c.d.t, err)
	a.status, a.body = c.d.send(c.client, r)
	want := "done " + a.id
	if c.path == "/stream/x" {
		want = platformtest.FullResponse(a.id, events)
	}
	a.complete = a.status == http.StatusOK && a.body == want
}

// unserved returns the requests that ran without a complete response, and those that
// got none at all. One that was sent later than the change may have ended at its timeout.
func (c *versionCaller) unserved(changed time.Time, timeout time.Duration) (cut []string, served int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range c.seen {
		runs := c.d.runCounter.Runs(a.id)
		switch {
		case a.sent.After(changed.Add(-transitTime)) && a.ended.Sub(a.sent) >= timeout && runs <= 1:
		case c.path == "/book/x" && runs > 1:
			cut = append(cut, fmt.Sprintf("%s ran %d times", a.id, runs))
		case a.complete:
			served++
		case runs > 0 || a.status == 0 || a.status == http.StatusOK:
			cut = append(cut, fmt.Sprintf("%s, sent %s and ended %s after the change: status %d, %d runs, %.40q", a.id,
				a.sent.Sub(changed).Round(time.Millisecond), a.ended.Sub(changed).Round(time.Millisecond), a.status, runs, a.body))
		}
	}
	return cut, served
}

// callAround calls all nodes while a change is made, and requires that every request that
// was passed on gets its complete response. timeout is the shortest of the routes' after the change.
func (z *zonedDeployment) callAround(t *testing.T, timeout time.Duration, change func()) {
	t.Helper()
	var callers []*versionCaller
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	g := kernel.NewGroup(ctx)
	start := func(d *deployment, name, path string, slow bool) {
		c := &versionCaller{d: d, name: name, path: path, slow: slow, client: &http.Client{Transport: &http.Transport{}}}
		callers = append(callers, c)
		g.Go(name, func(ctx context.Context) error {
			kernel.Sleep(ctx, rand.N(versionWork))
			return c.run(ctx)
		})
	}
	for _, d := range z.nodes {
		for i := range streamsPerNode {
			start(d, fmt.Sprint("stream-", i), "/stream/x", false)
		}
		for i := range bookingsPerNode {
			start(d, fmt.Sprint("book-", i), "/book/x", false)
		}
		start(d, "slow-book", "/book/x", true)
		start(d, "slow-stream", "/stream/x", true)
	}
	time.Sleep(streamsBegin)
	changed := time.Now()
	change()
	time.Sleep(streamsGoOn)
	stop()
	require.NoError(t, g.Wait())
	for _, d := range z.nodes {
		d.stop() // all at once, as each takes seconds
	}
	var cut []string
	served := 0
	for _, c := range callers {
		more, n := c.unserved(changed, timeout)
		cut, served = append(cut, more...), served+n
	}
	require.Empty(t, cut)
	require.GreaterOrEqual(t, served, len(callers))
}

func deployForVersions(t *testing.T) *zonedDeployment {
	t.Helper()
	return deployZonesWith(t, map[string]int{"a": 2, "b": 1},
		platformtest.EndpointConfig{Event: versionEvent, Events: answerEvents, EventTokens: versionEventTokens}, platformtest.EndpointConfig{Work: versionWork})
}

// All nodes read a new configuration at the same moment. If it cut what is in progress, all callers would lose it.
func TestVersionCutsNothingInProgress(t *testing.T) {
	t.Parallel()
	for name, change := range platformtest.ConfigurationChanges {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			z := deployForVersions(t)
			z.callAround(t, platformtest.ShortestTimeout(name), func() {
				next := platformtest.NewDraft(2)
				change(next)
				require.NoError(t, z.nodes[0].store.PutConfiguration(next))
			})
		})
	}
}

// All nodes read the same rows of the store. A change of theirs must not cut what is in progress.
func TestChangedRowsCutNothingInProgress(t *testing.T) {
	t.Parallel()
	for name, change := range entryChanges {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			z := deployForVersions(t)
			z.callAround(t, platformtest.ShortestTimeout(name), func() { change(t, z) })
		})
	}
}

// A node forwards the requests of one that is parted from the endpoints, and resolves them again.
func TestVersionCutsNoForwardedRequest(t *testing.T) {
	t.Parallel()
	for _, name := range []string{
		"all routes are dropped", "services are moved", "services are missing", platformtest.ShortTimeouts, "the key is removed", "the body limit is lowered", "the model is dropped",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			z := deployForVersions(t)
			z.part("a", 1, link.PartitionRefuse)
			time.Sleep(partedSettleTime)
			z.callAround(t, platformtest.ShortestTimeout(name), func() {
				next := platformtest.NewDraft(2)
				platformtest.ConfigurationChanges[name](next)
				require.NoError(t, z.nodes[0].store.PutConfiguration(next))
			})
		})
	}
}
