package main_test

import (
	"bytes"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

var program string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "rwhctl-test-")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "rwhctl")
	if out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

const validManifest = `{"name":"x","client_accounts":[{"id":"a","key_sha256":["e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"]}]}`

func TestCommandLine(t *testing.T) {
	dir := t.TempDir()
	valid, bad := filepath.Join(dir, "good.json"), filepath.Join(dir, "bad.json")
	require.NoError(t, os.WriteFile(valid, []byte(validManifest), 0o600))
	require.NoError(t, os.WriteFile(bad, []byte(`{"nam":1,"models":{}}`), 0o600))
	tests := []struct {
		name string
		args []string
		exit int
		text string
	}{
		{"help", []string{"--help"}, 0, "Exit codes"},
		{"help of a subcommand", []string{"submit", "--help"}, 0, "build-1234"},
		{"version", []string{"--version"}, 0, "rwhctl"},
		{"no subcommand", nil, 2, "Please specify one command"},
		{"unknown subcommand", []string{"sumbit"}, 2, "Unknown command"},
		{"missing file", []string{"check"}, 2, "FILE"},
		{"missing controller", []string{"status"}, 2, "--controller is missing"},
		{"missing replaces", []string{"submit", valid}, 2, "replaces"},
		{"valid manifest", []string{"check", valid}, 0, `"valid": true`},
		{"invalid manifest, all faults reported", []string{"check", bad}, 1, `"path": "nam"`},
		{"no such file", []string{"check", filepath.Join(dir, "none")}, 1, "no such file"},
		{"explain", []string{"explain", "outcome_unknown"}, 0, "never sent again"},
		{"explain all", []string{"explain"}, 0, "manifest_race"},
		{"explain an unknown code", []string{"explain", "oops"}, 1, "does not exist"},
		{"controller that does not answer", []string{"status", "--controller", "127.0.0.1:1"}, 1, "controller_unreachable"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			cmd := exec.Command(program, tt.args...)
			var out bytes.Buffer
			cmd.Stdout, cmd.Stderr = &out, &out
			err := cmd.Run()
			var exit *exec.ExitError
			if err != nil {
				require.True(t, errors.As(err, &exit), "%v", err)
			}
			require.Equal(t, tt.exit, cmd.ProcessState.ExitCode(), out.String())
			require.Contains(t, out.String(), tt.text)
		})
	}
}
