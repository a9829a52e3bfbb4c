package daemon

import (
	"time"

	"redwinghall"
)

// ControllerSettings are the settings of a controller. Most of them have the same names
// in endpoint.ManagerConfig and lease.Config, which describe them.
type ControllerSettings struct {
	Common
	OperatorAddress string               `json:"operator_address"`
	OperatorToken   Token                `json:"operator_token"`
	StepInterval    redwinghall.Duration `json:"step_interval"`
	LeaseDuration   redwinghall.Duration `json:"lease_duration"`
	LeaseMargin     redwinghall.Duration `json:"lease_margin"`
	LostAfter       redwinghall.Duration `json:"lost_after"`
	SettleTime      redwinghall.Duration `json:"settle_time"`
	DrainTimeout    redwinghall.Duration `json:"drain_timeout"`
	OrderTimeout    redwinghall.Duration `json:"order_timeout"`
	MaxLoading      int                  `json:"max_loading"`
}

// LoadController reads a controller's settings file.
func LoadController(path string) (ControllerSettings, error) {
	return load(path, ControllerSettings.WithDefaults)
}

// WithDefaults returns the settings with empty fields set to their defaults.
func (s ControllerSettings) WithDefaults() ControllerSettings {
	s.Common = s.withDefaults()
	s.StepInterval = orDefault(s.StepInterval, time.Second)
	s.LeaseDuration = orDefault(s.LeaseDuration, 10*time.Second)
	s.LeaseMargin = orDefault(s.LeaseMargin, 3*time.Second)
	s.LostAfter = orDefault(s.LostAfter, 5*time.Second)
	s.SettleTime = orDefault(s.SettleTime, 5*time.Second)
	s.DrainTimeout = orDefault(s.DrainTimeout, 10*time.Minute)
	s.OrderTimeout = orDefault(s.OrderTimeout, time.Second)
	s.MaxLoading = intOrDefault(s.MaxLoading, 4)
	return s
}

// Validate returns all validation errors of the settings, ordered by path.
func (s ControllerSettings) Validate() redwinghall.Faults {
	f := s.validate()
	f = append(f, validateAddress("operator_address", s.OperatorAddress)...)
	f = append(f, s.OperatorToken.validate("operator_token")...)
	f = f.DurationBetween("step_interval", s.StepInterval, 20*time.Millisecond, time.Minute)
	f = f.DurationBetween("lease_duration", s.LeaseDuration, 200*time.Millisecond, 10*time.Minute)
	f = f.DurationBetween("lease_margin", s.LeaseMargin, 50*time.Millisecond, s.LeaseDuration.Std()/2)
	f = f.DurationBetween("lost_after", s.LostAfter, 100*time.Millisecond, 10*time.Minute)
	f = f.DurationBetween("settle_time", s.SettleTime, 0, 10*time.Minute)
	f = f.DurationBetween("drain_timeout", s.DrainTimeout, 0, time.Hour)
	f = f.DurationBetween("order_timeout", s.OrderTimeout, 50*time.Millisecond, time.Minute)
	f = f.Between("max_loading", s.MaxLoading, 1, 10000)
	return f.Sorted()
}
