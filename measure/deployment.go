package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"redwinghall"
	"redwinghall/daemon"
	"redwinghall/operator"
	"redwinghall/peer"
	"redwinghall/standin/engine"
)

// Ports and names of the measured deployments.
const (
	measureHost    = "127.77.0.1"
	portPlatform   = 23000
	portControl    = 23001
	portCaller     = 23100
	portRouter     = 23200
	portOperator   = 23300
	portController = 23400
	portEngine     = 23500
	measureKey     = "measure-key-000"
	measureToken   = "measure-token-0123456789"
	measureModel   = "chain-advice"
	vmsPerGroup    = 4
	waitLimit      = time.Minute
)

// shape is the size of a measured deployment.
type shape struct {
	zones, nodesPerZone, groupsPerZone int
	engine                             engine.Config
}

func (s shape) nodes() int { return s.zones * s.nodesPerZone }

// deployment is processes on loopback: the platform, the engines, and a
// router and a controller for each node.
type deployment struct {
	shape       shape
	dir, bin    string
	routers     []*exec.Cmd
	controllers []*exec.Cmd
	others      []*exec.Cmd
	client      *http.Client
}

func startDeployment(bin string, s shape) (*deployment, error) {
	dir, err := os.MkdirTemp("", "redwinghall-measure-")
	if err != nil {
		return nil, err
	}
	d := &deployment{shape: s, dir: dir, bin: bin, client: &http.Client{Timeout: 5 * time.Second}}
	if err := d.startAll(); err != nil {
		d.stop()
		return nil, err
	}
	return d, nil
}

func address(port int) string { return fmt.Sprintf("%s:%d", measureHost, port) }

func (d *deployment) zone(node int) string {
	return fmt.Sprintf("zone-%c", 'a'+node/d.shape.nodesPerZone)
}

func (d *deployment) startAll() error {
	vms := d.vms()
	engines := map[string]any{"control_address": address(portControl), "engine": d.shape.engine, "vms": engineVMs(vms)}
	if err := errors.Join(d.file("vms", vms), d.file("engines", engines)); err != nil {
		return err
	}
	if err := d.launch(&d.others, "standin", "platform", "--address", address(portPlatform), "--vms", d.path("vms")); err != nil {
		return err
	}
	if err := d.launch(&d.others, "standin", "engines", "--settings", d.path("engines")); err != nil {
		return err
	}
	for i := range d.shape.nodes() {
		if err := d.startNode(i); err != nil {
			return err
		}
	}
	return d.wait("every process answers", func() bool {
		for i := range d.shape.nodes() {
			if _, err := d.operator(i).Status(context.Background()); err != nil || d.generation(i) == "" {
				return false
			}
		}
		return true
	})
}

func (d *deployment) vms() redwinghall.VMs {
	var out redwinghall.VMs
	for z := range d.shape.zones {
		for i := range d.shape.groupsPerZone * vmsPerGroup {
			out = append(out, redwinghall.VM{
				ID: fmt.Sprintf("zone-%c-w%03d", 'a'+z, i), AvailabilityZone: fmt.Sprintf("zone-%c", 'a'+z),
				FabricDomain: fmt.Sprintf("zone-%c-%d", 'a'+z, i/16), Address: address(portEngine + len(out)),
				Accelerators: 8, State: redwinghall.VMLive,
			})
		}
	}
	return out
}

func engineVMs(vms redwinghall.VMs) []map[string]string {
	var out []map[string]string
	for _, vm := range vms {
		out = append(out, map[string]string{"id": vm.ID, "address": vm.Address})
	}
	return out
}

func (d *deployment) startNode(i int) error {
	common := daemon.Common{
		AvailabilityZone: d.zone(i), PlatformAddress: address(portPlatform),
		PeerToken: daemon.Token{Env: "RWH_MEASURE_TOKEN"}, Peers: d.peers(),
	}
	router := daemon.RouterSettings{Common: common, CallerAddress: address(portCaller + i)}
	router.ID, router.PeerAddress = fmt.Sprintf("router-%d", i), address(portRouter+i)
	controller := daemon.ControllerSettings{Common: common, OperatorAddress: address(portOperator + i),
		OperatorToken: daemon.Token{Env: "RWH_MEASURE_TOKEN"}, MaxLoading: 100}
	controller.ID, controller.PeerAddress = fmt.Sprintf("controller-%d", i), address(portController+i)
	err := errors.Join(d.file(router.ID, router.WithDefaults()), d.file(controller.ID, controller.WithDefaults()))
	if err != nil {
		return err
	}
	if err := d.launch(&d.controllers, "controller", "--settings", d.path(controller.ID)); err != nil {
		return err
	}
	return d.launch(&d.routers, "router", "--settings", d.path(router.ID))
}

