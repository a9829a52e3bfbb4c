package main

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"redwinghall"
	"redwinghall/peer"
	"redwinghall/ramp"
	"redwinghall/route"
)

// registerCounts is the number of registers of each kind that a router holds.
type registerCounts struct {
	groups, models, accounts int
}

func (c registerCounts) store() *peer.Store {
	store := peer.NewStore()
	manifest := redwinghall.Manifest{Name: "measure"}
	for i := range c.accounts {
		sum := sha256.Sum256([]byte(fmt.Sprint("key", i)))
		manifest.ClientAccounts = append(manifest.ClientAccounts,
			redwinghall.ClientAccount{ID: fmt.Sprintf("account-%d", i), KeySHA256: []string{hex.EncodeToString(sum[:])}})
	}
	for i := range c.models {
		manifest.Models = append(manifest.Models, redwinghall.Model{ID: fmt.Sprintf("model-%d", i), Version: "v1", VMsPerReplica: 4})
	}
	put(store, peer.KeyManifest, redwinghall.Accepted{Generation: 1, Manifest: manifest.WithDefaults()})
	for i := range c.groups {
		g := redwinghall.Group{ID: groupID(i), AvailabilityZone: "zone-a", Model: fmt.Sprintf("model-%d", i%c.models),
			Generation: 1, Members: make([]redwinghall.Member, 4), MaxInFlight: 1 << 30, ColdInFlight: 1, WarmAfter: 1}
		put(store, peer.KeyGroup("zone-a", g.ID), g)
	}
	return store
}

func put(store *peer.Store, key string, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // cannot fail: the struct has only plain fields
	}
	store.Apply(peer.Entry{Key: key, Number: 1, Value: data})
}

// selector returns a router's group selector over these registers, with every
// group healthy, and the store that contains them.
func (c registerCounts) selector(now time.Time) (*route.Selector, *peer.Store) {
	store := c.store()
	b := route.NewSelector(route.SelectorConfig{AvailabilityZone: "zone-a", Router: "router-1", AliveBound: time.Hour,
		Ramp: ramp.SingleOwner{}, Picker: route.TwoChoices{}})
	b.Rebuild(store)
	health := peer.NewHealthCache()
	for i := range c.groups {
		health.Merge(redwinghall.GroupHealth{Group: groupID(i), Generation: 1, SeenAt: now, Ready: true, Completed: 10})
	}
	b.Refresh(now, health, []peer.Member{{ID: "router-1"}})
	return b, store
}

// measureSnapshot measures the time and the memory that building a new view
// takes.
func measureSnapshot(options) ([]Series, error) {
	groups := sweep([]int{20, 80, 325}, func(n int) registerCounts { return registerCounts{n, 4, 50} })
	models := sweep([]int{5, 20, 80}, func(n int) registerCounts { return registerCounts{20, n, 50} })
	accounts := sweep([]int{10, 100, 1000}, func(n int) registerCounts { return registerCounts{20, 4, n} })
	return []Series{
		newSeries("by groups", "groups", "microseconds to build a view", groups.time),
		newSeries("by models", "models", "microseconds to build a view", models.time),
		newSeries("by client accounts", "client accounts", "microseconds to build a view", accounts.time),
		newSeries("by client accounts", "client accounts", "KiB allocated to build a view", accounts.memory),
		newSeries("by groups", "groups", "KiB allocated to build a view", groups.memory),
	}, nil
}

type sweepResult struct {
	time, memory []Point
}

func sweep(sizes []int, of func(int) registerCounts) sweepResult {
	var out sweepResult
	for _, n := range sizes {
		b, store := of(n).selector(time.Now())
		r := testing.Benchmark(func(tb *testing.B) {
			tb.ReportAllocs()
			for range tb.N {
				b.Rebuild(store)
			}
		})
		runtime.GC()
		out.time = append(out.time, Point{float64(n), float64(r.NsPerOp()) / 1e3})
		out.memory = append(out.memory, Point{float64(n), float64(r.AllocedBytesPerOp()) / 1024})
	}
	return out
}

// measureRoute measures the time of one routing decision, and of a refresh of
// the groups' limits, by the number of groups.
func measureRoute(options) ([]Series, error) {
	var decision, refresh []Point
	for _, n := range []int{20, 80, 160, 325} {
		now := time.Now()
		b, _ := registerCounts{n, 1, 10}.selector(now)
		r := testing.Benchmark(func(tb *testing.B) {
			for i := range tb.N {
				s := b.PickPrefix("model-0", now, uint64(i)*0x9e3779b97f4a7c15+1)
				if s == nil {
					tb.Fatal("no group was chosen")
				}
				s.Release()
			}
		})
		decision = append(decision, Point{float64(n), float64(r.NsPerOp())})
		health := peer.NewHealthCache()
		for i := range n {
			health.Merge(redwinghall.GroupHealth{Group: groupID(i), Generation: 1, SeenAt: now, Ready: true, Completed: 10})
		}
		members := make([]peer.Member, targetNodes)
		for i := range members {
			members[i] = peer.Member{ID: fmt.Sprintf("router-%d", i), CallerAddress: "a"}
		}
		r = testing.Benchmark(func(tb *testing.B) {
			for range tb.N {
				b.Refresh(now, health, members)
			}
		})
		refresh = append(refresh, Point{float64(n), float64(r.NsPerOp()) / 1e3})
	}
	return []Series{
		newSeries("two choices", "groups", "nanoseconds a decision", decision),
		newSeries("refresh of limits, 22 routers", "groups", "microseconds", refresh),
	}, nil
}
