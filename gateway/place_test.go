package gateway_test

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall"
	"redwinghall/balance"
	"redwinghall/fleet"
)

// remoteGroup adds a fake group of another zone, which stays cold for the given time.
func (s *fixture) remoteGroup(zone, id string, cold time.Duration) {
	s.t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Served-By", id)
		sign(w, r)
		writeEvents(w, 1, 3)
	}))
	s.t.Cleanup(server.Close)
	s.registerIn(zone, id, "llm", server.Listener.Addr().String(), cold)
}

// The nearest zone with a group does not respond, has no capacity, or prefers another
// of its groups. The caller must be served in each case, and refused only if no zone
// has capacity.
func TestStreamAsksOtherZones(t *testing.T) {
	for name, c := range map[string]struct {
		offers map[string]string
		status int
		served []string
	}{
		"its choice is taken":      {map[string]string{"b": "b2", "c": "c1"}, 200, []string{"b2", "c1"}},
		"no reply":                 {map[string]string{}, 200, []string{"b1", "b2", "c1"}},
		"an endpoint unknown here": {map[string]string{"b": "b9", "c": "c9"}, 200, []string{"b1", "b2", "c1"}},
		"one zone is full":         {map[string]string{"b": "", "c": "c1"}, 200, []string{"c1"}},
		"all zones are full":       {map[string]string{"b": "", "c": ""}, 503, []string{""}},
	} {
		t.Run(name, func(t *testing.T) {
			s := newFixture(t)
			s.remoteGroup("b", "b1", 0)
			s.remoteGroup("b", "b2", 0)
			s.remoteGroup("c", "c1", 0)
			s.placer.offers = c.offers
			got := s.do(s.request(http.MethodPost, "/stream/x"))
			require.Equal(t, c.status, got.status)
			require.Contains(t, c.served, got.header.Get("Served-By"))
			require.NotEmpty(t, s.placer.asked)
			if c.status != http.StatusOK {
				require.NotEmpty(t, got.header.Get("Retry-After"))
			}
		})
	}
}

// If the nearest zone does not respond, the stream must go to a zone that does, and
// to the silent one only if no other zone accepts it.
func TestStreamPrefersZonesThatRespond(t *testing.T) {
	for name, c := range map[string]struct {
		offers map[string]string
		served string
	}{
		"another zone responds": {map[string]string{"c": "c1"}, "c1"},
		"another zone is full":  {map[string]string{"c": ""}, "b1"},
	} {
		t.Run(name, func(t *testing.T) {
			s := newFixture(t)
			s.remoteGroup("b", "b1", 0)
			s.remoteGroup("c", "c1", 0)
			s.placer.offers = c.offers
			for range 8 {
				got := s.do(s.request(http.MethodPost, "/stream/x"))
				require.Equal(t, http.StatusOK, got.status)
				require.Equal(t, c.served, got.header.Get("Served-By"))
			}
		})
	}
}

// A zone offers a group that has become cold, because its view is out of date. The
// request budget of cold groups is divided among the nodes, and a stream sent there
// would exceed this node's share and could overload the group.
func TestStreamAvoidsGroupThatTurnedCold(t *testing.T) {
	s := newFixture(t)
	service := s.config.Services["llm"]
	service.ColdPerSecond = 1
	s.config.Services["llm"] = service
	s.remoteGroup("b", "warm", 0)
	s.remoteGroup("b", "cold", time.Hour)
	s.placer.offers = map[string]string{"b": "cold"}
	for range 5 {
		got := s.do(s.request(http.MethodPost, "/stream/x"))
		require.Equal(t, http.StatusOK, got.status)
		require.Equal(t, "warm", got.header.Get("Served-By"))
	}
}

// A stream that stays in its zone must not ask another zone, as that would cost each
// caller a round trip to another node.
func TestLocalStreamAsksNoOtherZone(t *testing.T) {
	s := newFixture(t)
	s.endpoint("near", "llm", func(w http.ResponseWriter, r *http.Request) {
		sign(w, r)
		writeEvents(w, 1, 3)
	})
	s.remoteGroup("b", "b1", 0)
	require.Equal(t, http.StatusOK, s.do(s.request(http.MethodPost, "/stream/x")).status)
	require.Empty(t, s.placer.asked)
}

// The dispatcher of a large zone chooses a group, has no capacity, or does not
// respond. The caller must be served by the chosen group, by the zone that the
// dispatcher names, or by the choice of this node.
func TestStreamAsksItsDispatcher(t *testing.T) {
	for name, c := range map[string]struct {
		offers          map[string]string
		alternativeZone string
		served          []string
		asked           []string
	}{
		"it chooses":                           {map[string]string{"a": "a2"}, "", []string{"a2"}, []string{"a"}},
		"it has no capacity, another zone has": {map[string]string{"a": "", "b": "", "c": "c1"}, "c", []string{"c1"}, []string{"a", "c"}},
		"it does not respond":                  {map[string]string{}, "", []string{"a1", "a2"}, []string{"a"}},
		"it is out of date":                    {map[string]string{"a": "gone"}, "", []string{"a1", "a2"}, []string{"a"}},
	} {
		t.Run(name, func(t *testing.T) {
			s := newFixture(t)
			s.remoteGroup("a", "a1", 0)
			s.remoteGroup("a", "a2", 0)
			s.remoteGroup("b", "b1", 0)
			s.remoteGroup("c", "c1", 0)
			s.placer.hasDispatcher, s.placer.offers, s.placer.alternativeZone = true, c.offers, c.alternativeZone
			got := s.do(s.request(http.MethodPost, "/stream/x"))
			require.Equal(t, http.StatusOK, got.status)
			require.Contains(t, c.served, got.header.Get("Served-By"))
			require.Equal(t, c.asked, s.placer.asked)
		})
	}
}

