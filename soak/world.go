// Package soak runs real nodes as separate processes before stand-ins of the
// users' platform, injects faults from outside them, and checks what callers
// and endpoints see.
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"redwinghall/kernel"
	"redwinghall/platform/platformtest"
	"redwinghall/standin/link"
	"redwinghall/standin/process"
)

// Sizes of the deployment, which a few dozen connections keep busy.
const (
	enginesPerZone = 5 // groups of two, and a spare
	desksPerZone   = 2
	answerEvents   = 12
	eventPause     = 15 * time.Millisecond
	joinTime       = 40 * time.Millisecond
	stableKey      = "key-kept"
	withdrawnKey   = "key-withdrawn"
	linkHost       = "127.0.0.1"
)

// Config says what a run does.
type Config struct {
	Seed uint64
	// Bin is the folder with the node's program, Dir one for settings and logs.
	Bin, Dir string
	// Plan says what happens; empty is PlanFaults.
	Plan Plan
	// Length is how long faults or stops come; a quiet time follows faults.
	Length time.Duration
	// Host is a loopback address of this run's own.
	Host string
	// Nodes is how many processes run.
	Nodes int
}

// Plan names what happens in a run.
type Plan string

// Plans of a run.
const (
	// PlanFaults mixes random faults of all parts.
	PlanFaults Plan = "faults"
	// PlanStops only stops nodes, as planned by operators, in series.
	PlanStops Plan = "stops"
)

// nodeProcess is one node, its settings and its link to the store.
type nodeProcess struct {
	settings platformtest.NodeSettings
	path     string
	toStore  *link.Link
	running  *process.Process
	busy     bool // a fault that ends and starts it is under way
	// stopped is when it last got SIGTERM in a planned stop.
	stopped time.Time
}

// world is the whole deployment of one run.
type world struct {
	config Config
	random *rand.Rand
	group  *kernel.Group
	store  *platformtest.Store
	ledger *platformtest.RunCounter
	set    *process.Set

	mu        sync.Mutex
	nodes     []*nodeProcess
	endpoints []*liveEndpoint
	ended     []*liveEndpoint
	made      int
	version   int
	faults    []string
	// disturbed is when a fault of a node last ended.
	disturbed time.Time
	// mistakes are what faults themselves found wrong.
	mistakes []string
}

// liveEndpoint is an endpoint with the link that stands before it.
type liveEndpoint struct {
	config   platformtest.EndpointConfig
	endpoint *platformtest.Endpoint
	link     *link.Link
}

var zones = []string{"a", "b"}

func newWorld(config Config) (*world, error) {
	w := &world{
		config: config, random: rand.New(rand.NewPCG(config.Seed, 7)), group: kernel.NewGroup(context.Background()),
		store: platformtest.NewStore(), ledger: platformtest.NewRunCounter(), set: process.NewSet(config.Bin, config.Dir), version: 1,
	}
	if err := w.store.Put("op", "config", platformtest.Configuration(1, stableKey, withdrawnKey)); err != nil {
		return nil, err
	}
	for _, zone := range zones {
		for range enginesPerZone {
			if err := w.addEndpoint("llm", zone); err != nil {
				return nil, err
			}
		}
		for range desksPerZone {
			if err := w.addEndpoint("desk", zone); err != nil {
				return nil, err
			}
		}
	}
	for i := range config.Nodes {
		if err := w.addNode(i); err != nil {
			return nil, err
		}
	}
	return w, nil
}

func (w *world) close() {
	w.mu.Lock()
	for _, n := range w.nodes {
		_ = n.running.Thaw() // a frozen process could not end
	}
	w.mu.Unlock()
	w.set.KillAll()
	for _, e := range w.endpoints {
		e.endpoint.Close()
	}
	w.group.Stop()
	_ = w.group.Wait() // links end with errors of closed connections
	w.store.Close()
}

func (w *world) addEndpoint(service, zone string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.made++
	live := &liveEndpoint{config: platformtest.EndpointConfig{
		ID: fmt.Sprintf("%s-%s-%d", service, zone, w.made), Service: service, Zone: zone, Engine: service == "llm",
		Join: joinTime, Event: eventPause, Events: answerEvents,
	}}
	if w.config.Plan == PlanStops {
		live.config.Event, live.config.EventTokens, live.config.Work = longEventPause, longEventTokens, deskWork
	}
	if service == "llm" {
		live.config.Domain = "domain-" + zone
	}
	live.config.RegisterAs = func(address string) (string, error) {
		l, err := link.New(w.group, net.JoinHostPort(linkHost, "0"), address)
		live.link = l
		if err != nil {
			return "", err
		}
		return l.Address(), nil
	}
	e, err := platformtest.NewEndpoint(live.config, w.store, w.ledger)
	live.endpoint = e
	w.endpoints = append(w.endpoints, live)
	return err
}

func (w *world) addNode(i int) error {
	toStore, err := link.New(w.group, net.JoinHostPort(linkHost, "0"), w.store.Address())
	if err != nil {
		return err
	}
	host := fmt.Sprintf("%s%d", w.config.Host, i+1)
	n := &nodeProcess{toStore: toStore, path: filepath.Join(w.config.Dir, fmt.Sprintf("node-%d.conf", i)), settings: platformtest.NodeSettings{
		Node: fmt.Sprintf("node-%d", i), Zone: zones[i%len(zones)], Zones: zones, IP: host,
		CallerAddress: net.JoinHostPort(host, "8300"), ReadinessAddress: net.JoinHostPort(host, "8301"), FirstInternalPort: 8310, StoreAddress: toStore.Address(),
	}}
	if err := os.WriteFile(n.path, []byte(n.settings.Text()), 0o600); err != nil {
		return err
	}
	w.nodes = append(w.nodes, n)
	return w.startNode(n)
}

func (w *world) startNode(n *nodeProcess) error {
	p, err := w.set.Start(n.settings.Node, "node", "--settings", n.path)
	n.running = p
	return err
}

// note keeps what was done, for the report of a run that fails.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = append(w.faults, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

// pick returns a random number below n; runs of one seed draw alike.
func (w *world) pick(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.IntN(n)
}

func (w *world) nodeName(i int) string { return "node-" + strconv.Itoa(i) }
