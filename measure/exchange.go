package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"

	"redwinghall"
	"redwinghall/kernel"
	"redwinghall/peer"
)

const (
	exchangeWarmUp = 3 * time.Second
	exchangeTime   = 8 * time.Second
	targetGroups   = 20 // per zone at the target size of 325 groups in 16 zones
	targetNodes    = 22 // per zone at the target size of 360 nodes in 16 zones
)

// measureExchange runs the nodes of one zone in this process, each with its own
// listener and connections. It measures the bytes on their sockets, the CPU
// time, and the age of the oldest health observation.
func measureExchange(options) ([]Series, error) {
	var bytes, cpu, age []Point
	for _, nodes := range []int{6, 11, 22, 44} {
		r, err := runZone(nodes, targetGroups)
		if err != nil {
			return nil, err
		}
		bytes = append(bytes, Point{float64(nodes), r.bytes})
		cpu = append(cpu, Point{float64(nodes), r.cpuPercent})
		age = append(age, Point{float64(nodes), r.age.Seconds()})
	}
	var byGroups []Point
	for _, groups := range []int{10, 20, 40, 80} {
		r, err := runZone(targetNodes, groups)
		if err != nil {
			return nil, err
		}
		byGroups = append(byGroups, Point{float64(groups), r.bytes})
	}
	return []Series{
		newSeries("exchange, 20 groups", "nodes in the zone", "bytes/s a node, in and out", bytes),
		newSeries("exchange, 20 groups", "nodes in the zone", "percent of a core a node", cpu),
		newSeries("oldest word on any group", "nodes in the zone", "seconds", age),
		newSeries("exchange, 22 nodes", "groups in the zone", "bytes/s a node, in and out", byGroups),
	}, nil
}

type zoneResult struct {
	bytes      float64       // per second and node, in and out
	cpuPercent float64       // of a core, per node
	age        time.Duration // of the oldest health observation
}

// runZone starts the nodes. Two of them observe the health of each group once a
// second, as pollers do.
func runZone(count, groups int) (zoneResult, error) {
	g := kernel.NewGroup(context.Background())
	defer func() {
		g.Stop()
		_ = g.Wait() // servers end with their listeners
	}()
	nodes, err := startNodes(g, count)
	if err != nil {
		return zoneResult{}, err
	}
	publishGroups(nodes[0], groups)
	g.Every("observe", time.Second, func(_ context.Context, now time.Time) {
		for i := range groups {
			health := redwinghall.GroupHealth{Group: groupID(i), Generation: 1, SeenAt: now, Ready: true, Running: 12, Completed: uint64(now.Unix())}
			nodes[i%count].Observe(health)
			nodes[(i+1)%count].Observe(health)
		}
	})
	time.Sleep(exchangeWarmUp)
	return sampleZone(nodes, groups), nil
}

func groupID(i int) string { return fmt.Sprintf("chain-advice-12-ABC%03d", i) }

func publishGroups(n *peer.Node, groups int) {
	for i := range groups {
		group := redwinghall.Group{ID: groupID(i), Generation: 1, Model: "chain-advice", Members: make([]redwinghall.Member, 4)}
		data, err := json.Marshal(group)
		if err != nil {
			panic(err) // cannot fail: the struct has only plain fields
		}
		n.Publish(peer.Entry{Key: peer.KeyGroup("zone-a", group.ID), Number: 1, Value: data})
	}
}

func startNodes(g *kernel.Group, count int) ([]*peer.Node, error) {
	listeners := make([]net.Listener, count)
	seeds := make([]peer.Member, count)
	for i := range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		listeners[i] = listener
		seeds[i] = peer.Member{ID: fmt.Sprintf("node-%02d", i), AvailabilityZone: "zone-a",
			Address: listener.Addr().String(), Program: peer.Router}
	}
	nodes := make([]*peer.Node, count)
	for i := range count {
		nodes[i] = peer.NewNode(seeds[i], seeds, "measure-token-0123")
		server := &http.Server{Handler: nodes[i].Handler(), ReadHeaderTimeout: time.Second}
		g.Go("serve", func(context.Context) error {
			_ = server.Serve(listeners[i]) // returns when the server is closed
			return nil
		})
		g.Go("close", func(ctx context.Context) error {
			<-ctx.Done()
			return server.Close()
		})
		nodes[i].Run(g, time.Now())
	}
	return nodes, nil
}

// sampleZone measures for exchangeTime. A node counts only the bytes of the
// exchanges that it starts. Exchanges that its peers start with it transfer as
// much on average, so its total is twice its own count.
func sampleZone(nodes []*peer.Node, groups int) zoneResult {
	before, cpuBefore, started := startedBytes(nodes), ownCPU(), time.Now()
	var oldest time.Duration
	for time.Since(started) < exchangeTime {
		time.Sleep(200 * time.Millisecond)
		now := time.Now()
		for _, n := range nodes {
			for i := range groups {
				h, _ := n.Health.Get(groupID(i))
				oldest = max(oldest, now.Sub(h.SeenAt))
			}
		}
	}
	seconds := time.Since(started).Seconds()
	count := float64(len(nodes))
	return zoneResult{
		bytes:      2 * (startedBytes(nodes) - before) / seconds / count,
		cpuPercent: 100 * (ownCPU() - cpuBefore).Seconds() / seconds / count,
		age:        oldest,
	}
}

const changeRounds = 12

// measureChange publishes large registers one after the other and measures the
// bytes per node and change, by the size of the register.
func measureChange(options) ([]Series, error) {
	var points []Point
	for _, kib := range []int{8, 32, 128} {
		g := kernel.NewGroup(context.Background())
		nodes, err := startNodes(g, targetNodes)
		if err != nil {
			return nil, err
		}
		time.Sleep(exchangeWarmUp)
		before, started := startedBytes(nodes), time.Now()
		for i := range changeRounds {
			nodes[i%targetNodes].Publish(peer.Entry{Key: peer.KeyManifest, Number: uint64(i + 1), Value: make([]byte, kib<<10)})
			time.Sleep(time.Second)
		}
		spent := startedBytes(nodes) - before
		idle := startedBytes(nodes)
		time.Sleep(time.Since(started))
		spent -= startedBytes(nodes) - idle // the idle exchange over the same time
		points = append(points, Point{float64(kib), 2 * spent / targetNodes / changeRounds / 1024})
		g.Stop()
		_ = g.Wait() // servers end with their listeners
	}
	return []Series{newSeries("22 nodes in one zone", "KiB of the register", "KiB a node for each change, in and out", points)}, nil
}

// startedBytes returns the bytes, in both directions, of the exchanges that the
// nodes have started.
func startedBytes(nodes []*peer.Node) float64 {
	var sum uint64
	for _, n := range nodes {
		sum += n.Traffic.Sent.Load() + n.Traffic.Received.Load()
	}
	return float64(sum)
}
