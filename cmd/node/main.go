// Command node serves callers on an entry VM of the users' platform, and forms the
// groups of its availability zone while it holds the zone's lease. It is the only
// process of this project on that VM.
package main

import (
	"context"
	"os"

	"redwinghall/daemon"
	"redwinghall/node"
	"redwinghall/platform"
)

const help = `Serves callers on one entry VM of the users' platform, and forms the groups of
its availability zone while it holds the zone's lease. The platform provides the
settings file; set its path with --settings or in the environment variable
` + platform.SettingsVariable + `.

Examples:
  node
  node --settings node.conf --check

Exit codes: 0 stopped after a signal, 1 failed, 2 wrong usage or settings.`

func main() {
	options := daemon.Program{Name: "node", Help: help, DefaultSettings: os.Getenv(platform.SettingsVariable), OwnLog: true}
	os.Exit(options.Main(os.Args[1:], os.Stdout, os.Stderr, start))
}

func start(path string, check bool) (func(context.Context) error, error) {
	settings, err := platform.LoadSettings(path)
	if err != nil || check {
		return nil, err
	}
	return node.New(path, settings).RunLogged(os.Stdout), nil
}
