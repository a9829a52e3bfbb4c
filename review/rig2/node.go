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
	"syscall"
)

// node is one process of the project, started as the deploy file says.
type node struct {
	name, zone, ip, settings string
	front, ready, control    string
	command                  *exec.Cmd
}

// settingsOf returns the settings file of a node, as the platform writes it for a small deployment.
func (n *node) settingsText(zones []string, storeAddress string, first bool) string {
	var b strings.Builder
	p := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	p("node_name=%s\nrole=node\nmachine_class=front\nserves=front\nip=%s\nzone=%s\nregion=eesti", n.name, n.ip, n.zone)
	for _, zone := range zones {
		p("zones.%s=eesti", zone)
	}
	p("listen_addresses.front=%s\nlisten_addresses.ready=%s", n.front, n.ready)
	p("internal_ports=7340,7355\nfirst_start=%t\nloss_counts=false", first)
	p("limits.cpu_share=0.4\nlimits.cores=1\nlimits.memory_mb=284\nlimits.file_descriptors=4100\nlimits.link_mbps=1000.0\nlimits.disk_mb=0")
	p("discovery=platform\nentry=virtual_ip\nheartbeat_ms=1200\ncontracts=base,drain,config,cost,retry,recover,engine,stream,tenants,places,platform,gangs")
	p("fault_tolerance.machines=2\nfault_tolerance.zones=1\nfault_tolerance.regions=0")
	for _, bound := range []string{
		"seed_lag_s=3", "reuse_after_s=2", "contact_ms=3000", "acknowledge_ms=4000", "catch_up_s=4", "drain_ms=2000", "grace_period_s=8", "lost_ms=200",
		"configuration_ms=2000", "downgrade_ms=250", "outer_ms=5000", "fail_closed=false", "revocation_ms=5000", "retry_budget_ratio=0.2", "budget_window_s=10",
		"budget_slack=130", "cold_overshoot=1.5", "cold_slack=5", "evacuation_ms=5000", "recovery_s=12", "pass_ms=120", "retry_after_s=0", "stall_ms=4000",
		"checks_fence=false", "ceiling_window_s=5", "ceiling_overshoot=1.1",
	} {
		p("bounds.%s", bound)
	}
	p("platform.address=%s\nplatform.form=table\nplatform.writes_per_s=400\nplatform.reads_per_s=2000\nplatform.transaction_ms=5.0", storeAddress)
	p("platform.part_writes_per_s=200\nplatform.row_bytes=65536\nplatform.across=false\nplatform.history_s=20")
	return b.String()
}

// writeSettings replaces the settings file in one step.
func (n *node) writeSettings(text string) error {
	next := n.settings + ".next"
	if err := os.WriteFile(next, []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(next, n.settings)
}

func newNode(folder, name, zone, ip string) *node {
	return &node{
		name: name, zone: zone, ip: ip, settings: filepath.Join(folder, name+".conf"),
		front: net.JoinHostPort(ip, "8227"), ready: net.JoinHostPort(ip, "8220"),
	}
}

// start starts the process in the folder of the repository.
func (n *node) start(repository string) error {
	logFile, err := os.Create(strings.TrimSuffix(n.settings, ".conf") + ".log")
	if err != nil {
		return err
	}
	n.command = exec.Command("target/node")
	n.command.Dir = repository
	n.command.Env = []string{"REDWINGHALL_BOOT=" + n.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	n.command.Stdout, n.command.Stderr = logFile, logFile
	n.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return n.command.Start()
}

func (n *node) isReady(ctx context.Context) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.ready+"/redwinghall/readiness", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (n *node) kill() {
	if n.command != nil && n.command.Process != nil {
		_ = n.command.Process.Kill()
		_ = n.command.Wait()
	}
}
