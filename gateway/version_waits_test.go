package gateway_test

import (
	"context"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/balance"
	"redwinghall/directory"
	"redwinghall/fleet"
	"redwinghall/platform/platformtest"
	"redwinghall/quarantine"
)

// versionWait is for how long the requests of these tests wait behind a version.
const versionWait = 50 * time.Millisecond

// waitingVersions change a configuration while a request waits.
var waitingVersions = map[string]func(c *fleet.Configuration){
	"other routes": func(c *fleet.Configuration) {
		c.Routes = []fleet.Route{{Name: "other", Host: "b.example", Prefix: "/", Kind: fleet.Safe, Split: []fleet.Share{{Service: "desk", Weight: 1}}}}
	},
	"none of its services": func(c *fleet.Configuration) { // without any, its routes would have it rejected
		c.Services = map[string]fleet.Service{"other": {Name: "other", MaxConnections: 100}}
	},
	"other services": func(c *fleet.Configuration) {
		for i := range c.Routes {
			c.Routes[i].Split = []fleet.Share{{Service: "other", Weight: 1}}
		}
	},
	"no engine": func(c *fleet.Configuration) {
		c.Services["llm"] = fleet.Service{Name: "llm", MaxConnections: 100}
	},
	"an engine for calls": func(c *fleet.Configuration) {
		c.Services["desk"] = fleet.Service{Name: "desk", Engine: engine(), MaxConnections: 100}
	},
	"no models": func(c *fleet.Configuration) {
		c.Services["llm"].Engine.Models = nil
	},
	"no connections": func(c *fleet.Configuration) {
		for name, service := range c.Services {
			service.MaxConnections = 1
			c.Services[name] = service
		}
	},
	"no account":    func(c *fleet.Configuration) { c.Accounts = nil },
	"another key":   func(c *fleet.Configuration) { c.Accounts = []fleet.Account{{Name: "other", Keys: []string{"key-2"}}} },
	"no limits":     func(c *fleet.Configuration) { c.Limits = fleet.Limits{} },
	"no body":       func(c *fleet.Configuration) { c.Limits.BodyBytes = 1 },
	"short timeout": func(c *fleet.Configuration) { c.Routes = withTimeout(c.Routes, time.Millisecond) },
	"one attempt": func(c *fleet.Configuration) {
		for i := range c.Routes {
			c.Routes[i].MaxAttempts, c.Routes[i].Kind, c.Routes[i].Resumable = 1, fleet.Unsafe, false
		}
	},
}

func withTimeout(routes []fleet.Route, timeout time.Duration) []fleet.Route {
	for i := range routes {
		routes[i].Timeout = timeout
	}
	return routes
}

// waiting is a gateway with a request that waits as a version is read.
type waiting struct {
	*fixture
	version func(c *fleet.Configuration)
	once    sync.Once
}

// read makes the gateway read the version.
func (w *waiting) read() {
	w.once.Do(func() {
		time.Sleep(versionWait)
		next := configuration()
		next.Version = 2
		w.version(next)
		w.cache.Apply(time.Now(), directory.Change{Config: next})
		time.Sleep(versionWait)
	})
}

// servedEndpoints are the services of the endpoints.
var servedEndpoints = map[string]string{"e1": "llm", "e2": "desk", "e3": "llm", "e4": "desk"}

// serve adds sound endpoints.
func (w *waiting) serve() {
	for id, service := range servedEndpoints {
		w.endpoint(id, service, func(out http.ResponseWriter, r *http.Request) {
			sign(out, r)
			writeEvents(out, 1, 3)
		})
	}
	w.cache.NoteRead(fleet.Position{Version: 7})
}

// readingIssuer makes a gateway read a version while a request waits for its permit.
type readingIssuer struct{ w *waiting }

// Permit implements gateway.PermitIssuer.
func (i readingIssuer) Permit(_ context.Context, _ *fleet.Endpoint, known balance.LimitReport) (balance.Permit, bool) {
	i.w.read()
	return i.w.tracker.IssuePermit(time.Now(), known, 1), true
}

// readingBody makes a gateway read a version while it waits for the rest of a body.
type readingBody struct {
	w     *waiting
	parts []string
}

// Read implements io.Reader.
func (b *readingBody) Read(p []byte) (int, error) {
	if len(b.parts) == 0 {
		return 0, io.EOF
	}
	if len(b.parts) == 1 {
		b.w.read()
	}
	n := copy(p, b.parts[0])
	b.parts = b.parts[1:]
	return n, nil
}

