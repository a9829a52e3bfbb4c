package main

import (
	"encoding/json"
	"os"

	"redwinghall/kernel"
	"redwinghall/standin/engine"
	"redwinghall/standin/layout"
)

const enginesHelp = `Runs a stand-in of a model engine for each VM in the settings, each at its own address.

Example:
  standin engines --settings engines.json`

type enginesCommand struct {
	app      *app
	Settings string `long:"settings" required:"yes" description:"the engines' settings (JSON)" value-name:"FILE"`
}

// Execute implements flags.Commander.
func (c *enginesCommand) Execute([]string) error {
	data, err := os.ReadFile(c.Settings)
	if err != nil {
		return err
	}
	var settings layout.EngineSettings
	if err := json.Unmarshal(data, &settings); err != nil {
		return err
	}
	g := kernel.NewGroup(c.app.ctx)
	fleet := engine.NewFleet(settings.Engine)
	for _, vm := range settings.VMs {
		if _, err := fleet.Start(g, vm.ID, vm.Address); err != nil {
			g.Stop()
			return err
		}
	}
	if err := serve(g, settings.ControlAddress, fleet.Control()); err != nil {
		g.Stop()
		return err
	}
	return g.Wait()
}
