package gateway_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/balance"
	"redwinghall/dial"
	"redwinghall/directory"
	"redwinghall/fleet"
	"redwinghall/gateway"
	"redwinghall/kernel"
	"redwinghall/neighbor"
	"redwinghall/platform"
	"redwinghall/platform/platformtest"
)

// The starts of a process and of the one that follows it at its address, in Unix milliseconds.
const (
	earlierStart = 1000
	laterStart   = 2000
)

// slowReport is how long a process that has just started may take for a report.
const slowReport = 400 * time.Millisecond

// restartable is an endpoint whose answers have neither a length nor chunks and, the first time, end in their middle.
type restartable struct {
	// born is the start of the process that runs by now, and delay how long its reports take.
	born  atomic.Int64
	delay atomic.Int64
	// cut is set while no connection to the endpoint can be opened.
	cut  atomic.Bool
	runs atomic.Int32
	end  func(*restartable)
}

// cutAway ends the process behind a cut that lets nothing to it.
func cutAway(e *restartable) { e.cut.Store(true) }

// startAgain ends the process, and starts a slow one at its address.
func startAgain(e *restartable) {
	e.born.Store(laterStart)
	e.delay.Store(int64(slowReport))
}

// startUnnamed ends the process, and starts a slow one at its address that names no start, as servers of plain services.
func startUnnamed(e *restartable) {
	e.born.Store(0)
	e.delay.Store(int64(slowReport))
}

// nameNoStart lets the process name no start.
func nameNoStart(e *restartable) { e.born.Store(0) }

// slowDown makes the process slow, and nothing else.
func slowDown(e *restartable) { e.delay.Store(int64(slowReport)) }

// liveOn changes nothing.
func liveOn(*restartable) {}

func (e *restartable) serve(begun, whole string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if platformtest.IsReport(r) {
			time.Sleep(time.Duration(e.delay.Load()))
			platformtest.WriteReport(w, e.born.Load())
			return
		}
		e.runs.Add(1)
		body := whole
		if e.end != nil {
			e.end(e)
			body = begun
		}
		if last := platformtest.ReadHeaders(r).LastEvent; last != "" {
			_, body, _ = strings.Cut(body, "id: "+last+"\ndata: word "+last+"\n\n")
		}
		unframed(w, r, body, closeConn)
	}
}

// restartables adds two endpoints, of which the one that is chosen first ends as end says.
func (s *fixture) restartables(service, begun, whole string, end func(*restartable)) (both [2]*restartable) {
	cuts := map[string]*restartable{}
	s.open = func(ctx context.Context, network, address string) (net.Conn, error) {
		if cuts[address].cut.Load() {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return dial.NewDialer().DialContext(ctx, network, address)
	}
	s.client = platform.NewEndpointClientWithDialer(nil, s.open)
	var begunBy atomic.Pointer[restartable]
	for i, id := range []string{"e1", "e2"} {
		e := &restartable{}
		e.born.Store(earlierStart)
		e.end = func(e *restartable) {
			if begunBy.CompareAndSwap(nil, e) {
				end(e)
			}
		}
		answer, rest := e.serve(begun, whole), e.serve(whole, whole)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if first := begunBy.Load(); first != nil {
				rest(w, r)
				return
			}
			answer(w, r)
		}))
		s.t.Cleanup(server.Close)
		cuts[server.Listener.Addr().String()] = e
		s.registerBorn(id, service, server.Listener.Addr().String(), earlierStart)
		both[i] = e
	}
	return both
}

func (s *fixture) registerBorn(id, service, address string, born int64) {
	s.register(id, service, address)
	e := *s.cache.View().Endpoints[id]
	e.StartedMillis = born
	s.cache.Apply(time.Now(), directory.Change{Endpoint: &e})
}

var unprovenEnds = map[string]func(*restartable){"gone behind a cut": cutAway, "started again, and slow": startAgain, "started again, names no start": startUnnamed}

