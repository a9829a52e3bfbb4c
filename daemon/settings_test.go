package daemon_test

import (
	"bytes"
	"context"
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"redwinghall"
	"redwinghall/daemon"
)

const goodRouter = `{"id":"router-1","availability_zone":"tartu","peer_address":"127.0.0.1:1","platform_address":"127.0.0.1:2",
 "caller_address":"127.0.0.1:3","peer_token":{"env":"RWH_SETTINGS_TEST"},"stall_timeout":"1.5s"}`

func writeFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.json")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func TestLoadRouter(t *testing.T) {
	t.Setenv("RWH_SETTINGS_TEST", "0123456789abcdef")
	tests := []struct {
		name string
		in   string
		want []string
	}{
		{"good", goodRouter, nil},
		{"not JSON", `{`, []string{"$"}},
		{"unknown fields and wrong types", `{"idd":"x","poll_interval":5,"max_tries":"four","peer_token":{"enw":"X"}}`,
			[]string{"idd", "max_tries", "peer_token.enw", "poll_interval"}},
		{"missing and out of range",
			`{"id":"R","availability_zone":"tartu","peer_address":"localhost:1","platform_address":"127.0.0.1:2","caller_address":"",
			  "peer_token":{"env":"RWH_SETTINGS_NONE"},"max_tries":99,"picker":"best","alive_bound":"1h"}`,
			[]string{"alive_bound", "caller_address", "id", "max_tries", "peer_address", "peer_token", "picker"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := daemon.LoadRouter(writeFile(t, tt.in))
			var faults redwinghall.Faults
			if tt.want == nil {
				require.NoError(t, err)
				return
			}
			require.ErrorAs(t, err, &faults)
			var paths []string
			for _, f := range faults {
				paths = append(paths, f.Path)
			}
			require.Equal(t, tt.want, paths)
		})
	}
}

func TestMainExitCodes(t *testing.T) {
	started := false
	start := func(path string, check bool) (func(context.Context) error, error) {
		switch {
		case path == "bad":
			return nil, redwinghall.Faults{{Path: "id", Message: "want a name"}}
		case check:
			return nil, nil
		}
		return func(context.Context) error { started = true; return errors.New("port is taken") }, nil
	}
	tests := []struct {
		name string
		args []string
		want int
		text string
	}{
		{"help", []string{"--help"}, daemon.ExitOK, "--settings"},
		{"version", []string{"--version"}, daemon.ExitOK, daemon.Version},
		{"nothing", nil, daemon.ExitUsage, "--settings is missing"},
		{"unknown flag", []string{"--token", "x"}, daemon.ExitUsage, "unknown flag"},
		{"an argument", []string{"--settings", "x", "y"}, daemon.ExitUsage, `"y" is not understood`},
		{"bad settings", []string{"--settings", "bad"}, daemon.ExitUsage, "id: want a name"},
		{"check", []string{"--settings", "good", "--check"}, daemon.ExitOK, "valid"},
		{"fails", []string{"--settings", "good"}, daemon.ExitFailure, "port is taken"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			started = false
			var out bytes.Buffer
			require.Equal(t, tt.want, daemon.Main("router", "help", tt.args, &out, &out, start))
			require.Contains(t, out.String(), tt.text)
			require.Equal(t, tt.name == "fails", started)
		})
	}
}

func FuzzLoadRouter(f *testing.F) {
	f.Add([]byte(goodRouter))
	f.Fuzz(func(t *testing.T, in []byte) {
		path := filepath.Join(t.TempDir(), "s.json")
		if err := os.WriteFile(path, in, 0o600); err != nil {
			t.Fatal(err)
		}
		if s, err := daemon.LoadRouter(path); err == nil && len(s.Validate()) > 0 {
			t.Fatal("loaded settings are not valid")
		}
	})
}
