// Package soak runs real nodes as separate processes against stand-ins of the
// users' platform, injects faults from outside the processes, and checks the
// responses to callers and the requests at endpoints.
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

// Sizes of the deployment, chosen so that a few dozen connections keep it busy.
const (
	minEnginesPerZone    = 5  // two groups of two, and a spare
	sessionsPerGroup     = 10 // two of three sessions have a stream in progress
	plainServicesPerZone = 2
	responseEvents       = 12
	eventInterval        = 15 * time.Millisecond
	joinDuration         = 40 * time.Millisecond
	stableKey            = "key-kept"
	withdrawnKey         = "key-withdrawn"
	linkHost             = "127.0.0.1"
)

// Config describes a run.
type Config struct {
	Seed uint64
	// Bin is the directory of the node program, Dir that of settings and logs.
	Bin, Dir string
	// Plan selects faults or planned stops; empty means PlanFaults.
	Plan Plan
	// Length is how long new faults or stops are started. A run of PlanFaults then
	// continues without faults.
	Length time.Duration
	// Host is the prefix of the run's loopback addresses, such as "127.10.1."; runs at the
	// same time need different ones.
	Host string
	// Nodes is the number of node processes.
	Nodes int
	// Sessions is the number of callers in PlanVersions and PlanEnds, 0 for the usual one. There are
	// as many endpoints as they need.
	Sessions int
}

func (c Config) sessions() int {
	if c.Sessions > 0 {
		return c.Sessions
	}
	return max(sessionCount, c.Nodes)
}

// enginesPerZone returns how many engines each zone has.
func (c Config) enginesPerZone() int {
	if c.Sessions == 0 {
		return minEnginesPerZone
	}
	return max(minEnginesPerZone, 2*c.Sessions/len(zones)/sessionsPerGroup+1)
}

func (c Config) supervised() bool {
	return c.Plan == PlanVersions || c.Plan == PlanEnds || c.Plan == PlanSilences
}

// Plan is the kind of a run.
type Plan string

// Plans of a run.
const (
	// PlanFaults injects random faults into nodes, links, endpoints and the store.
	PlanFaults Plan = "faults"
	// PlanStops only stops nodes, one after another, as operators do.
	PlanStops Plan = "stops"
	// PlanPartitions mostly parts nodes from all endpoints, while callers stay with their nodes.
	PlanPartitions Plan = "partitions"
	// PlanPauses lets nodes stand still, while callers stay with their nodes.
	PlanPauses Plan = "pauses"
	// PlanVersions changes the configuration in storms, beside SIGHUPs, planned stops, the loss of
	// nodes' output, and kills of all nodes.
	PlanVersions Plan = "versions"
	// PlanEnds ends all nodes or nearly all in series, by kill, after silence, or after a standstill,
	// right after versions of the configuration.
	PlanEnds Plan = "ends"
	// PlanSilences lets endpoints fall silent for a moment while others reject requests, beside versions and
	// planned stops.
	PlanSilences Plan = "silences"
	// PlanRemovals removes endpoints' entries just after a zone's nodes were cut off from the store.
	PlanRemovals Plan = "removals"
	// PlanHalves lets endpoints crash behind cuts in one direction, in answers that end with their connections, beside
	// nodes that stand still.
	PlanHalves Plan = "halves"
)

// nodeProcess is a node with its settings and its link to the store.
type nodeProcess struct {
	settings  platformtest.NodeSettings
	path      string
	storeLink *link.Link
	proc      *process.Process
	// endpointLinks stand between this node and each endpoint, by the endpoint's address.
	endpointLinks map[string]*link.Link
	parted        bool      // a partition is in force
	reserved      bool      // a fault or planned stop controls the process
	faults        intervals // restarts and freezes
	storeFaults   intervals // of the link to the store
	// stoppedAt is when the node last got SIGTERM in a planned stop.
	stoppedAt time.Time
	lifetimes []*lifetime
	// restartDelay is the time from the end of its process to its start in PlanVersions, 0 for
	// the usual one.
	restartDelay time.Duration
	// settingsFile is held while the settings file is incomplete, and while a process starts.
	// It is locked before the deployment's lock.
	settingsFile sync.Mutex
}

// deployment is the complete deployment of one run.
type deployment struct {
	config    Config
	random    *rand.Rand
	group     *kernel.Group
	store     *platformtest.Store
	runs      *platformtest.RunCounter
	processes *process.Set

	mu              sync.Mutex
	nodes           []*nodeProcess
	endpoints       []*linkedEndpoint
	closedEndpoints []*linkedEndpoint
	endpointCount   int
	configVersion   int
	faults          []recordedFault
	// lastNodeFault is when a fault or planned stop of a node last ended.
	lastNodeFault time.Time
	storeFaults   intervals // of the store itself
	partitions    []partition
	pauses        []nodePause
	lostMembers   map[string]bool // groups a member of which ended in a pause
	// violations are those detected while faults are injected.
	violations []string
	// exits are the violations of processes that ended though nobody ended them.
	exits    []string
	versions []configurationVersion
	// earlyHangUps counts the processes that ended by a SIGHUP before their first instructions.
	earlyHangUps int
	// versionWrite guards variant, the last version that was written, and is locked before mu.
	versionWrite sync.Mutex
	variant      platformtest.Variant
}

