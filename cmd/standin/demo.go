package main

import (
	"errors"
	"fmt"
	"os"
	"text/tabwriter"
	"time"
)

const demoHelp = `Starts stand-ins, 6 routers and 6 controllers in 3 availability zones as separate processes
on loopback, runs a scenario against them, prints the result of each step, and stops everything.

Example:
  standin demo --bin bin --example examples/pohjatee`

type demoCommand struct {
	app     *app
	Bin     string `long:"bin" required:"yes" description:"folder with the programs" value-name:"DIR"`
	Example string `long:"example" required:"yes" description:"folder with a deployment's settings" value-name:"DIR"`
	Logs    string `long:"logs" description:"folder for the processes' logs (default: a new one)" value-name:"DIR"`
}

// step is a step of the scenario and one line of the demo's output. Its run
// returns a summary.
type step struct {
	name string
	run  func(*scenario) (string, error)
}

// Execute implements flags.Commander.
func (c *demoCommand) Execute([]string) error {
	logs := c.Logs
	if logs == "" {
		dir, err := os.MkdirTemp("", "redwinghall-demo-")
		if err != nil {
			return err
		}
		logs = dir
	}
	if err := os.MkdirAll(logs, 0o755); err != nil {
		return err
	}
	s, err := newScenario(c.app.ctx, c.Bin, c.Example, logs)
	if err != nil {
		return err
	}
	defer s.processes.StopAll()
	_, _ = fmt.Fprintf(c.app.out, "\n%s: logs in %s\n", s.layout.Name, logs)
	return c.runSteps(s)
}

func (c *demoCommand) runSteps(s *scenario) error {
	table := tabwriter.NewWriter(c.app.out, 0, 0, 2, ' ', 0)
	defer func() { _ = table.Flush() }()
	for _, one := range steps() {
		started := time.Now()
		what, err := one.run(s)
		if err == nil && c.app.ctx.Err() != nil {
			err = errors.New("interrupted")
		}
		check := "ok"
		if err != nil {
			check, what = "FAILED", err.Error()
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", check, one.name, time.Since(started).Round(10*time.Millisecond), what)
		if err != nil {
			return fmt.Errorf("step %q failed", one.name)
		}
	}
	return nil
}
