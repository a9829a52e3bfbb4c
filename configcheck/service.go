package configcheck

import (
	"strings"

	"redwinghall/fleet"
)

func checkService(f *Findings, config *fleet.Configuration, s fleet.Service) {
	subject := "service " + s.Name
	if s.Name == "" {
		f.error("services", "a service has no name")
	}
	if s.HealthPath != "" && !strings.HasPrefix(s.HealthPath, "/") {
		f.error(subject, "its health check path %q has to begin with a slash", s.HealthPath)
	}
	if !isRouted(config, s.Name) {
		f.warning(subject, "no route sends requests to it")
	}
	if s.Engine != nil {
		checkEngine(f, subject, s)
	}
}

// isRouted reports whether any route sends requests to a service.
func isRouted(config *fleet.Configuration, service string) bool {
	for _, r := range config.Routes {
		for _, s := range r.Split {
			if s.Service == service && s.Weight > 0 {
				return true
			}
		}
	}
	return false
}

func checkEngine(f *Findings, subject string, s fleet.Service) {
	e := s.Engine
	if e.Slots <= 0 {
		f.error(subject, "its engine processes no request at a time (slots)")
	}
	if s.MaxConnections > 0 && s.MaxConnections < e.Slots {
		f.error(subject, "an endpoint accepts %d connections and processes %d requests at a time: each takes a connection", s.MaxConnections, e.Slots)
	}
	if e.Step <= 0 || e.ReadPerSecond <= 0 {
		f.warning(subject, "its engine has no time for a step or for the reading of a prompt, so no response can be predicted to be late")
	}
	if mean := int(e.MeanPromptTokens + e.MeanAnswerTokens); !e.Holds(mean, 0) {
		f.error(subject, "a group holds %d tokens and a request of mean length has %d, so most are refused as too large", e.CacheTokens, mean)
	}
	checkModels(f, subject, e)
}

func checkModels(f *Findings, subject string, e *fleet.Engine) {
	if len(e.Models) == 0 {
		f.error(subject, "its engine has no models")
	}
	names, shares := map[string]bool{}, 0.0
	for _, m := range e.Models {
		if m.Name == "" {
			f.error(subject, "one of its models has no name")
		}
		if names[m.Name] {
			f.error(subject, "model %s stands there twice, and the second one is never used", m.Name)
		}
		names[m.Name] = true
		shares += m.Share
	}
	for _, m := range e.Models {
		if m.Share <= 0 && shares > 0 {
			f.warning(subject, "model %s has no share of the work, so no groups are formed for it", m.Name)
		}
		if m.Warm > m.Load {
			f.warning(subject, "model %s takes longer to start from the host (%s) than to load (%s)", m.Name, m.Warm, m.Load)
		}
	}
	if shares <= 0 && len(e.Models) > 0 {
		f.error(subject, "none of its models has a share of the work")
	}
}
