package configcheck_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/configcheck"
	"redwinghall/fleet"
)

// soundConfiguration returns a configuration without findings.
func soundConfiguration() *fleet.Configuration {
	return &fleet.Configuration{
		Version: 3,
		Routes: []fleet.Route{
			{Name: "chat", Host: "a.example", Prefix: "/chat/", Kind: fleet.Streaming, Timeout: 5 * time.Second, Objective: 400 * time.Millisecond,
				PauseObjective: 200 * time.Millisecond, MaxAttempts: 2, Resumable: true, Split: []fleet.Share{{Service: "models", Weight: 1}}},
			{Name: "book", Host: "a.example", Prefix: "/book/", Kind: fleet.Unsafe, Timeout: 2 * time.Second, Objective: 300 * time.Millisecond,
				MaxAttempts: 1, Split: []fleet.Share{{Service: "desk", Weight: 1}}},
		},
		Services: map[string]fleet.Service{
			"desk": {Name: "desk", HealthPath: "/health", MaxConnections: 50},
			"models": {Name: "models", HealthPath: "/health", MaxConnections: 100, Engine: &fleet.Engine{
				Slots: 10, Stride: 5, Step: 6 * time.Millisecond, ReadPerSecond: 50000, Chunk: 2048, MeanPromptTokens: 800, MeanAnswerTokens: 200,
				Models: []fleet.Model{{Name: "m", Size: 4, Share: 1, TimeFactor: 1, Load: 10 * time.Second, Warm: time.Second}},
			}},
		},
		Accounts: []fleet.Account{{Name: "depots", Keys: []string{"k1"}}},
		Limits:   fleet.Limits{HeaderBytes: 1 << 14, BodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	}
}

// withModels returns the configuration with another engine at the service models.
func withModels(c *fleet.Configuration, change func(s *fleet.Service)) {
	s := c.Services["models"]
	engine := *s.Engine
	s.Engine = &engine
	change(&s)
	c.Services["models"] = s
}

func TestCheckFindsWhatIsWrong(t *testing.T) {
	tests := []struct {
		name   string
		change func(c *fleet.Configuration)
		want   string // "" for no finding
	}{
		{"sound", func(*fleet.Configuration) {}, ""},
		{"no version", func(c *fleet.Configuration) { c.Version = 0 }, "error: configuration: its version is 0"},
		{"no routes", func(c *fleet.Configuration) { c.Routes = nil }, "error: routes: there is none"},
		{"unnamed route", func(c *fleet.Configuration) { c.Routes[0].Name = "" }, "error: routes: a route of host \"a.example\" has no name"},
		{"two routes of one name", func(c *fleet.Configuration) { c.Routes[1].Name = "chat" }, "error: route chat: another route has the same name"},
		{"the same path twice", func(c *fleet.Configuration) { c.Routes[1].Prefix = "/chat/" }, "error: route book: route chat has the same host and prefix"},
		{"prefix without a slash", func(c *fleet.Configuration) { c.Routes[0].Prefix = "/chat" }, "error: route chat: its prefix \"/chat\""},
		{"no host", func(c *fleet.Configuration) { c.Routes[0].Host = "" }, "error: route chat: it has no host"},
		{"unknown kind", func(c *fleet.Configuration) { c.Routes[0].Kind = "stream" }, "error: route chat: its kind is \"stream\""},
		{"no timeout", func(c *fleet.Configuration) { c.Routes[1].Timeout = 0 }, "error: route book: it has no timeout"},
		{"no objective", func(c *fleet.Configuration) { c.Routes[1].Objective = 0 }, "error: route book: it has no latency objective"},
		{"timeout below the objective", func(c *fleet.Configuration) { c.Routes[1].Timeout = time.Millisecond }, "error: route book: its timeout (1ms) is below"},
		{"pause above the timeout", func(c *fleet.Configuration) { c.Routes[0].PauseObjective = time.Minute }, "error: route chat: its longest pause between events (1m0s)"},
		{"resumable without events", func(c *fleet.Configuration) { c.Routes[1].Resumable = true }, "warning: route book: it is resumable"},
		{"objective that no group meets", func(c *fleet.Configuration) { c.Routes[0].Objective = time.Millisecond }, "warning: route chat: its latency objective (1ms) is below the time to the first event"},
		{"service that isn't there", func(c *fleet.Configuration) { c.Routes[1].Split[0].Service = "desc" }, "error: route book: the service \"desc\" doesn't exist"},
		{"service without a route", func(c *fleet.Configuration) { c.Routes = c.Routes[:1] }, "warning: service desk: no route sends requests to it"},
		{"no weight", func(c *fleet.Configuration) { c.Routes[1].Split[0].Weight = 0 }, "error: route book: all weights of its split are 0"},
		{"share without weight", func(c *fleet.Configuration) {
			c.Routes[1].Split = append(c.Routes[1].Split, fleet.Share{Service: "models"})
		}, "warning: route book: its share for service models has weight 0"},
		{"account without keys", func(c *fleet.Configuration) { c.Accounts[0].Keys = nil }, "warning: client account depots: it has no API key"},
		{"key of two accounts", func(c *fleet.Configuration) {
			c.Accounts = append(c.Accounts, fleet.Account{Name: "cafes", Keys: []string{"k1"}})
		}, "error: client account cafes: its API key number 1 belongs to account depots too"},
		{"empty key", func(c *fleet.Configuration) { c.Accounts[0].Keys = []string{""} }, "error: client account depots: its API key number 1 is empty"},
		{"accounts that nobody asks for", func(c *fleet.Configuration) { c.Routes[0].Public, c.Routes[1].Public = true, true }, "warning: client accounts: all routes are public"},
		{"fewer connections than slots", func(c *fleet.Configuration) {
			withModels(c, func(s *fleet.Service) { s.MaxConnections = 5 })
		}, "error: service models: an endpoint accepts 5 connections"},
		{"less memory than a request needs", func(c *fleet.Configuration) {
			withModels(c, func(s *fleet.Service) { s.Engine.CacheTokens = 999 })
		}, "error: service models: a group holds 999 tokens and a request of mean length has 1000"},
		{"as much memory as a request needs", func(c *fleet.Configuration) {
			withModels(c, func(s *fleet.Service) { s.Engine.CacheTokens = 1000 })
		}, ""},
		{"model twice", func(c *fleet.Configuration) {
			withModels(c, func(s *fleet.Service) { s.Engine.Models = append(s.Engine.Models, s.Engine.Models[0]) })
		}, "error: service models: model m stands there twice"},
		{"no share of the work", func(c *fleet.Configuration) {
			withModels(c, func(s *fleet.Service) { s.Engine.Models = []fleet.Model{{Name: "m", Size: 1}} })
		}, "error: service models: none of its models has a share"},
		{"header time above idle time", func(c *fleet.Configuration) { c.Limits.HeaderTimeout = time.Minute }, "warning: limits: the time for a header"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			config := soundConfiguration()
			tt.change(config)
			found := configcheck.Check(config)
			if tt.want == "" {
				require.Empty(t, found)
				return
			}
			require.Condition(t, func() bool {
				for _, one := range found {
					if len(one.String()) >= len(tt.want) && one.String()[:len(tt.want)] == tt.want {
						return true
					}
				}
				return false
			}, "want %q among %v", tt.want, found)
		})
	}
}

