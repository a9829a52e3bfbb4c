package main

import (
	"os"

	"redwinghall"
	"redwinghall/operator"
)

const checkHelp = `Checks a manifest completely and prints its hash. Nothing is sent.

Example:
  rwhctl check manifest.json`

type checkCommand struct {
	app  *app
	Args struct {
		File string `positional-arg-name:"FILE"`
	} `positional-args:"yes" required:"yes"`
}

// checkResult is the output of check for a valid manifest.
type checkResult struct {
	Valid bool   `json:"valid"`
	Hash  string `json:"hash"`
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	data, err := os.ReadFile(c.Args.File)
	if err != nil {
		return err
	}
	manifest, faults := redwinghall.ParseManifest(data)
	if len(faults) > 0 {
		info, _ := redwinghall.CodeManifestInvalid.Info()
		return c.app.fail(&operator.RefusedError{Refusal: operator.Refusal{
			Code: info.Code, Message: info.Message, NextStep: info.NextStep, Faults: faults,
		}})
	}
	_, hash, err := manifest.Canonical()
	if err != nil {
		return err
	}
	return c.app.result(checkResult{Valid: true, Hash: hash})
}