// If all zones are full, the caller must be refused at once with a Retry-After,
// without a request to each zone.
func TestStreamIsRefusedIfNoZoneHasCapacity(t *testing.T) {
	s := newFixture(t)
	s.remoteGroup("a", "a1", 0)
	s.remoteGroup("b", "b1", 0)
	s.placer.hasDispatcher, s.placer.offers = true, map[string]string{"a": "", "b": "b1"}
	got := s.do(s.request(http.MethodPost, "/stream/x"))
	require.Equal(t, []string{"a"}, s.placer.asked)
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.NotEmpty(t, got.header.Get("Retry-After"))
}

// The dispatcher keeps a place for a refused caller. Told another time, the caller would
// find the place gone, and others would have been kept out for nothing.
func TestRefusedCallerIsToldWhenItsPlaceIsKept(t *testing.T) {
	s := newFixture(t)
	s.remoteGroup("a", "a1", 0)
	s.placer.hasDispatcher, s.placer.offers, s.placer.retryAfter = true, map[string]string{"a": ""}, 777*time.Millisecond
	got := s.do(s.request(http.MethodPost, "/stream/x"))
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.Equal(t, "0.777", got.header.Get("Retry-After"))
	require.Positive(t, s.placer.requests[0].Left, "the dispatcher must know how long the caller can wait")
	require.LessOrEqual(t, s.placer.requests[0].Left, 3*time.Second)
}

// fakePromiser keeps places for others, and promises one at a time. The zero value keeps and
// promises none.
type fakePromiser struct {
	wait   time.Duration
	placed atomic.Int32
	kept   int
}

func (p *fakePromiser) WithKept(_ time.Time, request balance.Request) balance.Request {
	request.Kept = p.kept
	return request
}

func (p *fakePromiser) Placed(time.Time, balance.Request) { p.placed.Add(1) }

func (p *fakePromiser) Promise(_ time.Time, _ []*fleet.Endpoint, _ balance.Request, left time.Duration) time.Duration {
	return min(p.wait, left)
}

// A caller of the dispatcher itself must not take places that are kept for others.
func TestCallerOfTheDispatcherTakesNoKeptPlace(t *testing.T) {
	s := newFixture(t)
	s.endpoint("near", "llm", func(w http.ResponseWriter, r *http.Request) {
		sign(w, r)
		writeEvents(w, 1, 3)
	})
	s.promiser = fakePromiser{wait: 777 * time.Millisecond, kept: 1000}
	got := s.do(s.request(http.MethodPost, "/stream/x"))
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.Equal(t, "0.777", got.header.Get("Retry-After"))
	s.promiser.kept = 1
	require.Equal(t, http.StatusOK, s.do(s.request(http.MethodPost, "/stream/x")).status, "there is another place")
	require.Equal(t, int32(1), s.promiser.placed.Load())
}

// The dispatcher keeps the room of its zone for others. The refusal names that reason.
func TestStreamIsRefusedForTheReasonOfItsDispatcher(t *testing.T) {
	s := newFixture(t)
	s.remoteGroup("a", "a1", 0)
	s.placer.hasDispatcher, s.placer.offers, s.placer.reason = true, map[string]string{"a": ""}, redwinghall.LimitAccount
	got := s.do(s.request(http.MethodPost, "/stream/x"))
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.Contains(t, got.body, redwinghall.LimitAccount)
	require.NotEmpty(t, got.header.Get("Retry-After"))
}

// The dispatcher has no room, and another zone lent some: the stream takes it. If that zone
// has none left, or doesn't answer, the stream goes over no further border.
func TestStreamOnLoan(t *testing.T) {
	for name, c := range map[string]struct {
		offers map[string]string
		status int
		served string
	}{
		"it is placed":        {map[string]string{"a": "", "b": "b1", "c": "c1"}, 200, "b1"},
		"its room was needed": {map[string]string{"a": "", "b": "", "c": "c1"}, 503, ""},
		"no reply":            {map[string]string{"a": "", "c": "c1"}, 503, ""},
	} {
		t.Run(name, func(t *testing.T) {
			s := newFixture(t)
			s.remoteGroup("b", "b1", 0)
			s.remoteGroup("c", "c1", 0)
			s.placer.hasDispatcher, s.placer.offers, s.placer.alternativeZone, s.placer.onLoan = true, c.offers, "b", true
			got := s.do(s.request(http.MethodPost, "/stream/x"))
			require.Equal(t, c.status, got.status)
			require.Equal(t, c.served, got.header.Get("Served-By"))
			require.Equal(t, []string{"b"}, s.placer.askedOnLoan)
			require.NotContains(t, s.placer.asked, "c")
			if c.status != http.StatusOK {
				require.NotEmpty(t, got.header.Get("Retry-After"))
			}
		})
	}
}
