package main

import (
	"context"
	"os"
)

const submitHelp = `Submits a manifest. --replaces is the generation that it replaces, as shown by
'rwhctl status', or 0 for the first manifest. If another manifest was accepted in the
meantime, this one is refused.

Examples:
  rwhctl submit --replaces 0 manifest.json
  rwhctl submit --replaces 7 --submit-id build-1234 manifest.json`

type submitCommand struct {
	app      *app
	Replaces uint64 `long:"replaces" required:"yes" description:"generation that this manifest replaces" value-name:"N"`
	SubmitID string `long:"submit-id" description:"ID of this submission; retries with the same ID take effect at most once (default: a random one)" value-name:"ID"`
	Args     struct {
		File string `positional-arg-name:"FILE"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *submitCommand) Execute([]string) error {
	data, err := os.ReadFile(c.Args.File)
	if err != nil {
		return err
	}
	client, err := c.app.client()
	if err != nil {
		return err
	}
	accepted, err := client.SubmitManifest(context.Background(), c.app.submission(c.SubmitID, c.Replaces), data)
	if err != nil {
		return c.app.fail(err)
	}
	return c.app.result(accepted)
}
