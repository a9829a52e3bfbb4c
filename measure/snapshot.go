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

// storeSize is the size of a router's store: the number of groups, each a
// register, and of models and client accounts in the manifest.
type storeSize struct {
	groups, models, accounts int
}

func (s storeSize) store() *peer.Store {
	store := peer.NewStore()
	manifest := redwinghall.Manifest{Name: "measure"}
	for i := range s.accounts {
		sum := sha256.Sum256([]byte(fmt.Sprint("key", i)))
		manifest.ClientAccounts = append(manifest.ClientAccounts,
			redwinghall.ClientAccount{ID: fmt.Sprintf("account-%d", i), KeySHA256: []string{hex.EncodeToString(sum[:])}})
	}
	for i := range s.models {
		manifest.Models = append(manifest.Models, redwinghall.Model{ID: fmt.Sprintf("model-%d", i), Version: "v1", VMsPerReplica: 4})
	}
	put(store, peer.KeyManifest, redwinghall.Accepted{Generation: 1, Manifest: manifest.WithDefaults()})
	for i := range s.groups {
		g := redwinghall.Group{ID: groupID(i), AvailabilityZone: "zone-a", Model: fmt.Sprintf("model-%d", i%s.models),
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

// selector returns the group selector of a router with a store of this size, in
// which every group is healthy, and the store.
func (s storeSize) selector(now time.Time) (*route.Selector, *peer.Store) {
	store := s.store()
	selector := route.NewSelector(route.SelectorConfig{AvailabilityZone: "zone-a", Router: "router-1", AliveBound: time.Hour,
		Ramp: ramp.SingleOwner{}, Picker: route.TwoChoices{}})
	selector.Rebuild(store)
	health := peer.NewHealthCache()
	for i := range s.groups {
		health.Merge(redwinghall.GroupHealth{Group: groupID(i), Generation: 1, SeenAt: now, Ready: true, Completed: 10})
	}
	selector.Refresh(now, health, []peer.Member{{ID: "router-1"}})
	return selector, store
}

// measureSnapshot measures the time and the memory that it takes to build a new
// view from the store.
func measureSnapshot(options) ([]Series, error) {
	groups := sweep([]int{20, 80, 325}, func(n int) storeSize { return storeSize{n, 4, 50} })
	models := sweep([]int{5, 20, 80}, func(n int) storeSize { return storeSize{20, n, 50} })
	accounts := sweep([]int{10, 100, 1000}, func(n int) storeSize { return storeSize{20, 4, n} })
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

func sweep(sizes []int, of func(int) storeSize) sweepResult {
	var out sweepResult
	for _, n := range sizes {
		selector, store := of(n).selector(time.Now())
		r := testing.Benchmark(func(tb *testing.B) {
			tb.ReportAllocs()
			for range tb.N {
				selector.Rebuild(store)
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
		selector, _ := storeSize{n, 1, 10}.selector(now)
		r := testing.Benchmark(func(tb *testing.B) {
			for i := range tb.N {
				group := selector.PickPrefix("model-0", now, uint64(i)*0x9e3779b97f4a7c15+1)
				if group == nil {
					tb.Fatal("no group was chosen")
				}
				group.Release()
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
				selector.Refresh(now, health, members)
			}
		})
		refresh = append(refresh, Point{float64(n), float64(r.NsPerOp()) / 1e3})
	}
	return []Series{
		newSeries("two choices", "groups", "nanoseconds a decision", decision),
		newSeries("refresh of limits, 22 routers", "groups", "microseconds", refresh),
	}, nil
}