// linkedEndpoint is an endpoint and the link through which nodes reach it.
type linkedEndpoint struct {
	config   platformtest.EndpointConfig
	endpoint *platformtest.Endpoint
	link     *link.Link
	faults   intervals // in which the link lost responses or connections
	limited  bool      // the run makes it send a limit
}

var zones = []string{"a", "b"}

func newDeployment(config Config) (*deployment, error) {
	d := &deployment{
		config: config, random: rand.New(rand.NewPCG(config.Seed, 7)), group: kernel.NewGroup(context.Background()),
		store: platformtest.NewStore(), runs: platformtest.NewRunCounter(), processes: process.NewSet(config.Bin, config.Dir), configVersion: 1,
		lostMembers: map[string]bool{},
	}
	if err := d.store.PutConfiguration(platformtest.Configuration(1, stableKey, withdrawnKey)); err != nil {
		return nil, err
	}
	for _, zone := range zones {
		for range config.enginesPerZone() {
			if err := d.addEndpoint("llm", zone); err != nil {
				return nil, err
			}
		}
		for range plainServicesPerZone {
			if err := d.addEndpoint("desk", zone); err != nil {
				return nil, err
			}
		}
	}
	if err := d.addCounters(); err != nil {
		return nil, err
	}
	for i := range config.Nodes {
		if err := d.addNode(i); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// addCounters adds the endpoints of the second plain service, which PlanVersions has.
func (d *deployment) addCounters() error {
	for i := range countersPerZone * len(zones) {
		if !d.config.supervised() {
			break
		}
		if err := d.addEndpoint(platformtest.SecondPlainService, zones[i%len(zones)]); err != nil {
			return err
		}
	}
	return nil
}

func (d *deployment) stop() {
	d.mu.Lock()
	for _, n := range d.nodes {
		_ = n.proc.Thaw() // a frozen process could not exit
	}
	d.mu.Unlock()
	d.processes.KillAll()
	for _, e := range d.endpoints {
		e.endpoint.Close()
	}
	d.group.Stop()
	_ = d.group.Wait() // links end with errors of closed connections
	d.store.Close()
}

func (d *deployment) addEndpoint(service, zone string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.endpointCount++
	linked := &linkedEndpoint{config: platformtest.EndpointConfig{
		ID: fmt.Sprintf("%s-%s-%d", service, zone, d.endpointCount), Service: service, Zone: zone, Engine: service == "llm",
		Join: joinDuration, Event: eventInterval, Events: responseEvents,
	}}
	if d.config.Plan == PlanStops || d.config.supervised() {
		linked.config.Event, linked.config.EventTokens, linked.config.Work = stopsEventInterval, stopsEventTokens, deskServiceTime
	}
	if service == "llm" {
		linked.config.Domain = "domain-" + zone
	}
	linked.config.RegisterAs = func(address string) (string, error) {
		l, err := link.New(d.group, net.JoinHostPort(linkHost, "0"), address)
		linked.link = l
		if err != nil {
			return "", err
		}
		return l.Address(), nil
	}
	e, err := platformtest.NewEndpoint(linked.config, d.store, d.runs)
	linked.endpoint = e
	d.endpoints = append(d.endpoints, linked)
	return err
}

func (d *deployment) addNode(i int) error {
	n := &nodeProcess{endpointLinks: map[string]*link.Link{}, path: filepath.Join(d.config.Dir, fmt.Sprintf("node-%d.conf", i))}
	storeLink, err := link.New(d.group, net.JoinHostPort(linkHost, "0"), d.store.AddView(d.linkEndpoints(n)))
	if err != nil {
		return err
	}
	host := fmt.Sprintf("%s%d", d.config.Host, i+1)
	n.storeLink, n.settings = storeLink, platformtest.NodeSettings{
		Node: fmt.Sprintf("node-%d", i), Zone: zones[i%len(zones)], Zones: zones, IP: host,
		CallerAddress: net.JoinHostPort(host, "8300"), ReadinessAddress: net.JoinHostPort(host, "8301"), FirstInternalPort: 8310, StoreAddress: storeLink.Address(),
	}
	if err := os.WriteFile(n.path, []byte(n.settings.Text()), 0o600); err != nil {
		return err
	}
	d.nodes = append(d.nodes, n)
	return d.startNode(n)
}

func (d *deployment) startNode(n *nodeProcess) error {
	start, now := d.processes.Start, time.Now()
	if d.config.supervised() {
		start = d.processes.StartPiped
	}
	p, err := start(n.settings.Node, "node", "--settings", n.path)
	n.proc = p
	if err == nil {
		n.lifetimes = append(n.lifetimes, &lifetime{process: p, startedAt: now})
	}
	return err
}

// recordFault records a fault or stop with its time, for the report of a failed run.
func (d *deployment) recordFault(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faults = append(d.faults, recordedFault{at: time.Now(), text: fmt.Sprintf(format, args...)})
}

// randomInt returns a random number below n from the generator of the run's seed.
func (d *deployment) randomInt(n int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.random.IntN(n)
}

func (d *deployment) nodeName(i int) string { return "node-" + strconv.Itoa(i) }
