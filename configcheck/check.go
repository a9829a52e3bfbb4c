package configcheck

import (
	"sort"

	"redwinghall/fleet"
)

// Check returns what is wrong with a configuration, the errors of each entry before its
// warnings.
func Check(config *fleet.Configuration) Findings {
	var f Findings
	if config.Version <= 0 {
		f.error("configuration", "its version is %d, want a positive number", config.Version)
	}
	checkRoutes(&f, config)
	for _, name := range serviceNames(config) {
		checkService(&f, config, config.Services[name])
	}
	checkAccounts(&f, config)
	checkLimits(&f, config.Limits)
	return f
}

// CheckReplacement returns what is wrong with replacing the configuration in force by
// another one.
func CheckReplacement(inForce, next *fleet.Configuration) Findings {
	var f Findings
	if next.Version <= inForce.Version {
		f.error("configuration", "its version %d isn't above the version %d in force, so no node would use it", next.Version, inForce.Version)
	}
	return f
}

func serviceNames(config *fleet.Configuration) []string {
	names := make([]string, 0, len(config.Services))
	for name := range config.Services {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func checkLimits(f *Findings, limits fleet.Limits) {
	if limits.HeaderTimeout > 0 && limits.IdleTimeout > 0 && limits.HeaderTimeout > limits.IdleTimeout {
		f.warning("limits", "the time for a header (%s) is above the time for which a connection may be idle (%s)", limits.HeaderTimeout, limits.IdleTimeout)
	}
	if limits.HeaderBytes > 0 && limits.BodyBytes > 0 && limits.BodyBytes < int64(limits.HeaderBytes) {
		f.warning("limits", "a body may have fewer bytes (%d) than a header (%d)", limits.BodyBytes, limits.HeaderBytes)
	}
}
