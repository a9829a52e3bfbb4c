package main

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"redwinghall"
	"redwinghall/daemon"
	"redwinghall/peer"
	"redwinghall/standin/engine"
)

const examplesHelp = `Writes the example settings and manifests of the two deployments.

Example:
  standin examples --out examples`

type examplesCommand struct {
	app *app
	Out string `long:"out" required:"yes" description:"folder to write to" value-name:"DIR"`
}

// deployment describes one example.
type deployment struct {
	name     string
	base     int // first port
	zones    []string
	domains  [][]int // VMs in each fabric domain of each zone
	model    string
	service  string
	perGroup int
	replicas int
	accounts []redwinghall.ClientAccount
}

// Offsets of ports from a deployment's base.
const (
	portPlatform       = 0
	portEngineControl  = 1
	portService        = 10
	portCaller         = 100
	portRouterPeer     = 200
	portOperator       = 300
	portControllerPeer = 400
	portEngine         = 500
	pairsPerZone       = 2
)

func deployments() []deployment {
	return []deployment{
		{
			name: "pohjatee", base: 21000, zones: []string{"tallinn", "tartu", "parnu"},
			domains: [][]int{{12, 10}, {12, 10}, {12, 9}},
			model:   "chain-advice", service: "rental-desk", perGroup: 4, replicas: 5,
			accounts: accounts("drivers:40", "hauliers:30", "road-crews:30", "depot-tartu:4", "depot-tallinn:4",
				"depot-parnu:4", "fleet-valga:2", "fleet-narva:2", "reports:1:batch", "night-jobs:1:batch"),
		},
		{
			name: "blue-mahoe", base: 22000, zones: []string{"kingston", "portmore", "mandeville"},
			domains: [][]int{{12, 10}, {12, 10}, {12, 9}},
			model:   "cup-assistant", service: "returns-desk", perGroup: 2, replicas: 10,
			accounts: accounts("cafes:40", "hauliers:30", "depots:30", "cafe-kingston:4", "cafe-portmore:4",
				"cafe-mandeville:4", "schools:2", "events:2", "ledgers:1:batch", "reports:1:batch"),
		},
	}
}

// accounts reads "id:weight[:class]". The API key is "demo-key-" and the id.
func accounts(specs ...string) []redwinghall.ClientAccount {
	var out []redwinghall.ClientAccount
	for _, spec := range specs {
		var id, class string
		var weight int
		for i, part := range splitColon(spec) {
			switch i {
			case 0:
				id = part
			case 1:
				_, _ = fmt.Sscanf(part, "%d", &weight) // the specs stand above
			default:
				class = part
			}
		}
		sum := sha256.Sum256([]byte(demoKey(id)))
		out = append(out, redwinghall.ClientAccount{
			ID: id, KeySHA256: []string{hex.EncodeToString(sum[:])}, Class: redwinghall.Class(class), Weight: weight,
		}.WithDefaults())
	}
	return out
}

func splitColon(s string) []string {
	var out []string
	start := 0
	for i := range len(s) {
		if s[i] == ':' {
			out = append(out, s[start:i])
			start = i + 1
		}
	}
	return append(out, s[start:])
}

func demoKey(account string) string { return "demo-key-" + account }

func (d deployment) address(offset int) string { return fmt.Sprintf("127.0.0.1:%d", d.base+offset) }

// pairs returns how many routers, and controllers, the deployment has.
func (d deployment) pairs() int { return pairsPerZone * len(d.zones) }

func (d deployment) zoneOf(pair int) string { return d.zones[pair/pairsPerZone] }

func (d deployment) routerID(pair int) string {
	return fmt.Sprintf("router-%s-%d", d.zoneOf(pair), pair%pairsPerZone+1)
}

func (d deployment) controllerID(pair int) string {
	return fmt.Sprintf("controller-%s-%d", d.zoneOf(pair), pair%pairsPerZone+1)
}

// vms returns the workers and the service VMs.
func (d deployment) vms() redwinghall.VMs {
	var out redwinghall.VMs
	port := portEngine
	for z, zone := range d.zones {
		number := 1
		for i, size := range d.domains[z] {
			for range size {
				out = append(out, redwinghall.VM{
					ID: fmt.Sprintf("%s-w%02d", zone, number), AvailabilityZone: zone,
					FabricDomain: fmt.Sprintf("%s-%c", zone, 'a'+i), Address: d.address(port),
					Accelerators: 8, State: redwinghall.VMLive,
				})
				number++
				port++
			}
		}
		out = append(out, redwinghall.VM{
			ID: zone + "-s1", AvailabilityZone: zone, FabricDomain: zone + "-s", Address: d.address(portService + z),
			State: redwinghall.VMLive, Service: d.service,
		})
	}
	return out
}