func TestReplacementNeedsAHigherVersion(t *testing.T) {
	next := soundConfiguration()
	require.True(t, configcheck.CheckReplacement(soundConfiguration(), next).HasErrors())
	next.Version++
	require.Empty(t, configcheck.CheckReplacement(soundConfiguration(), next))
}

func TestDiffNamesEachField(t *testing.T) {
	next := soundConfiguration()
	next.Routes[0].Priority = 2
	next.Accounts[0].Keys = []string{"k1", "secret"}
	next.Limits.BodyBytes = 5
	withModels(next, func(s *fleet.Service) {
		s.Engine.Slots = 12
		s.Engine.Models = []fleet.Model{{Name: "n", Size: 2, Share: 1}}
	})
	delete(next.Services, "desk")
	next.Routes = append(next.Routes, fleet.Route{Name: "extra"})
	var lines []string
	for _, change := range configcheck.Diff(soundConfiguration(), next) {
		lines = append(lines, change.String())
	}
	require.Equal(t, []string{
		"changed: route chat: priority: 0 -> 2",
		"added: route extra",
		"removed: service desk",
		"changed: service models: engine: slots: 10 -> 12",
		"removed: service models: model m",
		"added: service models: model n",
		"changed: client account depots: api keys: 1 -> 2 (1 added, 0 removed)",
		"changed: limits: body bytes: 1048576 -> 5",
	}, lines)
	require.Empty(t, configcheck.Diff(next, next))
}
