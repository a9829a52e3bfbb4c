// Package layout describes a deployment on loopback: its processes, their
// addresses and their settings. The examples, the demo, tests with real
// processes and the measurements use it.
package layout

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

// Offsets of the ports from a layout's base port. From portService on, each is the
// first of a range, to which the index of the zone, pair or worker VM is added.
const (
	portPlatform       = 0
	portEngineControl  = 1
	portService        = 10
	portCaller         = 100
	portRouterPeer     = 200
	portOperator       = 300
	portControllerPeer = 400
	portEngine         = 500
)

// Environment variables that contain the tokens.
const (
	PeerTokenVariable     = "RWH_PEER_TOKEN"
	OperatorTokenVariable = "RWH_OPERATOR_TOKEN"
)

// Layout describes a deployment on loopback. Pair i consists of a router and a
// controller of the same zone.
type Layout struct {
	Name         string
	Host         string
	Base         int // first port
	Zones        []string
	Domains      [][]int // number of VMs by zone and fabric domain
	Model        string
	Service      string
	VMsPerGroup  int
	Replicas     int // per zone
	PairsPerZone int // pairs of a router and a controller
	Accounts     redwinghall.ClientAccounts
	Engine       engine.Config
	ModelLimits  redwinghall.Model // only MaxInFlight, ColdInFlight and WarmAfter are used
	// TuneRouter and TuneController, if set, modify the settings of each router
	// and controller.
	TuneRouter     func(s *daemon.RouterSettings)
	TuneController func(s *daemon.ControllerSettings)
}

// Account returns a client account with the API key DemoKey(id).
func Account(id string, weight int, class redwinghall.Class) redwinghall.ClientAccount {
	sum := sha256.Sum256([]byte(DemoKey(id)))
	return redwinghall.ClientAccount{
		ID: id, KeySHA256: []string{hex.EncodeToString(sum[:])}, Class: class, Weight: weight,
	}.WithDefaults()
}

// DemoKey returns the API key of a client account.
func DemoKey(account string) string { return "demo-key-" + account }

func (l Layout) address(offset int) string { return fmt.Sprintf("%s:%d", l.Host, l.Base+offset) }

// PlatformAddress returns the address of the platform stand-in.
func (l Layout) PlatformAddress() string { return l.address(portPlatform) }

// EngineControlAddress returns the address of the engines' control API.
func (l Layout) EngineControlAddress() string { return l.address(portEngineControl) }

// ServiceAddress returns the address of a zone's service.
func (l Layout) ServiceAddress(zone int) string { return l.address(portService + zone) }

// CallerAddress returns the address on which a pair's router accepts requests of
// callers.
func (l Layout) CallerAddress(pair int) string { return l.address(portCaller + pair) }

// OperatorAddress returns the address on which a pair's controller accepts
// requests of operators.
func (l Layout) OperatorAddress(pair int) string { return l.address(portOperator + pair) }

// Pairs returns the number of pairs of a router and a controller.
func (l Layout) Pairs() int { return l.PairsPerZone * len(l.Zones) }

// ZoneOf returns the zone of a pair.
func (l Layout) ZoneOf(pair int) string { return l.Zones[pair/l.PairsPerZone] }

// RouterID returns the ID of a pair's router.
func (l Layout) RouterID(pair int) string {
	return fmt.Sprintf("router-%s-%02d", l.ZoneOf(pair), pair%l.PairsPerZone+1)
}

// ControllerID returns the ID of a pair's controller.
func (l Layout) ControllerID(pair int) string {
	return fmt.Sprintf("controller-%s-%02d", l.ZoneOf(pair), pair%l.PairsPerZone+1)
}

// VMs returns the worker VMs and, if the layout has a service, one VM per zone
// for it.
func (l Layout) VMs() redwinghall.VMs {
	var out redwinghall.VMs
	port := portEngine
	for z, zone := range l.Zones {
		number := 1
		for i, size := range l.Domains[z] {
			for range size {
				out = append(out, redwinghall.VM{
					ID: fmt.Sprintf("%s-w%02d", zone, number), AvailabilityZone: zone,
					FabricDomain: fmt.Sprintf("%s-%c", zone, 'a'+i), Address: l.address(port),
					Accelerators: 8, State: redwinghall.VMLive,
				})
				number++
				port++
			}
		}
		if l.Service != "" {
			out = append(out, redwinghall.VM{
				ID: zone + "-s1", AvailabilityZone: zone, FabricDomain: zone + "-s", Address: l.ServiceAddress(z),
				State: redwinghall.VMLive, Service: l.Service,
			})
		}
	}
	return out
}