// Nobody knows whether the answer is whole: half a booking must not pass for one, and what may run again does.
func TestAnswerOfAnUnprovenEndIsNotComplete(t *testing.T) {
	t.Parallel()
	large := strings.Repeat("large", 60<<10)
	for name, c := range map[string]struct {
		method, path, begun, whole string
		status                     int
		body                       string
		cut                        bool
		runs                       int32
	}{
		"a call that may run again":            {http.MethodGet, "/look/", "part", "whole", http.StatusOK, "whole", false, 2},
		"a call that may run once":             {http.MethodPost, "/book2/", "part", "whole", http.StatusBadGateway, "", false, 1},
		"a stream that may be resumed":         {http.MethodPost, "/stream/", wholeStream(2), wholeStream(4), http.StatusOK, wholeStream(4), false, 2},
		"a plain stream that may be resumed":   {http.MethodPost, "/feed/", wholeStream(2), wholeStream(4), http.StatusOK, wholeStream(4), false, 2},
		"a stream that can't be resumed":       {http.MethodPost, "/once/", wholeStream(2), wholeStream(4), http.StatusOK, wholeStream(2), true, 1},
		"a large answer to what may run again": {http.MethodGet, "/look/", large, large + "end", http.StatusOK, large, true, 1},
		"a large answer to what may run once":  {http.MethodPost, "/book2/", large, large + "end", http.StatusOK, large, true, 1},
	} {
		for how, end := range unprovenEnds {
			t.Run(name+", "+how, func(t *testing.T) {
				t.Parallel()
				s := newFixture(t)
				service := map[bool]string{true: "llm", false: "desk"}[c.path == "/stream/"]
				both := s.restartables(service, c.begun, c.whole, end)
				got := s.do(s.request(c.method, c.path))
				require.Equal(t, c.status, got.status)
				require.Equal(t, c.cut, got.err != nil, "%v", got.err)
				switch {
				case c.cut: // what was on its way to the caller is lost with the connection
					require.True(t, strings.HasPrefix(c.body, got.body), "%d bytes", len(got.body))
				case c.status == http.StatusOK:
					require.Equal(t, c.body, got.body)
				}
				require.Equal(t, c.runs, both[0].runs.Load()+both[1].runs.Load())
			})
		}
	}
}

// A node that carries a request must not end half an answer like a whole one, as the asking node can't find out.
func TestForwardedAnswerOfAnUnprovenEndIsCut(t *testing.T) {
	t.Parallel()
	for path, begun := range map[string]string{"/stream/": wholeStream(2), "/once/": wholeStream(2), "/look/": "part", "/book2/": "part"} {
		for how, end := range unprovenEnds {
			t.Run(path+", "+how, func(t *testing.T) {
				t.Parallel()
				s := newFixture(t)
				service := map[bool]string{true: "llm", false: "desk"}[path == "/stream/"]
				s.restartables(service, begun, begun+"more", end)
				body, err := s.carried(path)
				require.Equal(t, begun, body)
				require.Error(t, err)
			})
		}
	}
}

// carried sends a request to e1 by way of another node, and returns the answer.
func (s *fixture) carried(path string) (string, error) {
	s.t.Helper()
	carrier := httptest.NewServer(http.HandlerFunc(gateway.New(gateway.Options{
		Settings: func() fleet.Settings { return s.settings }, Cache: s.cache, Tracker: balance.NewTracker(), Upstream: s.newUpstream(),
		Metrics: gateway.NewMetrics(), ReportStall: func(string) {}, Presence: s.presence,
	}).ServeForwarded))
	s.t.Cleanup(carrier.Close)
	address := carrier.Listener.Addr().String()
	r, err := platformtest.NewRequest(s.t.Context(), http.MethodPost, address, path, nil, platformtest.RequestInfo{ID: "r-1", Key: "key-1", Model: "m0", Timeout: requestTimeout})
	require.NoError(s.t, err)
	response, outcome, err := neighbor.NewForwardClient().Send(s.t.Context(), address,
		neighbor.Forward{Kind: neighbor.ForwardRequest, Endpoint: "e1", Node: "n2", Configuration: 1, Timeout: requestTimeout}, r)
	require.NoError(s.t, err)
	require.Equal(s.t, neighbor.Delivered, outcome)
	body, err := io.ReadAll(response.Body)
	require.NoError(s.t, response.Body.Close())
	return string(body), err
}

// A process that is slow for a moment must not cost its callers their whole answers.
func TestWholeAnswerOfASlowEndpointIsComplete(t *testing.T) {
	t.Parallel()
	for path, whole := range map[string]string{"/stream/": wholeStream(4), "/once/": wholeStream(4), "/look/": "whole", "/book2/": "whole"} {
		for how, end := range map[string]func(*restartable){"slow": slowDown, "sound": liveOn, "names no start": nameNoStart} {
			t.Run(path+", "+how, func(t *testing.T) {
				t.Parallel()
				s := newFixture(t)
				service := map[bool]string{true: "llm", false: "desk"}[path == "/stream/"]
				both := s.restartables(service, whole, whole, end)
				got := s.do(s.request(http.MethodPost, path))
				require.NoError(t, got.err)
				require.Equal(t, http.StatusOK, got.status)
				require.Equal(t, whole, got.body)
				require.EqualValues(t, 1, both[0].runs.Load()+both[1].runs.Load())
			})
		}
	}
}

