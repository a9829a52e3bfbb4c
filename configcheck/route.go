package configcheck

import (
	"strings"
	"time"

	"redwinghall/balance"
	"redwinghall/fleet"
)

// path is where a route listens. Of two routes with the same path only one gets requests.
type path struct{ host, prefix string }

func checkRoutes(f *Findings, config *fleet.Configuration) {
	names, paths := map[string]bool{}, map[path]string{}
	for _, r := range config.Routes {
		subject := "route " + r.Name
		if r.Name == "" {
			f.error("routes", "a route of host %q has no name", r.Host)
		} else if names[r.Name] {
			f.error(subject, "another route has the same name")
		}
		names[r.Name] = true
		at := path{host: strings.ToLower(r.Host), prefix: r.Prefix}
		if other, taken := paths[at]; taken {
			f.error(subject, "route %s has the same host and prefix, so one of them never matches", other)
		}
		paths[at] = r.Name
		checkRoute(f, subject, r)
		checkSplit(f, subject, r, config.Services)
		checkObjective(f, subject, r, config.Services)
	}
	if len(config.Routes) == 0 {
		f.error("routes", "there is none, so every request gets 404")
	}
}

func checkRoute(f *Findings, subject string, r fleet.Route) {
	if r.Host == "" {
		f.error(subject, "it has no host")
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		f.error(subject, "its prefix %q has to begin and end with a slash", r.Prefix)
	}
	switch r.Kind {
	case fleet.Streaming:
		if r.PauseObjective > r.Timeout && r.Timeout > 0 {
			f.error(subject, "its longest pause between events (%s) is above its timeout (%s)", r.PauseObjective, r.Timeout)
		}
	case fleet.Safe, fleet.Unsafe:
		if r.Resumable {
			f.warning(subject, "it is resumable, which has no effect on a route that doesn't stream")
		}
		if r.PauseObjective > 0 {
			f.warning(subject, "it has a longest pause between events, which has no effect on a route that doesn't stream")
		}
	default:
		f.error(subject, "its kind is %q, want %q, %q or %q", r.Kind, fleet.Safe, fleet.Unsafe, fleet.Streaming)
	}
	if r.Timeout <= 0 {
		f.error(subject, "it has no timeout")
	}
	if r.Priority < 0 {
		f.error(subject, "its priority is %d; 0 is the highest", r.Priority)
	}
}

func checkSplit(f *Findings, subject string, r fleet.Route, services map[string]fleet.Service) {
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	if total == 0 {
		f.error(subject, "all weights of its split are 0")
	}
	seen := map[string]bool{}
	for _, s := range r.Split {
		if _, ok := services[s.Service]; !ok {
			f.error(subject, "the service %q doesn't exist", s.Service)
		}
		if s.Weight == 0 && total > 0 {
			f.warning(subject, "its share for service %s has weight 0 and gets no request", s.Service)
		}
		if seen[s.Service] {
			f.warning(subject, "its split names service %s twice", s.Service)
		}
		seen[s.Service] = true
	}
}

// checkObjective checks that the objective can be met at all: by the route's timeout, and
// by a group without any other request. Requests that are expected to be late are refused.
func checkObjective(f *Findings, subject string, r fleet.Route, services map[string]fleet.Service) {
	if r.Objective <= 0 {
		f.error(subject, "it has no latency objective, so every request is expected to be late and refused")
		return
	}
	if r.Timeout > 0 && r.Timeout < r.Objective {
		f.error(subject, "its timeout (%s) is below its latency objective (%s)", r.Timeout, r.Objective)
	}
	for _, share := range r.Split {
		fastest, ok := fastestFirstEvent(services[share.Service].Engine)
		if ok && r.Kind == fleet.Streaming && fastest > r.Objective {
			f.warning(subject, "its latency objective (%s) is below the time to the first event of an idle group of service %s (%s), so most requests are refused",
				r.Objective, share.Service, fastest.Round(time.Millisecond))
		}
	}
}

// fastestFirstEvent returns the time to the first event, on a prompt of mean length, of an
// idle group of the engine's fastest model.
func fastestFirstEvent(engine *fleet.Engine) (time.Duration, bool) {
	if engine == nil || len(engine.Models) == 0 {
		return 0, false
	}
	fastest := time.Duration(-1)
	for _, model := range engine.Models {
		first := balance.NewPace(engine, model, 1).FirstEvent(0, 0, int(engine.MeanPromptTokens))
		if fastest < 0 || first < fastest {
			fastest = first
		}
	}
	return fastest, true
}
