package daemon

import (
	"time"

	"redwinghall"
	"redwinghall/route"
)

// RouterSettings are the settings of a router. Most of them have the same names in
// caller.Config, which describes them.
type RouterSettings struct {
	Common
	CallerAddress  string               `json:"caller_address"`
	PollInterval   redwinghall.Duration `json:"poll_interval"`
	StallTimeout   redwinghall.Duration `json:"stall_timeout"`
	SettleTimeout  redwinghall.Duration `json:"settle_timeout"`
	DefaultTimeout redwinghall.Duration `json:"default_timeout"`
	MaxTimeout     redwinghall.Duration `json:"max_timeout"`
	ClaimInterval  redwinghall.Duration `json:"claim_interval"`
	DrainDelay     redwinghall.Duration `json:"drain_delay"`
	DrainTimeout   redwinghall.Duration `json:"drain_timeout"`
	MaxBodyBytes   int                  `json:"max_body_bytes"`
	MaxRequests    int                  `json:"max_requests"`
	MaxConnections int                  `json:"max_connections"`
	MaxAttempts    int                  `json:"max_tries"`
	RetryPercent   int                  `json:"retry_percent"`
	Picker         string               `json:"picker"`
}

// LoadRouter reads a router's settings file.
func LoadRouter(path string) (RouterSettings, error) {
	return load(path, RouterSettings.WithDefaults)
}

// WithDefaults returns the settings with empty fields set to their defaults.
func (s RouterSettings) WithDefaults() RouterSettings {
	s.Common = s.withDefaults()
	s.PollInterval = orDefault(s.PollInterval, 500*time.Millisecond)
	s.StallTimeout = orDefault(s.StallTimeout, 2*time.Second)
	s.SettleTimeout = orDefault(s.SettleTimeout, 30*time.Second)
	s.DefaultTimeout = orDefault(s.DefaultTimeout, time.Minute)
	s.MaxTimeout = orDefault(s.MaxTimeout, 10*time.Minute)
	s.ClaimInterval = orDefault(s.ClaimInterval, 20*time.Millisecond)
	s.DrainDelay = orDefault(s.DrainDelay, 3*time.Second)
	s.DrainTimeout = orDefault(s.DrainTimeout, 10*time.Minute)
	s.MaxBodyBytes = intOrDefault(s.MaxBodyBytes, 1<<20)
	s.MaxRequests = intOrDefault(s.MaxRequests, 2000)
	s.MaxConnections = intOrDefault(s.MaxConnections, 8000)
	s.MaxAttempts = intOrDefault(s.MaxAttempts, 4)
	s.RetryPercent = intOrDefault(s.RetryPercent, 10)
	if s.Picker == "" {
		s.Picker = route.DefaultPicker
	}
	return s
}

func intOrDefault(v, fallback int) int {
	if v == 0 {
		return fallback
	}
	return v
}

// Validate returns all validation errors of the settings, ordered by path.
func (s RouterSettings) Validate() redwinghall.Faults {
	f := s.validate()
	f = append(f, validateAddress("caller_address", s.CallerAddress)...)
	f = f.DurationBetween("poll_interval", s.PollInterval, 20*time.Millisecond, time.Minute)
	f = f.DurationBetween("stall_timeout", s.StallTimeout, 50*time.Millisecond, 10*time.Minute)
	f = f.DurationBetween("settle_timeout", s.SettleTimeout, 0, 10*time.Minute)
	f = f.DurationBetween("default_timeout", s.DefaultTimeout, 10*time.Millisecond, time.Hour)
	f = f.DurationBetween("max_timeout", s.MaxTimeout, 10*time.Millisecond, time.Hour)
	f = f.DurationBetween("claim_interval", s.ClaimInterval, time.Millisecond, 10*time.Second)
	f = f.DurationBetween("drain_delay", s.DrainDelay, 0, 5*time.Minute)
	f = f.DurationBetween("drain_timeout", s.DrainTimeout, time.Second, time.Hour)
	f = f.Between("max_body_bytes", s.MaxBodyBytes, 1024, 64<<20)
	f = f.Between("max_requests", s.MaxRequests, 1, 1000000)
	f = f.Between("max_connections", s.MaxConnections, 1, 1000000)
	f = f.Between("max_tries", s.MaxAttempts, 1, 20)
	f = f.Between("retry_percent", s.RetryPercent, 1, 100)
	if _, err := route.Pickers.Get(s.Picker); err != nil {
		f = f.With("picker", "%v", err)
	}
	return f.Sorted()
}
