package daemon

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/jessevdk/go-flags"
	"k8s.io/klog/v2"

	"redwinghall"
	"redwinghall/kernel"
)

// Exit codes of all programs.
const (
	ExitOK      = 0
	ExitFailure = 1
	ExitUsage   = 2
)

// Version is the version of all programs.
const Version = "0.1.0"

// Options holds the command-line options of a daemon.
type Options struct {
	Settings string `short:"s" long:"settings" description:"the settings file (JSON)" value-name:"FILE"`
	Check    bool   `long:"check" description:"check the settings and stop"`
	Version  bool   `long:"version" description:"print the version and stop"`
	Verbose  int    `short:"v" long:"verbose" description:"log level: 0 events, 1 refusals, 2 each request" default:"0"`
}

// Program describes the command line of a daemon.
type Program struct {
	Name string
	Help string
	// DefaultSettings is the settings file used if the command line has none.
	DefaultSettings string
	// OwnLog is set if the daemon sets its log up itself. Otherwise its log goes to standard error.
	OwnLog bool
}

// Start loads the settings at path. Unless check is set, it returns a function that
// runs the daemon until its context is done.
type Start func(path string, check bool) (func(context.Context) error, error)

// Main runs a daemon without a default settings file.
func Main(name, help string, args []string, out, errOut io.Writer, start Start) int {
	return Program{Name: name, Help: help}.Main(args, out, errOut, start)
}

// Main parses the command line, loads the settings and runs the daemon until SIGTERM or
// SIGINT. It returns the exit code.
func (p Program) Main(args []string, out, errOut io.Writer, start Start) int {
	ctx := handleSignals()
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
	setMemoryLimits()
	if !p.OwnLog {
		start = withLog(errOut, options.Verbose, start)
	}
	return run(ctx, name, options, out, errOut, start)
}

// A daemon's live heap is small, so with the default settings the garbage collector
// would run very often. These settings let it run less often and use more memory, up
// to a limit below the memory that a node may use for control.
const (
	gcPercent   = 400
	memoryLimit = 192 << 20
)

func setMemoryLimits() {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(memoryLimit)
}

// withLog returns a start whose daemon writes its log to out. The daemon never waits for the reader of its log
// while it runs.
func withLog(out io.Writer, verbose int, start Start) Start {
	return func(path string, check bool) (func(context.Context) error, error) {
		serve, err := start(path, check)
		if err != nil || check {
			return nil, err
		}
		return func(ctx context.Context) error { return serveWithLog(ctx, out, verbose, serve) }, nil
	}
}

func serveWithLog(ctx context.Context, out io.Writer, verbose int, serve func(context.Context) error) error {
	logs := kernel.NewGroup(context.Background())
	sink := kernel.NewLogSink(out)
	sink.Start(logs)
	kernel.UseLogSink(sink, verbose)
	err := serve(ctx)
	klog.Flush()
	logs.Stop()
	_, logErr := logs.WaitWithin(logDrainTime)
	return errors.Join(err, logErr)
}

func run(ctx context.Context, name string, options Options, out, errOut io.Writer, start Start) int {
	reportCrashes(out)
	serve, err := loadSettings(ctx, options, start)
	if ctx.Err() != nil {
		return ExitOK // nothing runs yet
	}
	if err != nil {
		WriteFaults(errOut, name, options.Settings, err)
		return ExitUsage
	}
	if options.Check {
		_, _ = fmt.Fprintln(out, name+": the settings are valid")
		return ExitOK
	}
	if err := serve(ctx); err != nil {
		_, _ = fmt.Fprintf(errOut, "%s: %v\n", name, err)
		return ExitFailure
	}
	klog.Flush()
	return ExitOK
}

// logDrainTime is how long the last log lines wait for their reader.
const logDrainTime = time.Second

// startTime is how long a settings file may lack or be invalid at the start. Somebody may be replacing it,
// at all VMs at the same moment.
const (
	startTime     = 2 * time.Second
	startInterval = 50 * time.Millisecond
)

// loadSettings loads the settings, and tries again for some time if that fails. A check is not repeated.
func loadSettings(ctx context.Context, options Options, start Start) (func(context.Context) error, error) {
	for begun := time.Now(); ; {
		serve, err := start(options.Settings, options.Check)
		if err == nil || options.Check || time.Since(begun) >= startTime || !kernel.Sleep(ctx, startInterval) {
			return serve, err
		}
	}
}

// WriteFaults prints all validation errors of a file, one on each line.
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

// SetupLogs configures klog, which otherwise reads its configuration from the flag
// package.
func SetupLogs(verbose int) {
	set := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(set)
	_ = set.Set("logtostderr", "true") // both flags exist in this version of klog
	_ = set.Set("v", strconv.Itoa(verbose))
}
