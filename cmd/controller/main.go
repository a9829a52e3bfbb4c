// Command controller forms and maintains the groups of an availability zone and
// accepts operators' manifests and zone decisions.
package main

import (
	"context"
	"os"

	"redwinghall/daemon"
)

const help = `Accepts operators' manifests and decisions, and forms and maintains the groups
of its availability zone while it holds the zone's lease.

Examples:
  controller --settings controller.json
  controller --settings controller.json --check

Exit codes: 0 stopped after a signal, 1 failed, 2 wrong usage or settings.`

func main() {
	os.Exit(daemon.Main("controller", help, os.Args[1:], os.Stdout, os.Stderr, start))
}

func start(path string, check bool) (func(context.Context) error, error) {
	settings, err := daemon.LoadController(path)
	if err != nil || check {
		return nil, err
	}
	controller, err := daemon.NewController(settings)
	if err != nil {
		return nil, err
	}
	return controller.Run, nil
}
