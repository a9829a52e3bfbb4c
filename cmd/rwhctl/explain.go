package main

import (
	"fmt"

	"redwinghall"
)

const explainHelp = `Prints what a code means, its cause and the next step. Without a code it lists all.

Examples:
  rwhctl explain outcome_unknown
  rwhctl explain`

type explainCommand struct {
	app  *app
	Args struct {
		Code string `positional-arg-name:"CODE"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	if c.Args.Code == "" {
		for _, info := range redwinghall.Codes() {
			_, _ = fmt.Fprintf(c.app.out, "%-32s %s\n", info.Code, info.Message)
		}
		return nil
	}
	info, ok := redwinghall.Code(c.Args.Code).Info()
	if !ok {
		return fmt.Errorf("the code %q does not exist; 'rwhctl explain' lists all codes", c.Args.Code)
	}
	_, err := fmt.Fprint(c.app.out, redwinghall.Explain(info))
	return err
}