func (d *deployment) peers() []peer.Member {
	var out []peer.Member
	for i := range d.shape.nodes() {
		out = append(out,
			peer.Member{ID: fmt.Sprintf("router-%d", i), AvailabilityZone: d.zone(i), Address: address(portRouter + i),
				Program: peer.Router, CallerAddress: address(portCaller + i)},
			peer.Member{ID: fmt.Sprintf("controller-%d", i), AvailabilityZone: d.zone(i),
				Address: address(portController + i), Program: peer.Controller})
	}
	return out
}

func (d *deployment) path(name string) string { return filepath.Join(d.dir, name+".json") }

func (d *deployment) file(name string, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return os.WriteFile(d.path(name), data, 0o600)
}

func (d *deployment) launch(list *[]*exec.Cmd, program string, args ...string) error {
	log, err := os.Create(filepath.Join(d.dir, fmt.Sprintf("%s-%d.log", program, len(*list))))
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the process keeps its own copy
	cmd := exec.Command(filepath.Join(d.bin, program), args...)
	cmd.Env = append(os.Environ(), "RWH_MEASURE_TOKEN="+measureToken)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	*list = append(*list, cmd)
	return nil
}

// stop ends what was started; what is measured is over, so nothing drains.
func (d *deployment) stop() {
	for _, list := range [][]*exec.Cmd{d.routers, d.controllers, d.others} {
		for _, cmd := range list {
			_ = cmd.Process.Kill() // it may have ended
			_ = cmd.Wait()
		}
	}
	_ = os.RemoveAll(d.dir)
}

func (d *deployment) wait(what string, done func() bool) error {
	deadline := time.Now().Add(waitLimit)
	for time.Now().Before(deadline) {
		if done() {
			return nil
		}
		time.Sleep(2 * time.Millisecond)
	}
	return fmt.Errorf("not seen within %s: %s", waitLimit, what)
}

func (d *deployment) operator(i int) *operator.Client {
	return operator.NewClient(address(portOperator+i), measureToken)
}

// generation returns what a router's readyz says is in force; "" when it does
// not answer.
func (d *deployment) generation(i int) string {
	response, err := d.client.Get("http://" + address(portCaller+i) + "/readyz")
	if err != nil {
		return ""
	}
	_ = response.Body.Close()
	return response.Header.Get("X-Redwinghall-Generation")
}

func (d *deployment) status(i int) int {
	response, err := d.client.Get("http://" + address(portCaller+i) + "/readyz")
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

func (d *deployment) manifest() []byte {
	sum := sha256.Sum256([]byte(measureKey))
	replicas := map[string]int{}
	for z := range d.shape.zones {
		replicas[fmt.Sprintf("zone-%c", 'a'+z)] = d.shape.groupsPerZone
	}
	data, err := json.Marshal(redwinghall.Manifest{
		Name:           "measure",
		ClientAccounts: redwinghall.ClientAccounts{{ID: "load", KeySHA256: []string{hex.EncodeToString(sum[:])}, MaxQueued: 10000}},
		Models: []redwinghall.Model{{ID: measureModel, Version: "v1", VMsPerReplica: vmsPerGroup, Replicas: replicas,
			Adapters: []string{}, ClientAccounts: []string{"load"}, MaxInFlight: 512, ColdInFlight: 64, WarmAfter: 1}},
	}.WithDefaults())
	if err != nil {
		panic(err) // a struct of plain fields always marshals
	}
	return data
}

// submit puts a manifest in force and returns how long it took, from the
// operator's answer until every router has it.
func (d *deployment) submit(replaces uint64) (time.Duration, error) {
	_, err := d.operator(0).SubmitManifest(context.Background(),
		operator.Submission{SubmitID: fmt.Sprint("submit-", replaces), Replaces: replaces}, d.manifest())
	if err != nil {
		return 0, err
	}
	accepted := time.Now()
	want := fmt.Sprint(replaces + 1)
	err = d.wait("the manifest is in force", func() bool {
		for i := range d.shape.nodes() {
			if d.generation(i) != want {
				return false
			}
		}
		return true
	})
	return time.Since(accepted), err
}

// serving waits until every zone's groups are whole.
func (d *deployment) serving() error {
	return d.wait("every group is whole", func() bool {
		for z := range d.shape.zones {
			status, err := d.operator(z * d.shape.nodesPerZone).Status(context.Background())
			if err != nil {
				return false
			}
			whole := 0
			for _, g := range status.Groups {
				if g.Whole {
					whole++
				}
			}
			if whole != d.shape.groupsPerZone {
				return false
			}
		}
		return true
	})
}
