// Command soak runs real nodes under random faults and checks what callers see.
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

const help = `Starts nodes as separate processes before stand-ins of the platform, injects
random faults from outside, and checks what callers and endpoints see. Logs of
a run that fails stay in its folder.

Plans:
  faults  random faults of nodes, links, endpoints and the store
  stops   no fault at all: operators stop nodes one after another, sooner than
          a stop ends, and start each again; streams last for seconds. No
          request may be cut off, and nine of ten must be served in the end.

Examples:
  soak --bin bin --seed 1 --seeds 50 --length 30s
  soak --bin bin --plan stops --nodes 12 --length 60s

Exit codes: 0 nothing was wrong, 1 something was, 2 wrong usage.`

// Exit codes.
const (
	exitDone  = 0
	exitWrong = 1
	exitUsage = 2
)

type options struct {
	Bin    string        `long:"bin" description:"folder with the node's program" default:"bin"`
	Seed   uint64        `long:"seed" description:"first seed" default:"1"`
	Seeds  int           `long:"seeds" description:"how many seeds to play" default:"1"`
	Length time.Duration `long:"length" description:"how long faults or stops come" default:"20s"`
	Plan   string        `long:"plan" description:"what happens in a run" choice:"faults" choice:"stops" default:"faults"`
	Nodes  int           `long:"nodes" description:"how many nodes run" default:"4"`
	Dir    string        `long:"dir" description:"where logs and settings go; a new one if empty"`
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
		return exitDone
	}
	if err != nil || o.Nodes < 1 || o.Nodes > 50 || o.Seeds < 1 || o.Length <= 0 {
		_, _ = fmt.Fprintf(errOut, "soak: %v; want 1 to 50 nodes, a seed or more, and a length above 0\n", err)
		return exitUsage
	}
	code := exitDone
	for i := range o.Seeds {
		if !playSeed(o, o.Seed+uint64(i), out, errOut) { //nolint:gosec // few seeds
			code = exitWrong
		}
	}
	return code
}

// playSeed plays one seed and prints a line on it, and all that was wrong.
func playSeed(o options, seed uint64, out, errOut io.Writer) bool {
	dir, err := runFolder(o.Dir, seed)
	if err != nil {
		_, _ = fmt.Fprintln(errOut, err)
		return false
	}
	report, err := soak.Run(context.Background(), soak.Config{
		Seed: seed, Bin: o.Bin, Dir: dir, Plan: soak.Plan(o.Plan), Length: o.Length, Nodes: o.Nodes, Host: hostOf(seed),
	})
	if err != nil {
		_, _ = fmt.Fprintf(errOut, "seed %d: %v\n", seed, err)
		return false
	}
	_, _ = fmt.Fprintf(out, "seed %d: %d requests, %d served, %d attempts refused, %d without an answer, %d faults, %d wrong\n",
		seed, report.Requests, report.Served, report.Refused, report.Unanswered, len(report.Faults), len(report.Violations))
	if len(report.Violations) == 0 {
		return os.RemoveAll(dir) == nil
	}
	for _, m := range report.Violations {
		_, _ = fmt.Fprintln(out, "  wrong:", m)
	}
	for _, f := range report.Faults {
		_, _ = fmt.Fprintln(out, "  fault:", f)
	}
	_, _ = fmt.Fprintln(out, "  logs:", dir)
	return false
}

func runFolder(base string, seed uint64) (string, error) {
	if base == "" {
		return os.MkdirTemp("", fmt.Sprintf("soak-%d-", seed))
	}
	dir := filepath.Join(base, fmt.Sprint(seed))
	return dir, os.MkdirAll(dir, 0o750)
}

// hostOf returns the start of the loopback addresses of a run: runs at the same
// time don't meet.
func hostOf(seed uint64) string {
	return fmt.Sprintf("127.%d.%d.", 10+os.Getpid()%100, seed%250)
}
