package main

import (
	"redwinghall/kernel"
	"redwinghall/standin/service"
)

const serviceHelp = `Runs a plain service that counts the executions of calls by idempotency key.

Example:
  standin service --address 127.0.0.1:21010`

type serviceCommand struct {
	app     *app
	Address string `long:"address" required:"yes" description:"where to listen" value-name:"IP:PORT"`
}

// Execute implements flags.Commander.
func (c *serviceCommand) Execute([]string) error {
	g := kernel.NewGroup(c.app.ctx)
	if err := serve(g, c.Address, service.New().Handler()); err != nil {
		return err
	}
	return g.Wait()
}
