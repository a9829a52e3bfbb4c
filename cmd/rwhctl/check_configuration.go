package main

import (
	"fmt"
	"os"

	"redwinghall"
	"redwinghall/configcheck"
	"redwinghall/fleet"
	"redwinghall/platform"
)

const checkConfigurationHelp = `Checks a configuration for the users' platform before it is sent: errors, entries that can
never take effect, limits that contradict each other and, with --in-force, what differs
from the version in force. Nothing is sent. API keys are counted, never printed.

Exit codes: 0 no errors (there may be warnings), 1 errors found or a file can't be read,
2 wrong usage.

Examples:
  rwhctl check-configuration next.json
  rwhctl check-configuration --in-force current.json --json next.json`

type checkConfigurationCommand struct {
	app     *app
	InForce string `long:"in-force" description:"file with the configuration in force, to compare with" value-name:"FILE"`
	JSON    bool   `long:"json" description:"print the result as JSON"`
	Args    struct {
		File string `positional-arg-name:"FILE"`
	} `positional-args:"yes" required:"yes"`
}

// configurationResult is the result of check-configuration.
type configurationResult struct {
	Valid    bool                 `json:"valid"`
	Version  int64                `json:"version,omitempty"`
	Findings configcheck.Findings `json:"findings"`
	// Changes is absent unless there is a configuration in force to compare with.
	Changes []configcheck.Change `json:"changes,omitempty"`
}

// Execute implements flags.Commander.
func (c *checkConfigurationCommand) Execute([]string) error {
	next, findings, err := readConfiguration(c.Args.File)
	if err != nil {
		return err
	}
	result := configurationResult{Findings: findings}
	if next != nil {
		result.Version = next.Version
		result.Findings = append(result.Findings, configcheck.Check(next)...)
		if c.InForce != "" {
			if err := c.compare(&result, next); err != nil {
				return err
			}
		}
	}
	result.Valid = !result.Findings.HasErrors()
	return c.print(result)
}

// compare adds what differs from the configuration in force. Faults of that one aren't
// findings: it is in force anyway.
func (c *checkConfigurationCommand) compare(result *configurationResult, next *fleet.Configuration) error {
	data, err := os.ReadFile(c.InForce)
	if err != nil {
		return err
	}
	inForce, err := platform.DecodeConfiguration(data)
	if err != nil {
		return fmt.Errorf("%s: %w", c.InForce, err)
	}
	result.Findings = append(result.Findings, configcheck.CheckReplacement(inForce, next)...)
	result.Changes = configcheck.Diff(inForce, next)
	return nil
}

// readConfiguration reads a file. The configuration is nil if its text has faults of form.
func readConfiguration(path string) (*fleet.Configuration, configcheck.Findings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, err
	}
	config, faults, unknown := platform.ParseConfiguration(data)
	findings := configcheck.Findings{}
	findings = append(findings, findingsOf(configcheck.Error, faults)...)
	return config, append(findings, findingsOf(configcheck.Warning, unknown)...), nil
}

func findingsOf(severity configcheck.Severity, faults redwinghall.Faults) configcheck.Findings {
	var findings configcheck.Findings
	for _, fault := range faults {
		findings = append(findings, configcheck.Finding{Severity: severity, Subject: fault.Path, Message: fault.Message})
	}
	return findings
}

func (c *checkConfigurationCommand) print(result configurationResult) error {
	if c.JSON {
		if err := c.app.result(result); err != nil {
			return err
		}
	} else {
		c.printText(result)
	}
	if !result.Valid {
		return errRefused
	}
	return nil
}

func (c *checkConfigurationCommand) printText(result configurationResult) {
	for _, finding := range result.Findings {
		_, _ = fmt.Fprintln(c.app.out, finding)
	}
	for _, change := range result.Changes {
		_, _ = fmt.Fprintln(c.app.out, change)
	}
	switch {
	case !result.Valid:
		_, _ = fmt.Fprintln(c.app.out, "The configuration has errors.")
	case c.InForce != "" && len(result.Changes) == 0:
		_, _ = fmt.Fprintf(c.app.out, "Version %d has no errors and changes nothing.\n", result.Version)
	default:
		_, _ = fmt.Fprintf(c.app.out, "Version %d has no errors.\n", result.Version)
	}
}