func (d deployment) manifest(version string) redwinghall.Manifest {
	var all []string
	for _, a := range d.accounts {
		all = append(all, a.ID)
	}
	replicas := map[string]int{}
	for _, zone := range d.zones {
		replicas[zone] = d.replicas
	}
	return redwinghall.Manifest{
		Name: d.name, ClientAccounts: d.accounts,
		Models: []redwinghall.Model{{
			ID: d.model, Version: version, Adapters: []string{}, VMsPerReplica: d.perGroup, AcceleratorsPerVM: 8,
			Replicas: replicas, ClientAccounts: all, MaxInFlight: 32, ColdInFlight: 2, WarmAfter: 20,
		}},
		Services: []redwinghall.Service{{ID: d.service, ClientAccounts: all, Timeout: redwinghall.Duration(5 * time.Second)}},
	}.WithDefaults()
}

func (d deployment) peers() []peer.Member {
	var out []peer.Member
	for i := range d.pairs() {
		out = append(out,
			peer.Member{ID: d.routerID(i), AvailabilityZone: d.zoneOf(i), Address: d.address(portRouterPeer + i),
				Program: peer.Router, CallerAddress: d.address(portCaller + i)},
			peer.Member{ID: d.controllerID(i), AvailabilityZone: d.zoneOf(i), Address: d.address(portControllerPeer + i),
				Program: peer.Controller})
	}
	return out
}

func (d deployment) common(id, zone string, peerPort int) daemon.Common {
	return daemon.Common{
		ID: id, AvailabilityZone: zone, PeerAddress: d.address(peerPort), PlatformAddress: d.address(portPlatform),
		Peers: d.peers(), PeerToken: daemon.Token{Env: "RWH_PEER_TOKEN"},
		ExchangeInterval: redwinghall.Duration(500 * time.Millisecond),
		AliveBound:       redwinghall.Duration(2 * time.Second),
	}
}

// Execute implements flags.Commander.
func (c *examplesCommand) Execute([]string) error {
	for _, d := range deployments() {
		if err := d.write(filepath.Join(c.Out, d.name)); err != nil {
			return err
		}
	}
	return nil
}

func (d deployment) write(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	engines := engineSettings{ControlAddress: d.address(portEngineControl), Engine: engine.Config{
		FirstToken: redwinghall.Duration(20 * time.Millisecond), TokenDelay: redwinghall.Duration(5 * time.Millisecond),
		LoadTime:     redwinghall.Duration(300 * time.Millisecond),
		ColdInFlight: 2, WarmAfter: 20, MaxInFlight: 32, ReportLag: redwinghall.Duration(200 * time.Millisecond),
	}}
	for _, vm := range d.vms() {
		if vm.Service == "" {
			engines.VMs = append(engines.VMs, engineVM{ID: vm.ID, Address: vm.Address})
		}
	}
	files := map[string]any{"vms.json": d.vms(), "engines.json": engines, "manifest.json": d.manifest("v1")}
	for i := range d.pairs() {
		files[d.routerID(i)+".json"] = routerExample(d, i)
		files[d.controllerID(i)+".json"] = controllerExample(d, i)
	}
	for name, v := range files {
		data, err := json.MarshalIndent(v, "", "  ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(dir, name), append(data, '\n'), 0o644); err != nil {
			return err
		}
	}
	return nil
}

func routerExample(d deployment, i int) daemon.RouterSettings {
	s := daemon.RouterSettings{
		Common:        d.common(d.routerID(i), d.zoneOf(i), portRouterPeer+i),
		CallerAddress: d.address(portCaller + i),
		DrainDelay:    redwinghall.Duration(time.Second),
	}
	return s.WithDefaults()
}

func controllerExample(d deployment, i int) daemon.ControllerSettings {
	s := daemon.ControllerSettings{
		Common:          d.common(d.controllerID(i), d.zoneOf(i), portControllerPeer+i),
		OperatorAddress: d.address(portOperator + i),
		OperatorToken:   daemon.Token{Env: "RWH_OPERATOR_TOKEN"},
		StepInterval:    redwinghall.Duration(500 * time.Millisecond),
		LeaseDuration:   redwinghall.Duration(5 * time.Second),
		LeaseMargin:     redwinghall.Duration(1500 * time.Millisecond),
		LostAfter:       redwinghall.Duration(3 * time.Second),
		SettleTime:      redwinghall.Duration(3 * time.Second),
		MaxLoading:      20,
	}
	return s.WithDefaults()
}
