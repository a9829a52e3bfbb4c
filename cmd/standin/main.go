// Command standin runs small stand-ins for what surrounds redwinghall, a load
// generator that checks every answer, and the demo. No program that serves
// uses it.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"redwinghall/daemon"
)

const help = `Runs stand-ins for the platform, the model engines, plain services and a network link,
and a load generator that checks every answer.

Examples:
  standin platform --address 127.0.0.1:21000 --vms examples/pohjatee/vms.json
  standin engines --settings examples/pohjatee/engines.json
  standin service --address 127.0.0.1:21010
  standin load --router 127.0.0.1:21100 --key demo-key-drivers --model chain-advice
  standin demo --bin bin --example examples/pohjatee

Exit codes: 0 done, 1 failed, 2 wrong usage.`

// app is what subcommands work with.
type app struct {
	ctx context.Context
	out io.Writer
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	daemon.SetupLogs(0)
	a := &app{ctx: ctx, out: os.Stdout}
	parser := flags.NewNamedParser("standin", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = help
	if err := addCommands(parser, a); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		return daemon.ExitUsage
	}
	_, err := parser.ParseArgs(args)
	var flagErr *flags.Error
	switch {
	case err == nil:
		return daemon.ExitOK
	case errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp:
		_, _ = fmt.Fprintln(os.Stdout, flagErr.Message)
		return daemon.ExitOK
	case errors.As(err, &flagErr):
		_, _ = fmt.Fprintf(os.Stderr, "standin: %s\n", flagErr.Message)
		return daemon.ExitUsage
	default:
		_, _ = fmt.Fprintln(os.Stderr, "standin:", err)
		return daemon.ExitFailure
	}
}

func addCommands(parser *flags.Parser, a *app) error {
	add := func(name, short, long string, command any) error {
		_, err := parser.AddCommand(name, short, long, command)
		return err
	}
	return errors.Join(
		add("platform", "run the platform's table and list of VMs", platformHelp, &platformCommand{app: a}),
		add("engines", "run model engines", enginesHelp, &enginesCommand{app: a}),
		add("service", "run a plain service", serviceHelp, &serviceCommand{app: a}),
		add("link", "run a network link", linkHelp, &linkCommand{app: a}),
		add("load", "send requests and check the answers", loadHelp, &loadCommand{app: a}),
		add("examples", "write the example settings", examplesHelp, &examplesCommand{app: a}),
		add("demo", "run a whole deployment and its story", demoHelp, &demoCommand{app: a}),
	)
}
