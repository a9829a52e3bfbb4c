// Command rwhctl lets build pipelines and operators submit manifests, take
// availability zones out of service or back into service, and read the state of
// the deployment.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/jessevdk/go-flags"

	"redwinghall/daemon"
)

const help = `Submits manifests, takes availability zones out of service or back into service,
reads the state of the deployment, and explains codes.
Results are JSON on standard output. Refusals are JSON on standard error.

Examples:
  rwhctl check manifest.json
  rwhctl check-configuration --in-force current.json next.json
  rwhctl submit --replaces 7 manifest.json
  rwhctl status
  rwhctl zone out tartu
  rwhctl explain manifest_race

Exit codes: 0 done, 1 refused or failed, 2 wrong usage.`

// options are the global options. Controller and TokenFile apply to the subcommands
// that send requests to a controller.
type options struct {
	Controller string `long:"controller" env:"RWH_CONTROLLER" description:"IP:PORT of a controller's operator listener" value-name:"ADDRESS"`
	TokenFile  string `long:"token-file" description:"file that holds the operator token (default: the token in the environment variable RWH_OPERATOR_TOKEN)" value-name:"FILE"`
	Version    func() `long:"version" description:"print the version and stop"`
}

// app holds the options and output streams that all subcommands share.
type app struct {
	options *options
	out     io.Writer
	err     io.Writer
}

// errRefused is returned by a subcommand that has already printed its refusal.
var errRefused = errors.New("refused")

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

func run(args []string, out, errOut io.Writer) int {
	opts := &options{Version: func() {
		_, _ = fmt.Fprintln(out, "rwhctl", daemon.Version)
		os.Exit(daemon.ExitOK)
	}}
	a := &app{options: opts, out: out, err: errOut}
	parser := flags.NewNamedParser("rwhctl", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = help
	if _, err := parser.AddGroup("options", "", opts); err != nil {
		_, _ = fmt.Fprintln(errOut, err)
		return daemon.ExitUsage
	}
	if err := addCommands(parser, a); err != nil {
		_, _ = fmt.Fprintln(errOut, err)
		return daemon.ExitUsage
	}
	_, err := parser.ParseArgs(args)
	var flagErr *flags.Error
	switch {
	case err == nil:
		return daemon.ExitOK
	case errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp:
		_, _ = fmt.Fprintln(out, flagErr.Message)
		return daemon.ExitOK
	case errors.As(err, &flagErr):
		_, _ = fmt.Fprintf(errOut, "rwhctl: %s\nRun 'rwhctl --help' for help.\n", flagErr.Message)
		return daemon.ExitUsage
	case errors.Is(err, errRefused):
		return daemon.ExitFailure
	default:
		_, _ = fmt.Fprintln(errOut, "rwhctl:", err)
		return daemon.ExitFailure
	}
}

func addCommands(parser *flags.Parser, a *app) error {
	add := func(name, short, long string, command any) error {
		_, err := parser.AddCommand(name, short, long, command)
		return err
	}
	return errors.Join(
		add("check", "check a manifest without a controller", checkHelp, &checkCommand{app: a}),
		add("check-configuration", "check a configuration for the users' platform before it is sent", checkConfigurationHelp, &checkConfigurationCommand{app: a}),
		add("submit", "submit a manifest", submitHelp, &submitCommand{app: a}),
		add("status", "print the state of the deployment", statusHelp, &statusCommand{app: a}),
		add("zone", "take an availability zone out of service or back into service", zoneHelp, &zoneCommand{app: a}),
		add("explain", "explain a code", explainHelp, &explainCommand{app: a}),
	)
}