// Manifest returns a manifest with one model, which all accounts may use and
// which has replicas in all zones.
func (l Layout) Manifest(version string) redwinghall.Manifest {
	var all []string
	for _, a := range l.Accounts {
		all = append(all, a.ID)
	}
	replicas := map[string]int{}
	for _, zone := range l.Zones {
		replicas[zone] = l.Replicas
	}
	m := redwinghall.Manifest{
		Name: l.Name, ClientAccounts: l.Accounts,
		Models: []redwinghall.Model{{
			ID: l.Model, Version: version, VMsPerReplica: l.VMsPerGroup, AcceleratorsPerVM: 8, Replicas: replicas,
			ClientAccounts: all, MaxInFlight: l.ModelLimits.MaxInFlight, ColdInFlight: l.ModelLimits.ColdInFlight,
			WarmAfter: l.ModelLimits.WarmAfter,
		}},
	}
	if l.Service != "" {
		m.Services = []redwinghall.Service{{ID: l.Service, ClientAccounts: all, Timeout: redwinghall.Duration(5 * time.Second)}}
	}
	return m.WithDefaults()
}

// Peers returns all routers and controllers as peers.
func (l Layout) Peers() []peer.Member {
	var out []peer.Member
	for i := range l.Pairs() {
		out = append(out,
			peer.Member{ID: l.RouterID(i), AvailabilityZone: l.ZoneOf(i), Address: l.address(portRouterPeer + i),
				Program: peer.Router, CallerAddress: l.CallerAddress(i)},
			peer.Member{ID: l.ControllerID(i), AvailabilityZone: l.ZoneOf(i), Address: l.address(portControllerPeer + i),
				Program: peer.Controller})
	}
	return out
}

func (l Layout) commonSettings(id string, pair, peerPort int) daemon.Common {
	return daemon.Common{
		ID: id, AvailabilityZone: l.ZoneOf(pair), PeerAddress: l.address(peerPort + pair),
		PlatformAddress: l.PlatformAddress(), Peers: l.Peers(), PeerToken: daemon.Token{Env: PeerTokenVariable},
	}
}

// Router returns the settings of a pair's router.
func (l Layout) Router(pair int) daemon.RouterSettings {
	s := daemon.RouterSettings{Common: l.commonSettings(l.RouterID(pair), pair, portRouterPeer), CallerAddress: l.CallerAddress(pair)}
	if l.TuneRouter != nil {
		l.TuneRouter(&s)
	}
	return s.WithDefaults()
}

// Controller returns the settings of a pair's controller.
func (l Layout) Controller(pair int) daemon.ControllerSettings {
	s := daemon.ControllerSettings{
		Common:          l.commonSettings(l.ControllerID(pair), pair, portControllerPeer),
		OperatorAddress: l.OperatorAddress(pair), OperatorToken: daemon.Token{Env: OperatorTokenVariable},
	}
	if l.TuneController != nil {
		l.TuneController(&s)
	}
	return s.WithDefaults()
}

// EngineSettings contains the settings of the engines stand-in.
type EngineSettings struct {
	ControlAddress string        `json:"control_address"`
	Engine         engine.Config `json:"engine"`
	VMs            []EngineVM    `json:"vms"`
}

// EngineVM is an engine and its listen address.
type EngineVM struct {
	ID      string `json:"id"`
	Address string `json:"address"`
}

// EngineSettings returns the settings of the engines stand-in.
func (l Layout) EngineSettings() EngineSettings {
	out := EngineSettings{ControlAddress: l.EngineControlAddress(), Engine: l.Engine}
	for _, vm := range l.VMs() {
		if vm.Service == "" {
			out.VMs = append(out.VMs, EngineVM{ID: vm.ID, Address: vm.Address})
		}
	}
	return out
}

// Write writes the settings of all processes, the list of VMs and the manifest
// as JSON files into a folder.
func (l Layout) Write(dir string) error {
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return err
	}
	files := map[string]any{"vms": l.VMs(), "engines": l.EngineSettings(), "manifest": l.Manifest("v1")}
	for i := range l.Pairs() {
		files[l.RouterID(i)] = l.Router(i)
		files[l.ControllerID(i)] = l.Controller(i)
	}
	for name, v := range files {
		data, err := json.MarshalIndent(v, "", "  ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(dir, name+".json"), append(data, '\n'), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// Launch is the command line of one process of a deployment.
type Launch struct {
	Name    string
	Program string
	Args    []string
}

// Launches returns the command lines of all processes in the order in which to
// start them. The folder dir contains the settings.
func (l Layout) Launches(dir string) []Launch {
	file := func(name string) string { return filepath.Join(dir, name+".json") }
	out := []Launch{
		{"platform", "standin", []string{"platform", "--address", l.PlatformAddress(), "--vms", file("vms")}},
		{"engines", "standin", []string{"engines", "--settings", file("engines")}},
	}
	if l.Service != "" {
		for z, zone := range l.Zones {
			out = append(out, Launch{"service-" + zone, "standin", []string{"service", "--address", l.ServiceAddress(z)}})
		}
	}
	for i := range l.Pairs() {
		out = append(out, Launch{l.ControllerID(i), "controller", []string{"--settings", file(l.ControllerID(i))}})
	}
	for i := range l.Pairs() {
		out = append(out, Launch{l.RouterID(i), "router", []string{"--settings", file(l.RouterID(i))}})
	}
	return out
}
