package main

import "context"

const statusHelp = `Prints the state that one controller reports: the generation in force, the availability
zones, the groups of its zone, and, if it cannot reach the platform, since when.

Example:
  rwhctl status --controller 127.0.0.1:8101`

type statusCommand struct {
	app *app
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	client, err := c.app.client()
	if err != nil {
		return err
	}
	status, err := client.Status(context.Background())
	if err != nil {
		return c.app.fail(err)
	}
	return c.app.result(status)
}
