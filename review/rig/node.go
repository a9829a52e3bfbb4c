package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// node is a process of the system, started by the command of the deploy file.
type node struct {
	name, zone, front, ready string
	settings                 string
	log                      *os.File
	cmd                      *exec.Cmd
}

// run is the command of the deploy file.
const run = "target/node"

var (
	processesMu sync.Mutex
	processes   []*exec.Cmd
)

const settingsText = `node_name=NAME
role=node
machine_class=front
serves=front
ip=127.0.0.1
zone=ZONE
region=eesti
zones.tallinn=eesti
zones.tartu=eesti
zones.parnu=eesti
listen_addresses.front=FRONT
listen_addresses.ready=READY
internal_ports=FIRST,LAST
first_start=true
loss_counts=false
limits.cpu_share=0.4
limits.cores=1
limits.memory_mb=284
limits.file_descriptors=4100
limits.link_mbps=1000.0
limits.disk_mb=0
discovery=platform
entry=virtual_ip
heartbeat_ms=1200
contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,places,platform,gangs
fault_tolerance.machines=2
fault_tolerance.zones=1
fault_tolerance.regions=0
bounds.seed_lag_s=3
bounds.reuse_after_s=2
bounds.contact_ms=3000
bounds.acknowledge_ms=4000
bounds.catch_up_s=4
bounds.drain_ms=2000
bounds.grace_period_s=8
bounds.lost_ms=200
bounds.configuration_ms=2000
bounds.downgrade_ms=250
bounds.outer_ms=5000
bounds.fail_closed=false
bounds.revocation_ms=5000
bounds.retry_budget_ratio=0.2
bounds.budget_window_s=10
bounds.budget_slack=130
bounds.cold_overshoot=1.5
bounds.cold_slack=5
bounds.evacuation_ms=5000
bounds.recovery_s=12
bounds.pass_ms=120
bounds.retry_after_s=0
bounds.stall_ms=4000
bounds.checks_fence=false
bounds.ceiling_window_s=5
bounds.ceiling_overshoot=1.1
platform.address=STORE
platform.form=table
platform.writes_per_s=400
platform.reads_per_s=2000
platform.transaction_ms=5.0
platform.part_writes_per_s=200
platform.row_bytes=65536
platform.across=false
platform.history_s=20
platform.blob_bytes=8388608
platform.blob_ms=25.0
platform.blob_mb_per_s=80.0
`

// newNode writes the settings of a node in a folder. number tells the nodes' addresses apart: each has a loopback
// address of its own.
func newNode(folder, name, zone, store string, number int) *node {
	ip := fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()>>8&63, os.Getpid()&255, 10+number)
	first := freePort(ip)
	n := &node{name: name, zone: zone, front: fmt.Sprintf("%s:%d", ip, freePort(ip)), ready: fmt.Sprintf("%s:%d", ip, freePort(ip))}
	text := strings.NewReplacer(
		"NAME", name, "ZONE", zone, "FRONT", n.front, "READY", n.ready, "FIRST", fmt.Sprint(first), "LAST", fmt.Sprint(first+15),
		"ip=127.0.0.1", "ip="+ip, "STORE", store,
	).Replace(settingsText)
	n.settings = filepath.Join(folder, name+".conf")
	check(os.WriteFile(n.settings, []byte(text), 0o600))
	log, err := os.Create(filepath.Join(folder, name+".log"))
	check(err)
	n.log = log
	return n
}

func freePort(ip string) int {
	listener, err := net.Listen("tcp", ip+":0")
	check(err)
	defer func() { _ = listener.Close() }()
	return listener.Addr().(*net.TCPAddr).Port
}

// start starts the process.
func (n *node) start() {
	n.cmd = exec.Command(run)
	n.cmd.Env = append(os.Environ(), "REDWINGHALL_BOOT="+n.settings)
	n.cmd.Stdout, n.cmd.Stderr = n.log, n.log
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(n.cmd.Start())
	processesMu.Lock()
	processes = append(processes, n.cmd)
	processesMu.Unlock()
}

// awaitReady waits until the node says that it is ready.
func (n *node) awaitReady() {
	client := &http.Client{Timeout: time.Second}
	for range 200 {
		response, err := client.Get("http://" + n.ready + "/redwinghall/readiness")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	couldNotRun("%s isn't ready", n.name)
}

// endProcesses ends all processes that were started.
func endProcesses() {
	processesMu.Lock()
	defer processesMu.Unlock()
	for _, one := range processes {
		_ = one.Process.Signal(syscall.SIGCONT)
		_ = one.Process.Kill()
		_ = one.Wait()
	}
	processes = nil
}

// client sends requests to one node over kept connections.
type client struct {
	http *http.Client
	node *node
	key  string
}

func newClient(n *node, key string) *client {
	return &client{node: n, key: key, http: &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 16, DisableCompression: true}}}
}

// request returns a request for a route.
func (c *client) request(ctx context.Context, method, path, id string, body string) *http.Request {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+c.node.front+path, strings.NewReader(body))
	check(err)
	r.Host = "depot.example"
	r.Header.Set("Request-Id", id)
	r.Header.Set("Request-Deadline", "3000")
	r.Header.Set("Authorization", "Bearer "+c.key)
	return r
}
