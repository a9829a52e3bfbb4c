package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

// Node is a process of the project, started with the command of the deploy file.
type Node struct {
	Name, Zone, IP string
	Front          string // address for clients
	ready          string
	settings, log  string
	cmd            *exec.Cmd
	output         *os.File
}

const bounds = `limits.cpu_share=0.4
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
platform.form=table
platform.writes_per_s=400
platform.reads_per_s=2000
platform.transaction_ms=5.0
platform.part_writes_per_s=200
platform.row_bytes=65536
platform.across=false
platform.history_s=20
`

// freePort returns a port of an address that was free a moment ago.
func freePort(ip string) (int, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return 0, err
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port, nil
}

// freeRange returns the first of some ports in a row that are free at an address.
func freeRange(ip string, count int) (int, error) {
	for range 50 {
		first, err := freePort(ip)
		if err != nil {
			return 0, err
		}
		var open []net.Listener
		for port := first; port < first+count && port < 65000; port++ {
			if l, err := net.Listen("tcp", net.JoinHostPort(ip, fmt.Sprint(port))); err == nil {
				open = append(open, l)
			}
		}
		for _, l := range open {
			l.Close()
		}
		if len(open) == count {
			return first, nil
		}
	}
	return 0, fmt.Errorf("no free ports at %s", ip)
}

// StartNode writes the settings of a node into a folder and starts it.
func StartNode(folder, program, name, zone string, zones []string, ip, store string) (*Node, error) {
	front, err := freePort(ip)
	if err != nil {
		return nil, err
	}
	ready, err := freePort(ip)
	if err != nil {
		return nil, err
	}
	internal, err := freeRange(ip, 4)
	if err != nil {
		return nil, err
	}
	n := &Node{
		Name: name, Zone: zone, IP: ip, Front: fmt.Sprintf("%s:%d", ip, front), ready: fmt.Sprintf("%s:%d", ip, ready),
		settings: filepath.Join(folder, name+".conf"), log: filepath.Join(folder, name+".log"),
	}
	var b strings.Builder
	fmt.Fprintf(&b, "node_name=%s\nrole=node\nmachine_class=front\nserves=front\nip=%s\nzone=%s\nregion=land\n", name, ip, zone)
	for _, one := range zones {
		fmt.Fprintf(&b, "zones.%s=land\n", one)
	}
	fmt.Fprintf(&b, "listen_addresses.front=%s\nlisten_addresses.ready=%s\ninternal_ports=%d,%d\nseed_nodes=\nfirst_start=true\nloss_counts=false\n",
		n.Front, n.ready, internal, internal+3)
	fmt.Fprintf(&b, "%splatform.address=%s\n", bounds, store)
	if err := os.WriteFile(n.settings, []byte(b.String()), 0o600); err != nil {
		return nil, err
	}
	return n, n.start(program)
}

func (n *Node) start(program string) error {
	output, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	n.output = output
	n.cmd = exec.Command(program)
	n.cmd.Env = []string{"REDWINGHALL_BOOT=" + n.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	n.cmd.Stdout, n.cmd.Stderr = output, output
	return n.cmd.Start()
}

// Restart kills the process and starts it again, as a deployment that was started before.
func (n *Node) Restart(program string) error {
	n.End()
	text, err := os.ReadFile(n.settings)
	if err != nil {
		return err
	}
	if err := os.WriteFile(n.settings, []byte(strings.Replace(string(text), "first_start=true", "first_start=false", 1)), 0o600); err != nil {
		return err
	}
	return n.start(program)
}

// Await waits until the node answers its readiness check with 200.
func (n *Node) Await(limit time.Duration) error {
	client := http.Client{Timeout: time.Second}
	for begun := time.Now(); time.Since(begun) < limit; time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + n.ready + "/redwinghall/readiness")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s isn't ready", n.Name)
}

// End kills the process and waits for it.
func (n *Node) End() {
	if n == nil || n.cmd == nil || n.cmd.Process == nil {
		return
	}
	_ = n.cmd.Process.Kill()
	_ = n.cmd.Wait()
	n.output.Close()
}
