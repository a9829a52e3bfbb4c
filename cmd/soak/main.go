// Command soak runs real nodes under random faults or planned stops and checks the
// responses that callers receive.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/jessevdk/go-flags"

	"redwinghall/soak"
)

const help = `Starts nodes as separate processes against stand-ins of the platform, injects
random faults from outside the processes, and checks the responses to callers and
the requests at endpoints. The directory of a failed run, with its logs, is kept.

Plans:
  faults  random faults of nodes, links, endpoints and the store
  stops   no faults: operators stop nodes one after another, each before the
          previous stop has ended, and start each again; streams last for seconds.
          No request may be cut off, and nine of ten must be served by the first
          attempt or one retry.
  partitions
          nodes lose their connections to all endpoints for seconds, in series that
          overlap, beside some other faults; callers stay with their nodes. Nodes that
          are in touch with the rest must serve first tries two thirds as often as the
          others.
  pauses  one node, half of them, all, or one after another stand still for 0.3 to 15 s;
          in some of the pauses an endpoint ends. Nodes that run again must serve nine
          of ten requests of the next seconds; no request goes to a second endpoint and
          no group is closed for a pause alone.
  halves  endpoints whose answers end with their connections are cut off in one
          direction, crash and start again, beside nodes that stand still. No part of an
          answer may look complete.
  versions
          the configuration changes every 20 to 300 ms, at first alone, then beside SIGHUPs
          to all nodes (also as they start and stop), replaced settings files, planned
          stops of some or all nodes, and output that nobody reads (its pipe is closed, or
          its reader stands still); then all nodes are
          killed within 0.4 s of a version, and start again. Everything happens twice.
          No process may end that the run didn't end; a response may be cut off only by a
          kill of its process; after a kill of all the first answer must come within 3 s
          of the last start, and nine of ten first tries be served within 12 s.
  ends    right after a version of the configuration, all nodes or all but a few end in series:
          killed, silent first as without power, or killed soon after a standstill; or all stand
          still and go on, or all endpoints, the store or both fall silent for a second. Each end has its own time: a
          node that hasn't reached it may cut off no response, and those that live on may
          neither refuse more than one in ten first tries nor send a stream to a second endpoint.
  silences
          endpoints fall silent for 1.2 to 1.9 s and go on, half of the times while all others
          reject requests, beside versions and planned stops. A response may be cut off by
          nothing but its caller's timeout.
  removals
          a zone's nodes are cut off from the store for 2.5 to 6.5 s, and 0.3 to 2 s later
          the entry of an endpoint is removed that serves on for a while. No request may reach it
          2 s after that, and 3 s after the end of the cut.

In each plan a process that ends though nobody ended it is a violation.

Examples:
  soak --bin bin --seed 1 --seeds 50 --length 30s
  soak --bin bin --plan stops --nodes 12 --length 60s

Exit codes: 0 no violation, 1 violations or a failed run, 2 wrong usage.`

// Exit codes.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

const maxNodes = 100

type options struct {
	Bin    string        `long:"bin" description:"folder with the node program" default:"bin"`
	Seed   uint64        `long:"seed" description:"first seed" default:"1"`
	Seeds  int           `long:"seeds" description:"number of seeds, one run each" default:"1"`
	Length time.Duration `long:"length" description:"how long faults or stops are started" default:"20s"`
	Plan   string        `long:"plan" description:"plan of each run" choice:"faults" choice:"stops" choice:"partitions" choice:"pauses" choice:"versions" choice:"ends" choice:"silences" choice:"removals" choice:"halves" default:"faults"`
	Nodes  int           `long:"nodes" description:"number of nodes" default:"4"`
	Calls  int           `long:"sessions" description:"number of callers in the plans versions and ends (default: 48 or one a node)"`
	Dir    string        `long:"dir" description:"folder for logs and settings (default: a new one)"`
}

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

func run(args []string, out, errOut io.Writer) int {
	var o options
	parser := flags.NewNamedParser("soak", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = help
	if _, err := parser.AddGroup("options", "", &o); err != nil {
		_, _ = fmt.Fprintln(errOut, err)
		return exitUsage
	}
	_, err := parser.ParseArgs(args)
	var flagErr *flags.Error
	if errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp {
		_, _ = fmt.Fprintln(out, flagErr.Message)
		return exitOK
	}
	if err != nil || o.Nodes < 1 || o.Nodes > maxNodes || o.Seeds < 1 || o.Calls < 0 || o.Length <= 0 {
		_, _ = fmt.Fprintf(errOut, "soak: %v; want 1 to %d nodes, at least one seed, and a length above 0\n", err, maxNodes)
		return exitUsage
	}
	code := exitOK
	for i := range o.Seeds {
		if !runSeed(o, o.Seed+uint64(i), out, errOut) { //nolint:gosec // few seeds
			code = exitFailure
		}
	}
	return code
}

// runSeed runs the plan with one seed and prints a summary line and, if there were
// violations, each of them, the faults, and the directory of the logs.
func runSeed(o options, seed uint64, out, errOut io.Writer) bool {
	dir, err := runDir(o.Dir, seed)
	if err != nil {
		_, _ = fmt.Fprintln(errOut, err)
		return false
	}
	report, err := soak.Run(context.Background(), soak.Config{
		Seed: seed, Bin: o.Bin, Dir: dir, Plan: soak.Plan(o.Plan), Length: o.Length, Nodes: o.Nodes, Sessions: o.Calls, Host: hostPrefix(seed),
	})
	if err != nil {
		_, _ = fmt.Fprintf(errOut, "seed %d: %v\n", seed, err)
		printDetails(out, report, dir)
		return false
	}
	_, _ = fmt.Fprintf(out, "seed %d: %d requests, %d served, %d attempts refused, %d without an answer, %d faults, %d wrong\n",
		seed, report.Requests, report.Served, report.Refused, report.Unanswered, len(report.Faults), len(report.Violations))
	if len(report.Violations) == 0 {
		printNotes(out, report)
		return os.RemoveAll(dir) == nil
	}
	printDetails(out, report, dir)
	return false
}

func printNotes(out io.Writer, report soak.Report) {
	for _, n := range report.Notes {
		_, _ = fmt.Fprintln(out, "  note:", n)
	}
}

// printDetails prints the violations, the faults, and the directory of the logs.
func printDetails(out io.Writer, report soak.Report, dir string) {
	printNotes(out, report)
	for _, m := range report.Violations {
		_, _ = fmt.Fprintln(out, "  wrong:", m)
	}
	for _, f := range report.Faults {
		_, _ = fmt.Fprintln(out, "  fault:", f)
	}
	_, _ = fmt.Fprintln(out, "  logs:", dir)
}

func runDir(base string, seed uint64) (string, error) {
	if base == "" {
		return os.MkdirTemp("", fmt.Sprintf("soak-%d-", seed))
	}
	dir := filepath.Join(base, fmt.Sprint(seed))
	return dir, os.MkdirAll(dir, 0o750)
}

// hostPrefix returns the prefix of a run's loopback addresses. It depends on the process ID
// and the seed, so that concurrent runs rarely use the same addresses.
func hostPrefix(seed uint64) string {
	return fmt.Sprintf("127.%d.%d.", 10+os.Getpid()%100, seed%250)
}
