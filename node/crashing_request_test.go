package node_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/kernel"
	"redwinghall/platform/platformtest"
)

// How the caller of a request that ends workers repeats it, each time under a new id and at another node.
const (
	crashingRepeats     = 20
	crashingRepeatPause = 150 * time.Millisecond
	// repeatedPlay leaves time for sound requests after the last end.
	repeatedPlay = 9 * time.Second
	// largeAnswerEvents are more than a node reads of an answer before it passes it on.
	largeAnswerEvents = 20_000
)

// repeatedRequest is a request that ends workers, as its caller repeats it.
type repeatedRequest struct {
	method, path string
	parts        []string // of its prompt
	body         string
	events       int // what the worker sends of its answer before it ends
	matches      func(r *http.Request) bool
}

func pathIs(path string) func(r *http.Request) bool {
	return func(r *http.Request) bool { return r.URL.Path == path }
}

// repeatedRequests are requests of each kind that end workers.
var repeatedRequests = map[string]repeatedRequest{
	"a stream whose only part is its own":           {http.MethodPost, "/stream/x", []string{"dead"}, "", 0, platformtest.LastPartIs("dead")},
	"a stream without parts":                        {http.MethodPost, "/stream/bad", nil, "a prompt", 0, pathIs("/stream/bad")},
	"a look-up":                                     {http.MethodGet, "/look/bad", nil, "", 0, pathIs("/look/bad")},
	"a look-up with a large answer":                 {http.MethodGet, "/look/bad", nil, "", largeAnswerEvents, pathIs("/look/bad")},
	"a booking":                                     {http.MethodPost, "/book/bad", nil, "one deposit", 0, pathIs("/book/bad")},
	"a stream with a sound shared part and its own": {http.MethodPost, "/stream/x", []string{soundPart, "dead"}, "", 0, platformtest.LastPartIs("dead")},
}

// repeatPlay sends a request that ends workers again and again, beside sound ones of all kinds.
type repeatPlay struct {
	z   *zonedDeployment
	bad repeatedRequest

	mu    sync.Mutex
	sound map[string][]soundTry // by path
	whole int                   // responses to the bad request that its caller took for whole ones
}

func (p *repeatPlay) request(d *deployment, id, method, path, body string, parts ...string) (status int, answer string) {
	r, err := platformtest.NewRequest(context.Background(), method, d.settings.CallerAddress, path, strings.NewReader(body), platformtest.RequestInfo{
		ID: id, Key: "key-1", Model: "m0", Timeout: crashingRequestLimit, Prompt: 100, Answer: 30, Parts: parts,
	})
	require.NoError(d.t, err)
	return d.send(http.DefaultClient, r)
}

// sendSound sends equal look-ups, and streams and bookings that differ, to a node.
func (p *repeatPlay) sendSound(ctx context.Context, node int, d *deployment) {
	kinds := []struct{ method, path string }{{http.MethodGet, "/look/x"}, {http.MethodPost, "/book/x"}, {http.MethodPost, "/stream/x"}}
	for i := 0; ctx.Err() == nil; i++ {
		kind := kinds[i%len(kinds)]
		id := fmt.Sprintf("60%d0%d", node, i)
		body, parts := "", []string(nil)
		want := "done " + id
		if kind.method == http.MethodPost {
			body = "booking " + id
		}
		if kind.path == "/stream/x" {
			parts, want = []string{soundPart, "own" + id}, platformtest.FullResponse(id, answerEvents)
		}
		at := time.Now()
		status, answer := p.request(d, id, kind.method, kind.path, body, parts...)
		p.mu.Lock()
		p.sound[kind.path] = append(p.sound[kind.path], soundTry{at, status == http.StatusOK && answer == want})
		p.mu.Unlock()
		kernel.Sleep(ctx, 10*time.Millisecond)
	}
}

// sendRepeats sends the bad request as its caller repeats it, whatever it is answered.
func (p *repeatPlay) sendRepeats(ctx context.Context) {
	kernel.Sleep(ctx, time.Second) // sound requests are served before
	for i := 0; i < crashingRepeats && ctx.Err() == nil; i++ {
		d := p.z.nodes[i%len(p.z.nodes)]
		status, _ := p.request(d, fmt.Sprint("bad", i), p.bad.method, p.bad.path, p.bad.body, p.bad.parts...)
		if status == http.StatusOK {
			p.mu.Lock()
			p.whole++
			p.mu.Unlock()
		}
		kernel.Sleep(ctx, crashingRepeatPause)
	}
}

func (p *repeatPlay) run(t *testing.T) (begun time.Time) {
	t.Helper()
	begun = time.Now()
	ctx, stop := context.WithTimeout(context.Background(), repeatedPlay)
	defer stop()
	g := kernel.NewGroup(ctx)
	for i, d := range p.z.nodes {
		g.Go("sound", func(ctx context.Context) error { p.sendSound(ctx, i, d); return nil })
	}
	g.Go("repeats", func(ctx context.Context) error { p.sendRepeats(ctx); return nil })
	require.NoError(t, g.Wait())
	return begun
}

// A request that ends its worker is repeated by its caller under new ids, and must not end one worker after the other.
func TestRepeatedRequestEndsFewWorkers(t *testing.T) {
	t.Parallel()
	for shape, nodes := range map[string]map[string]int{"zones of few nodes": {"a": 3, "b": 3}, "one zone": {"a": 8}} {
		for name, bad := range repeatedRequests {
			t.Run(shape+"/"+name, func(t *testing.T) {
				t.Parallel()
				z := deployZonesOf(t, nodes, crashEnginesPerZone, platformtest.EndpointConfig{Event: 10 * time.Millisecond, Events: answerEvents},
					platformtest.EndpointConfig{Work: 20 * time.Millisecond})
				crash := platformtest.Crash{Matches: bad.matches, Events: bad.events, After: 60 * time.Millisecond, Away: crashAway}
				for _, e := range append(z.engines(), z.desks...) {
					e.CrashOn(crash)
				}
				p := &repeatPlay{z: z, bad: bad, sound: map[string][]soundTry{}}
				begun := p.run(t)
				seen := platformtest.Crashes(append(z.engines(), z.desks...)...)
				t.Logf("%d arrivals, %d ends", len(seen.Arrivals), len(seen.Ends))
				require.NotEmpty(t, seen.Ends, "the request ends workers")
				if len(seen.Ends) >= aimedEndsUnderPart {
					quarantined := seen.Ends[aimedEndsUnderPart-1].Add(quarantineTime)
					var after []string
					for _, at := range seen.Arrivals {
						if at.After(quarantined) {
							after = append(after, at.Sub(begun).Round(time.Millisecond).String())
						}
					}
					require.Empty(t, after, "arrivals of the request later, seconds of the play")
				}
				require.LessOrEqual(t, len(seen.Ends), aimedEndsUnderPart, "workers that ended")
				require.Zero(t, p.whole, "broken answers that looked complete")
				again := seen.Ends[len(seen.Ends)-1].Add(crashAway + soundAgain)
				for path, tries := range p.sound {
					share, n := (&crashPlay{sound: tries}).servedBetween(again, begun.Add(repeatedPlay))
					require.Greater(t, n, 10, path)
					require.GreaterOrEqual(t, share, minSoundShare, "sound first tries of %s served, of %d", path, n)
				}
			})
		}
	}
}
