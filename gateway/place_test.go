package gateway_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// remoteGroup adds a stand-in group of another zone, which stays cold for a while.
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

// The nearest zone with a group is cut off, or has no room, or would rather
// use another of its groups: the caller gets its answer in each case, from
// where it is served, and is refused only when no zone has room.
func TestStreamAsksTheOtherZone(t *testing.T) {
	for name, c := range map[string]struct {
		offers map[string]string
		status int
		served []string
	}{
		"its choice is taken":      {map[string]string{"b": "b2", "c": "c1"}, 200, []string{"b2", "c1"}},
		"no answer":                {map[string]string{}, 200, []string{"b1", "b2", "c1"}},
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

// The nearest zone is cut off and gives no answer: the stream goes to one that does, and
// to the silent one only where no other takes it.
func TestStreamGoesToZonesThatAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		offers map[string]string
		served string
	}{
		"another zone answers": {map[string]string{"c": "c1"}, "c1"},
		"another zone is full": {map[string]string{"c": ""}, "b1"},
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

// A group turned cold, and the zone that chose it doesn't know that yet. What
// all nodes may send to a cold group is shared out, and this stream has no part
// in it: more than the group bears would make it fall over.
func TestStreamGoesToNoGroupThatTurnedCold(t *testing.T) {
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

// A stream that stays in its zone asks nobody: that would cost each caller the
// way to another node and back.
func TestStreamOfTheOwnZoneAsksNobody(t *testing.T) {
	s := newFixture(t)
	s.endpoint("near", "llm", func(w http.ResponseWriter, r *http.Request) {
		sign(w, r)
		writeEvents(w, 1, 3)
	})
	s.remoteGroup("b", "b1", 0)
	require.Equal(t, http.StatusOK, s.do(s.request(http.MethodPost, "/stream/x")).status)
	require.Empty(t, s.placer.asked)
}

// The dispatcher of a large zone chooses for a stream, has no room for it, or gives
// no answer: the caller is served where it chose, by the zone that it names, or by what this
// node knows itself.
func TestStreamAsksItsDispatcher(t *testing.T) {
	for name, c := range map[string]struct {
		offers    map[string]string
		elsewhere string
		served    []string
		asked     []string
	}{
		"it chooses":                       {map[string]string{"a": "a2"}, "", []string{"a2"}, []string{"a"}},
		"it has no room, another zone has": {map[string]string{"a": "", "b": "", "c": "c1"}, "c", []string{"c1"}, []string{"a", "c"}},
		"it gives no answer":               {map[string]string{}, "", []string{"a1", "a2"}, []string{"a"}},
		"it is out of date":                {map[string]string{"a": "gone"}, "", []string{"a1", "a2"}, []string{"a"}},
	} {
		t.Run(name, func(t *testing.T) {
			s := newFixture(t)
			s.remoteGroup("a", "a1", 0)
			s.remoteGroup("a", "a2", 0)
			s.remoteGroup("b", "b1", 0)
			s.remoteGroup("c", "c1", 0)
			s.placer.dispatched, s.placer.offers, s.placer.elsewhere = true, c.offers, c.elsewhere
			got := s.do(s.request(http.MethodPost, "/stream/x"))
			require.Equal(t, http.StatusOK, got.status)
			require.Contains(t, c.served, got.header.Get("Served-By"))
			require.Equal(t, c.asked, s.placer.asked)
		})
	}
}

// All zones are full: the caller is refused at once, without a question to each of them, and
// told when to come back.
func TestStreamIsRefusedWhereNoZoneHasRoom(t *testing.T) {
	s := newFixture(t)
	s.remoteGroup("a", "a1", 0)
	s.remoteGroup("b", "b1", 0)
	s.placer.dispatched, s.placer.offers = true, map[string]string{"a": "", "b": "b1"}
	got := s.do(s.request(http.MethodPost, "/stream/x"))
	require.Equal(t, []string{"a"}, s.placer.asked)
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.NotEmpty(t, got.header.Get("Retry-After"))
}
