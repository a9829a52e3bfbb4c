package main

import (
	"path/filepath"
	"time"

	"redwinghall"
	"redwinghall/daemon"
	"redwinghall/standin/engine"
	"redwinghall/standin/layout"
)

const examplesHelp = `Writes the settings and manifests of the two example deployments.

Example:
  standin examples --out examples`

type examplesCommand struct {
	app *app
	Out string `long:"out" required:"yes" description:"folder to write to" value-name:"DIR"`
}

// Execute implements flags.Commander.
func (c *examplesCommand) Execute([]string) error {
	for _, l := range examples() {
		if err := l.Write(filepath.Join(c.Out, l.Name)); err != nil {
			return err
		}
	}
	return nil
}

// examples returns the layouts of the two deployments at their present size.
func examples() []layout.Layout {
	pohjatee := example("pohjatee", 21000, []string{"tallinn", "tartu", "parnu"})
	pohjatee.Model, pohjatee.Service, pohjatee.VMsPerGroup, pohjatee.Replicas = "chain-advice", "rental-desk", 4, 5
	pohjatee.Accounts = accounts([]string{"drivers", "hauliers", "road-crews"},
		[]string{"depot-tartu", "depot-tallinn", "depot-parnu", "fleet-valga", "fleet-narva"}, []string{"reports", "night-jobs"})

	blueMahoe := example("blue-mahoe", 22000, []string{"kingston", "portmore", "mandeville"})
	blueMahoe.Model, blueMahoe.Service, blueMahoe.VMsPerGroup, blueMahoe.Replicas = "cup-assistant", "returns-desk", 2, 10
	blueMahoe.Accounts = accounts([]string{"cafes", "hauliers", "depots"},
		[]string{"cafe-kingston", "cafe-portmore", "cafe-mandeville", "schools", "events"}, []string{"ledgers", "reports"})
	return []layout.Layout{pohjatee, blueMahoe}
}

func example(name string, base int, zones []string) layout.Layout {
	return layout.Layout{
		Name: name, Host: "127.0.0.1", Base: base, Zones: zones, PairsPerZone: 2,
		Domains: [][]int{{12, 10}, {12, 10}, {12, 9}},
		Engine: engine.Config{
			FirstToken: redwinghall.Duration(20 * time.Millisecond), TokenDelay: redwinghall.Duration(5 * time.Millisecond),
			LoadTime:     redwinghall.Duration(300 * time.Millisecond),
			ColdInFlight: 2, WarmAfter: 20, MaxInFlight: 32, ReportLag: redwinghall.Duration(200 * time.Millisecond),
		},
		ModelLimits:    redwinghall.Model{MaxInFlight: 32, ColdInFlight: 2, WarmAfter: 20},
		TuneRouter:     tuneRouter,
		TuneController: tuneController,
	}
}

func tuneCommon(c *daemon.Common) {
	c.ExchangeInterval = redwinghall.Duration(500 * time.Millisecond)
	c.AliveBound = redwinghall.Duration(2 * time.Second)
}

func tuneRouter(s *daemon.RouterSettings) {
	tuneCommon(&s.Common)
	s.DrainDelay = redwinghall.Duration(time.Second)
}

func tuneController(s *daemon.ControllerSettings) {
	tuneCommon(&s.Common)
	s.StepInterval = redwinghall.Duration(500 * time.Millisecond)
	s.LeaseDuration = redwinghall.Duration(5 * time.Second)
	s.LeaseMargin = redwinghall.Duration(1500 * time.Millisecond)
	s.LostAfter = redwinghall.Duration(3 * time.Second)
	s.SettleTime = redwinghall.Duration(3 * time.Second)
	s.MaxLoading = 20
}

// Weights of large and small client accounts. Batch accounts have weight 1.
const (
	largeWeight = 30
	smallWeight = 4
)

func accounts(large, small, batch []string) redwinghall.ClientAccounts {
	var out redwinghall.ClientAccounts
	for _, id := range large {
		out = append(out, layout.Account(id, largeWeight, redwinghall.ClassInteractive))
	}
	for _, id := range small {
		out = append(out, layout.Account(id, smallWeight, redwinghall.ClassInteractive))
	}
	for _, id := range batch {
		out = append(out, layout.Account(id, 1, redwinghall.ClassBatch))
	}
	return out
}
