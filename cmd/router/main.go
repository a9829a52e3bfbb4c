// Command router accepts callers' requests and routes them to endpoints.
package main

import (
	"context"
	"os"

	"redwinghall/daemon"
)

const help = `Accepts callers' requests on one entry VM, routes them to the endpoints of its
availability zone, and returns the outcome of each.

Examples:
  router --settings router.json
  router --settings router.json --check

Exit codes: 0 stopped after a signal, 1 failed, 2 wrong usage or settings.`

func main() {
	os.Exit(daemon.Main("router", help, os.Args[1:], os.Stdout, os.Stderr, start))
}

func start(path string, check bool) (func(context.Context) error, error) {
	settings, err := daemon.LoadRouter(path)
	if err != nil || check {
		return nil, err
	}
	router, err := daemon.NewRouter(settings)
	if err != nil {
		return nil, err
	}
	return router.Run, nil
}