// This node is cut off from the endpoint right behind its answer, and another node isn't: what that one finds decides.
func TestEndOfAnAnswerIsProvenByWayOfAnotherNode(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		end    func(*restartable)
		status int
	}{
		"it lives on":       {cutAway, http.StatusOK},
		"it is slow":        {func(e *restartable) { cutAway(e); slowDown(e) }, http.StatusOK},
		"it started again":  {func(e *restartable) { cutAway(e); startAgain(e) }, http.StatusBadGateway},
		"it names no start": {func(e *restartable) { cutAway(e); e.born.Store(0) }, http.StatusBadGateway},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newFixture(t)
			s.other = platform.NewEndpointClient(nil)
			both := s.restartables("desk", "whole", "whole", c.end)
			got := s.do(s.request(http.MethodPost, "/book2/"))
			require.Equal(t, c.status, got.status)
			require.EqualValues(t, 1, both[0].runs.Load()+both[1].runs.Load())
		})
	}
}

// A newer entry shows that the process has ended, though nobody can ask it: the caller needn't wait for its time to end.
func TestNewerEntryShowsThatAnAnswerEndedEarly(t *testing.T) {
	t.Parallel()
	s := newFixture(t)
	s.restartables("desk", "part", "whole", func(e *restartable) {
		cutAway(e)
		for _, listed := range s.cache.View().Endpoints {
			next := *listed
			next.StartedMillis = laterStart
			s.cache.Apply(time.Now(), directory.Change{Endpoint: &next})
		}
	})
	begun := time.Now()
	require.Equal(t, http.StatusBadGateway, s.do(s.request(http.MethodPost, "/book2/")).status)
	require.Less(t, time.Since(begun), requestTimeout/2)
}

// The answer to HEAD has no body that could be cut, whatever became of its endpoint.
func TestAnswerToHeadNeedsNoProof(t *testing.T) {
	t.Parallel()
	s := newFixture(t)
	s.presences.Store("e1", fleet.PresenceUnknown)
	s.endpoint("e1", "desk", func(w http.ResponseWriter, r *http.Request) { unframed(w, r, "", closeConn) })
	begun := time.Now()
	require.Equal(t, http.StatusOK, s.do(s.request(http.MethodHead, "/look/")).status)
	require.Less(t, time.Since(begun), time.Second)
}

// Sound endpoints must lose none of their answers to the proof, though one is slow at times, and this node is cut off from
// the other one at times.
func TestAnswersOfSoundEndpointsStayWhole(t *testing.T) {
	t.Parallel()
	const answers, atOnce, least = 1000, 40, 0.999
	s := newFixture(t)
	s.other = platform.NewEndpointClient(nil)
	both := s.restartables("desk", "whole", "whole", liveOn)
	g := kernel.NewGroup(t.Context())
	inTrouble := false
	g.Every("trouble", 20*time.Millisecond, func(context.Context, time.Time) {
		inTrouble = !inTrouble
		both[0].cut.Store(inTrouble)
		both[1].delay.Store(map[bool]int64{true: int64(slowReport)}[inTrouble])
	})
	var whole, ended atomic.Int64
	callers := kernel.NewGroup(t.Context())
	for i := range atOnce {
		callers.Go("caller", func(ctx context.Context) error {
			for ended.Load() < answers {
				got := s.do(s.request(http.MethodPost, []string{"/look/", "/book/"}[i%2]))
				if got.status == http.StatusServiceUnavailable { // not run, for lack of room
					kernel.Sleep(ctx, 20*time.Millisecond)
					continue
				}
				ended.Add(1)
				if got.err == nil && got.status == http.StatusOK && got.body == "whole" {
					whole.Add(1)
				}
			}
			return nil
		})
	}
	require.NoError(t, callers.Wait())
	g.Stop()
	require.GreaterOrEqual(t, float64(whole.Load()), least*float64(ended.Load()))
}

// BenchmarkUnframedAnswer measures what it costs a sound endpoint to end its answers with their connections.
func BenchmarkUnframedAnswer(b *testing.B) {
	s := newFixture(b)
	s.restartables("desk", "whole", "whole", liveOn)
	var took []time.Duration
	for b.Loop() {
		begun := time.Now()
		got := s.do(s.request(http.MethodGet, "/look/"))
		took = append(took, time.Since(begun))
		require.Equal(b, "whole", got.body)
	}
	slices.Sort(took)
	b.ReportMetric(float64(took[len(took)/2].Microseconds()), "median_us")
}
