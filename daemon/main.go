package daemon

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"

	"github.com/jessevdk/go-flags"
	"k8s.io/klog/v2"

	"redwinghall"
)

// Exit codes of every program.
const (
	ExitOK      = 0
	ExitFailure = 1
	ExitUsage   = 2
)

// Version is the version of all programs.
const Version = "0.1.0"

// Options are the command line of a daemon.
type Options struct {
	Settings string `short:"s" long:"settings" description:"the settings file (JSON)" value-name:"FILE"`
	Check    bool   `long:"check" description:"check the settings and stop"`
	Version  bool   `long:"version" description:"print the version and stop"`
	Verbose  int    `short:"v" long:"verbose" description:"log level: 0 events, 1 refusals, 2 each request" default:"0"`
}

// Program is a daemon's command line.
type Program struct {
	Name string
	Help string
	// DefaultSettings is the settings file where the command line names none.
	DefaultSettings string
}

// Start reads the settings at a path. Unless they are only checked, it returns
// what runs the daemon until its context ends.
type Start func(path string, check bool) (func(context.Context) error, error)

// Main runs a daemon without a default settings file.
func Main(name, help string, args []string, out, errOut io.Writer, start Start) int {
	return Program{Name: name, Help: help}.Main(args, out, errOut, start)
}

// Main runs a daemon: it reads the command line and the settings, and runs
// until SIGTERM or SIGINT. It returns the exit code.
func (p Program) Main(args []string, out, errOut io.Writer, start Start) int {
	name, help := p.Name, p.Help
	options := Options{Settings: p.DefaultSettings}
	parser := flags.NewNamedParser(name, flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = help
	if _, err := parser.AddGroup("options", "", &options); err != nil {
		_, _ = fmt.Fprintln(errOut, err)
		return ExitUsage
	}
	rest, err := parser.ParseArgs(args)
	var flagErr *flags.Error
	if errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp {
		_, _ = fmt.Fprintln(out, flagErr.Message)
		return ExitOK
	}
	if err == nil && len(rest) > 0 {
		err = fmt.Errorf("%q is not understood", rest[0])
	}
	if err == nil && options.Settings == "" && !options.Version {
		err = errors.New("--settings is missing")
	}
	if err != nil {
		_, _ = fmt.Fprintf(errOut, "%s: %v\nRun '%s --help' for help.\n", name, err, name)
		return ExitUsage
	}
	if options.Version {
		_, _ = fmt.Fprintln(out, name, Version)
		return ExitOK
	}
	SetupLogs(options.Verbose)
	tuneMemory()
	return run(name, options, out, errOut, start)
}

// A daemon's live heap is small, so by default the collector would run very
// often. It may use more memory instead, up to a limit below what a node may
// spend on control.
const (
	collectPercent = 400
	memoryLimit    = 192 << 20
)

func tuneMemory() {
	debug.SetGCPercent(collectPercent)
	debug.SetMemoryLimit(memoryLimit)
}

func run(name string, options Options, out, errOut io.Writer, start Start) int {
	serve, err := start(options.Settings, options.Check)
	if err != nil {
		WriteFaults(errOut, name, options.Settings, err)
		return ExitUsage
	}
	if options.Check {
		_, _ = fmt.Fprintln(out, name+": the settings are valid")
		return ExitOK
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := serve(ctx); err != nil {
		_, _ = fmt.Fprintf(errOut, "%s: %v\n", name, err)
		return ExitFailure
	}
	klog.Flush()
	return ExitOK
}

// WriteFaults prints everything wrong with a file, a line each.
func WriteFaults(w io.Writer, name, path string, err error) {
	var faults redwinghall.Faults
	if !errors.As(err, &faults) {
		_, _ = fmt.Fprintf(w, "%s: %s: %v\n", name, path, err)
		return
	}
	info, _ := redwinghall.CodeSettingsInvalid.Info()
	_, _ = fmt.Fprintf(w, "%s: %s: %s: %s\n", name, path, info.Code, info.Message)
	for _, f := range faults {
		_, _ = fmt.Fprintf(w, "  %s: %s\n", f.Path, f.Message)
	}
}

// SetupLogs sets klog's values, which it would otherwise read from the
// standard flags.
func SetupLogs(verbose int) {
	set := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(set)
	_ = set.Set("logtostderr", "true") // both names exist in this version of klog
	_ = set.Set("v", strconv.Itoa(verbose))
}
