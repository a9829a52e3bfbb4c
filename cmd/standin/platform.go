package main

import (
	"encoding/json"
	"os"

	"redwinghall"
	"redwinghall/kernel"
	"redwinghall/standin/table"
)

const platformHelp = `Runs the platform's transactional table and list of VMs in memory.

Example:
  standin platform --address 127.0.0.1:21000 --vms vms.json`

type platformCommand struct {
	app     *app
	Address string `long:"address" required:"yes" description:"where to listen" value-name:"IP:PORT"`
	VMs     string `long:"vms" required:"yes" description:"the list of VMs (JSON)" value-name:"FILE"`
}

// Execute implements flags.Commander.
func (c *platformCommand) Execute([]string) error {
	vms, err := readVMs(c.VMs)
	if err != nil {
		return err
	}
	t := table.New()
	t.SetVMs(vms)
	g := kernel.NewGroup(c.app.ctx)
	if err := serve(g, c.Address, t.Handler()); err != nil {
		return err
	}
	return g.Wait()
}

func readVMs(path string) (redwinghall.VMs, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var vms redwinghall.VMs
	err = json.Unmarshal(data, &vms)
	return vms, err
}
