package formation_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"redwinghall/fleet"
	"redwinghall/formation"
	"redwinghall/platform"
	"redwinghall/platform/platformtest/badinput"
	_ "redwinghall/rwhtest/fixedseed"
)

// maxPlanTime is far above the time of a plan, which a holder makes each 100 ms.
const maxPlanTime = 2 * time.Second

// decodedWorkers returns workers with generated entries, those that can be decoded.
func decodedWorkers(t *rapid.T, now time.Time) []*formation.Worker {
	var workers []*formation.Worker
	for i := range rapid.IntRange(0, 40).Draw(t, "workers") {
		group := ""
		if rapid.Bool().Draw(t, "grouped") {
			group = fmt.Sprintf("%s|m0|%d", rapid.SampledFrom([]string{"replica", "standby"}).Draw(t, "kind"), 12+i/2)
		}
		row := fleet.Row{Key: fmt.Sprint("e", i), Value: []byte(badinput.Entry("127.0.0.1:1", "llm", group, i%2).Draw(t, "entry"))}
		if e, err := platform.DecodeEndpoint(row, now); err == nil {
			workers = append(workers, &formation.Worker{Endpoint: e, Member: e.Member, LastModel: e.Model(), OrderedAt: map[fleet.OrderKind]time.Time{}})
		}
	}
	return workers
}

// All holders of leases read the same configuration and entries: a plan that panics or doesn't
// end would end the formation of groups in all zones at once.
func TestPlanEndsWithAnyConfigurationAndEntries(t *testing.T) {
	planned := 0
	rapid.Check(t, func(t *rapid.T) {
		config, err := platform.DecodeConfiguration([]byte(badinput.Configuration().Draw(t, "configuration")))
		if err != nil || config.Services["llm"].Engine == nil {
			return
		}
		now, epoch := time.Unix(1000, 0), int64(100)
		z := &formation.Zone{
			Engine: config.Services["llm"].Engine, Workers: decodedWorkers(t, now), Startup: rapid.Bool().Draw(t, "startup"),
			Progressing: func(string) bool { return false }, Loads: 2, StageAtOnce: 2,
			NextEpoch: func() int64 { epoch++; return epoch },
			History:   func(string) formation.GroupHistory { return formation.GroupHistory{FormedHere: true} },
		}
		if rapid.Bool().Draw(t, "demand") {
			z.Demand = map[string]float64{"m0": 30, "m1": 2}
		}
		began := time.Now()
		for range 3 {
			now = now.Add(10 * time.Second)
			z.Plan(now)
		}
		if took := time.Since(began); took > maxPlanTime {
			t.Fatalf("three plans took %v", took)
		}
		planned++
	})
	require.Positive(t, planned)
}

// All holders form the first groups at the same moment. A search over all combinations of groups
// would not end for a service of many small models, and no group of any zone would form.
func TestFirstGroupsOfManyModelsAreFormedAtOnce(t *testing.T) {
	engine := &fleet.Engine{Slots: 20}
	for i := range 12 {
		engine.Models = append(engine.Models, fleet.Model{Name: fmt.Sprint("m", i), Size: 1 + i%3, Share: 1.0 / 12})
	}
	epoch := int64(100)
	z := &formation.Zone{
		Engine: engine, Startup: true, Progressing: func(string) bool { return false }, Loads: 2, StageAtOnce: 2,
		NextEpoch: func() int64 { epoch++; return epoch }, History: func(string) formation.GroupHistory { return formation.GroupHistory{} },
	}
	for i := range 120 {
		e := &fleet.Endpoint{ID: fmt.Sprint("e", i), Domain: fmt.Sprint("d", i/40), State: fleet.EndpointReady}
		z.Workers = append(z.Workers, &formation.Worker{Endpoint: e})
	}
	began := time.Now()
	steps := z.Plan(time.Unix(1000, 0))
	require.Less(t, time.Since(began), maxPlanTime)
	formed := map[string]int{}
	for _, step := range steps {
		formed[step.Order.Model]++
	}
	require.Len(t, formed, len(engine.Models), "each model gets groups")
}