// waits prepare what a request waits for.
var waits = map[string]func(w *waiting, r *http.Request){
	"for its body": func(w *waiting, r *http.Request) {
		w.serve()
		r.Body, r.ContentLength = io.NopCloser(&readingBody{w: w, parts: []string{"amount", "=50"}}), -1 // each part is sent at once
	},
	"for a dispatcher": func(w *waiting, _ *http.Request) {
		w.serve()
		w.placer.hasDispatcher, w.placer.offers, w.placer.onPlace = true, map[string]string{"a": "e1"}, w.read
	},
	"for a dispatcher without room": func(w *waiting, _ *http.Request) {
		w.serve()
		w.placer.hasDispatcher, w.placer.offers, w.placer.alternativeZone, w.placer.onPlace = true, map[string]string{"a": ""}, "b", w.read
	},
	"for a permit": func(w *waiting, _ *http.Request) {
		w.serve()
		w.gateway.PermitIssuer = readingIssuer{w}
		for id := range servedEndpoints {
			w.tracker.MergeLimits(time.Now(), []balance.LimitReport{{Endpoint: id, Limit: fleet.RateLimit{Named: true, PerSecond: 100}}})
		}
	},
	"for a trial": func(w *waiting, r *http.Request) {
		w.serve()
		platformtest.SetParts(r, "bad", "own")
		for _, service := range []string{"llm", "desk"} {
			w.quarantine.RecordEnd(quarantine.Suspect{
				Process: quarantine.Process{Endpoint: "e0", StartedMillis: 1}, Request: "r-" + service, Service: service, Parts: []string{"bad"}, At: time.Now(),
			})
			w.quarantine.RequestTrial(time.Now(), "r-other-"+service, service, []string{"bad"})
		}
		time.AfterFunc(versionWait, w.read)
	},
	"for the first endpoints": func(w *waiting, _ *http.Request) {
		time.AfterFunc(versionWait, func() {
			w.read()
			w.serve()
		})
	},
	"for an endpoint that fails": func(w *waiting, _ *http.Request) {
		var failed atomic.Bool
		for id, service := range servedEndpoints {
			w.endpoint(id, service, func(out http.ResponseWriter, r *http.Request) {
				sign(out, r)
				if failed.CompareAndSwap(false, true) {
					w.read()
					panic(http.ErrAbortHandler)
				}
				writeEvents(out, 1, 3)
			})
		}
		w.cache.NoteRead(fleet.Position{Version: 7})
	},
	"for an endpoint that rejects it": func(w *waiting, _ *http.Request) {
		for id, service := range servedEndpoints {
			w.endpoint(id, service, func(out http.ResponseWriter, r *http.Request) {
				w.read()
				platformtest.SetRequestID(out, platformtest.ReadHeaders(r).ID)
				platformtest.SetNotExecuted(out)
				out.WriteHeader(http.StatusServiceUnavailable)
			})
		}
		w.cache.NoteRead(fleet.Position{Version: 7})
	},
}

// waitingPaths returns the paths of the requests that wait so: only groups are placed by dispatchers.
func waitingPaths(wait string) []string {
	if strings.Contains(wait, "dispatcher") {
		return []string{"/stream/"}
	}
	return []string{"/stream/", "/feed/", "/book2/", "/look/"}
}

// A version drops or changes what a request was accepted by while it waits, and its caller gets neither an answer nor a refusal.
func TestRequestThatWaitsBesideAVersionGetsAStatus(t *testing.T) {
	t.Parallel()
	for _, wait := range slices.Sorted(maps.Keys(waits)) {
		for _, version := range slices.Sorted(maps.Keys(waitingVersions)) {
			for _, path := range waitingPaths(wait) {
				t.Run(wait+", "+version+path, func(t *testing.T) {
					t.Parallel()
					w := &waiting{fixture: newFixture(t), version: waitingVersions[version]}
					r := w.request(http.MethodPost, path)
					waits[wait](w, r)
					begun := time.Now()
					got := w.do(r)
					require.NoError(t, got.err)
					require.NotContains(t, []int{http.StatusUnauthorized, http.StatusNotFound, http.StatusGatewayTimeout}, got.status,
						"a request follows the version by which it was accepted")
					require.Equal(t, int64(2), w.cache.View().Config().Version)
					require.Less(t, time.Since(begun), requestTimeout)
				})
			}
		}
	}
}
