package main_test

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"redwinghall/platform"
	"redwinghall/platform/platformtest"
)

// run runs the program and returns its output and exit code. The test builds the
// program once for all cases.
func run(t *testing.T, program string, env []string, args ...string) (string, int) {
	t.Helper()
	cmd := exec.Command(program, args...)
	cmd.Env = env
	out, err := cmd.CombinedOutput()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return string(out), exit.ExitCode()
	}
	require.NoError(t, err)
	return string(out), 0
}

func TestCommandLine(t *testing.T) {
	program := filepath.Join(t.TempDir(), "node")
	out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput()
	require.NoError(t, err, string(out))
	write := func(name, text string) string {
		path := filepath.Join(t.TempDir(), name)
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	good := write("good.conf", platformtest.NodeSettings{
		Node: "n1", Zone: "a", Zones: []string{"a"}, CallerAddress: "127.0.0.1:1", ReadinessAddress: "127.0.0.1:2", FirstInternalPort: 3, StoreAddress: "127.0.0.1:4",
	}.Text())
	bad := write("bad.conf", "node_name=n1\ninternal_ports=9\nbounds.drain_ms=soon\n")
	for name, c := range map[string]struct {
		env  []string
		args []string
		code int
		want []string
	}{
		"good":                    {nil, []string{"--check", "--settings", good}, 0, []string{"valid"}},
		"path in the environment": {[]string{platform.SettingsVariable + "=" + good}, []string{"--check"}, 0, []string{"valid"}},
		"all faults reported":     {nil, []string{"--check", "--settings", bad}, 2, []string{"internal_ports", "bounds.drain_ms", "zone", "store_address"}},
		"no file":                 {nil, []string{"--check", "--settings", bad + ".none"}, 2, []string{"no such file"}},
		"no settings":             {nil, nil, 2, []string{"--settings is missing"}},
		"unknown flag":            {nil, []string{"--chekc"}, 2, []string{"chekc"}},
		"help":                    {nil, []string{"--help"}, 0, []string{platform.SettingsVariable, "Exit codes"}},
		"version":                 {nil, []string{"--version"}, 0, []string{"node"}},
	} {
		t.Run(name, func(t *testing.T) {
			out, code := run(t, program, c.env, c.args...)
			require.Equal(t, c.code, code, out)
			for _, want := range c.want {
				require.Contains(t, out, want)
			}
		})
	}
}
