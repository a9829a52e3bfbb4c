package formation_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/directory"
	"redwinghall/fleet"
	"redwinghall/formation"
	"redwinghall/kernel"
)

// planning is a manager of the zones other and z, of a fake zone z with the services llm and spare.
type planning struct {
	f *fakeZone
	// panicsOfZone is a zone, and panicsOf the start of the endpoint IDs, whose planning panics.
	panicsOfZone, panicsOf string
	panics                 int64
}

func (p *planning) check(panics bool) {
	if panics {
		p.panics++
		panic("planner")
	}
}

// run plans for some time.
func (p *planning) run(t *testing.T, duration time.Duration) {
	t.Helper()
	p.f.cache.Apply(time.Now(), directory.Change{Config: &fleet.Configuration{Version: 2, Services: map[string]fleet.Service{
		testService: {Name: testService, Engine: p.f.engine}, "spare": {Name: "spare", Engine: p.f.engine},
	}}}, directory.Change{Endpoint: &fleet.Endpoint{
		ID: "spare-1", Service: "spare", Address: "spare-1:80", Zone: "z", State: fleet.EndpointReady, Domain: "d9", StartedMillis: 1,
	}})
	manager := formation.NewManager(formation.Options{
		Settings: func() fleet.Settings {
			return fleet.Settings{Zone: "z", Zones: []string{"other", "z"}, Bounds: fleet.Bounds{
				Stall: 4 * time.Second, LoadsWindow: 5 * time.Second, LoadsOvershoot: 1.1,
			}}
		},
		Cache: p.f.cache, Orderer: p.f, LeasePosition: func(string) fleet.Position { return fleet.Position{} },
		Recovered:      func(int64) bool { return true },
		HoldsLease:     func(zone string) bool { p.check(zone == p.panicsOfZone); return true },
		Position:       func() fleet.Position { return fleet.Position{Version: 1} },
		TrafficStarted: func() bool { return true }, Progressing: func(time.Time, string) bool { return false },
		Running: func(time.Time, string) int { return 0 },
		IsLeaving: func(e *fleet.Endpoint) bool {
			p.check(p.panicsOf != "" && strings.HasPrefix(e.ID, p.panicsOf))
			return false
		},
	})
	g := kernel.NewGroup(context.Background())
	manager.Start(g)
	time.Sleep(duration)
	g.Stop()
	require.NoError(t, g.Wait())
	expectedPanics.Add(p.panics)
}

func TestZoneWhosePlanningPanicsDoesNotHoldBackOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &planning{f: newFakeZone(1, 2, 11), panicsOfZone: "other"}
		p.run(t, time.Minute)
		require.Len(t, p.f.servingHeads("large"), 2)
		require.Len(t, p.f.servingHeads("small"), 2)
		require.Positive(t, p.panics)
		require.LessOrEqual(t, p.panics, int64(60), "the log is not filled")
	})
}

func TestServiceWhosePlanningPanicsDoesNotHoldBackOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &planning{f: newFakeZone(1, 2, 11), panicsOf: "spare"}
		p.run(t, time.Minute)
		require.Len(t, p.f.servingHeads("large"), 2)
		require.Len(t, p.f.servingHeads("small"), 2)
		require.Positive(t, p.panics)
		require.LessOrEqual(t, p.panics, int64(60), "the log is not filled")
	})
}
