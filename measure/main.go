// Command measure runs the measurements of docs/CAPACITY.md and
// docs/MEASUREMENTS.md on one machine, with stand-ins for the surrounding
// systems. It fits a line to each series and writes JSON and plots. For some
// mechanisms it also measures a simpler baseline in the same run, for comparison.
package main

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/jessevdk/go-flags"
	"k8s.io/klog/v2"

	"redwinghall/daemon"
)

const help = `Runs the measurements of docs/CAPACITY.md and writes the results as JSON and plots.

Examples:
  measure --bin bin --out docs/measurements
  measure --bin bin --out docs/measurements --only place`

type options struct {
	Bin  string   `long:"bin" required:"yes" description:"folder with the programs" value-name:"DIR"`
	Out  string   `long:"out" required:"yes" description:"folder for the results" value-name:"DIR"`
	Only []string `long:"only" description:"measure only this; may be repeated" value-name:"NAME"`
}

// measurement is a named measurement that returns one or more series.
type measurement struct {
	name string
	run  func(o options) ([]Series, error)
}

func measurements() []measurement {
	return []measurement{
		{"exchange", measureExchange},
		{"change", measureChange},
		{"poll", measurePoll},
		{"snapshot", measureSnapshot},
		{"route", measureRoute},
		{"claims", measureClaims},
		{"takeover", measureTakeover},
		{"place", measurePlace},
		{"request", measureRequest},
		{"downtime", measureDowntime},
		{"zone", measureZone},
		{"nodes", measureNodes},
	}
}

func main() { os.Exit(run()) }

func run() int {
	var o options
	parser := flags.NewNamedParser("measure", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = help
	if _, err := parser.AddGroup("options", "", &o); err != nil {
		return fail(err, daemon.ExitUsage)
	}
	if _, err := parser.Parse(); err != nil {
		var flagErr *flags.Error
		if errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp {
			_, _ = fmt.Fprintln(os.Stdout, flagErr.Message)
			return daemon.ExitOK
		}
		return fail(err, daemon.ExitUsage)
	}
	daemon.SetupLogs(0)
	klog.SetOutput(nullWriter{})
	for _, m := range measurements() {
		if len(o.Only) > 0 && !slices.Contains(o.Only, m.name) {
			continue
		}
		started := time.Now()
		series, err := m.run(o)
		if err != nil {
			return fail(fmt.Errorf("%s: %w", m.name, err), daemon.ExitFailure)
		}
		if err := write(o.Out, m.name, series); err != nil {
			return fail(err, daemon.ExitFailure)
		}
		_, _ = fmt.Fprintf(os.Stdout, "%s (%s)\n", m.name, time.Since(started).Round(time.Second))
		for _, s := range series {
			_, _ = fmt.Fprintln(os.Stdout, "  "+s.String())
		}
	}
	return daemon.ExitOK
}

func fail(err error, code int) int {
	_, _ = fmt.Fprintln(os.Stderr, "measure:", err)
	return code
}

// nullWriter discards the logs of the components that run in this process.
type nullWriter struct{}

func (nullWriter) Write(p []byte) (int, error) { return len(p), nil }
