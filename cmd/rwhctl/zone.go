package main

import (
	"context"

	"redwinghall"
)

const zoneHelp = `Takes an availability zone out of service, or back into service. Requests in progress
finish. Without --replaces the command reads the zone's current decision first; it is
refused if another operator decides on the zone in between.

Examples:
  rwhctl zone out tartu
  rwhctl zone in tartu`

type zoneCommand struct {
	app      *app
	SubmitID string  `long:"submit-id" description:"ID of this decision; retries with the same ID take effect at most once (default: a random one)" value-name:"ID"`
	Replaces *uint64 `long:"replaces" description:"number of the zone's decision that this one replaces (default: the current one)" value-name:"N"`
	Args     struct {
		State string `positional-arg-name:"out|in"`
		Zone  string `positional-arg-name:"ZONE"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *zoneCommand) Execute([]string) error {
	client, err := c.app.client()
	if err != nil {
		return err
	}
	ctx := context.Background()
	replaces := c.Replaces
	if replaces == nil {
		status, err := client.Status(ctx)
		if err != nil {
			return c.app.fail(err)
		}
		replaces = new(uint64)
		for _, z := range status.Zones {
			if z.ID == c.Args.Zone {
				*replaces = z.Number
			}
		}
	}
	state := redwinghall.ZoneState(c.Args.State)
	accepted, err := client.SetZone(ctx, c.app.submission(c.SubmitID, *replaces), c.Args.Zone, state)
	if err != nil {
		return c.app.fail(err)
	}
	return c.app.result(accepted)
}
