package main_test

import (
	"bytes"
	"encoding/json"
	"os/exec"
	"testing"

	"github.com/stretchr/testify/require"
)

// checkConfiguration runs the command and returns its output and exit code.
func checkConfiguration(t *testing.T, args ...string) (string, int) {
	t.Helper()
	cmd := exec.Command(program, append([]string{"check-configuration"}, args...)...)
	var out bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &out
	if err := cmd.Run(); err != nil {
		require.IsType(t, &exec.ExitError{}, err)
	}
	return out.String(), cmd.ProcessState.ExitCode()
}

func TestCheckConfigurationText(t *testing.T) {
	tests := []struct {
		name string
		args []string
		exit int
		want []string
	}{
		{"sound", []string{"testdata/sound.json"}, 0, []string{"Version 12 has no errors."}},
		{"the same again", []string{"--in-force", "testdata/sound.json", "testdata/sound.json"}, 1, []string{"version 12 isn't above the version 12 in force"}},
		{"replacement", []string{"--in-force", "testdata/sound.json", "testdata/next.json"}, 0, []string{
			"changed: route advice: timeout: 6s -> 5s", "removed: service desk-next",
			"changed: client account depots: api keys: 1 -> 1 (1 added, 1 removed)", "Version 13 has no errors.",
		}},
		{"broken", []string{"--in-force", "testdata/sound.json", "testdata/broken.json"}, 1, []string{
			"warning: routes[0].latencygoal: this field is not known, and is ignored",
			"error: route booking: route advice has the same host and prefix",
			"error: route advice: its timeout (300ms) is below its latency objective (400ms)",
			`error: route booking: the service "desk-old" doesn't exist`,
			"warning: service desk-next: no route sends requests to it",
			"error: service models: an endpoint accepts 10 connections and processes 20 requests at a time",
			"error: client account drivers: its API key number 1 belongs to account depots too",
			"error: configuration: its version 11 isn't above the version 12 in force", "The configuration has errors.",
		}},
		{"malformed", []string{"testdata/malformed.json"}, 1, []string{"error: version: want a whole number, got text", "error: routes[0].max_attempts: want a whole number, got a list"}},
		{"no such file", []string{"testdata/none.json"}, 1, []string{"no such file"}},
		{"no file", nil, 2, []string{"FILE"}},
		{"help", []string{"--help"}, 0, []string{"Exit codes"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			out, exit := checkConfiguration(t, tt.args...)
			require.Equal(t, tt.exit, exit, out)
			for _, want := range tt.want {
				require.Contains(t, out, want)
			}
			require.NotContains(t, out, "key-of-", "API keys are never printed")
		})
	}
}

func TestCheckConfigurationJSON(t *testing.T) {
	out, exit := checkConfiguration(t, "--json", "--in-force", "testdata/sound.json", "testdata/next.json")
	require.Equal(t, 0, exit, out)
	var result struct {
		Valid    bool  `json:"valid"`
		Version  int64 `json:"version"`
		Findings []any `json:"findings"`
		Changes  []any `json:"changes"`
	}
	require.NoError(t, json.Unmarshal([]byte(out), &result))
	require.True(t, result.Valid)
	require.Equal(t, int64(13), result.Version)
	require.Empty(t, result.Findings)
	require.Len(t, result.Changes, 4)
}
