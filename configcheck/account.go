package configcheck

import "redwinghall/fleet"

func checkAccounts(f *Findings, config *fleet.Configuration) {
	names, holders := map[string]bool{}, map[string]string{}
	for _, a := range config.Accounts {
		subject := "client account " + a.Name
		if a.Name == "" {
			f.error("client accounts", "an account has no name")
		} else if names[a.Name] {
			f.error(subject, "another account has the same name")
		}
		names[a.Name] = true
		checkKeys(f, subject, a, holders)
		if a.HasPriority && a.Priority < 0 {
			f.error(subject, "its priority is %d; 0 is the highest", a.Priority)
		}
	}
	if len(config.Accounts) > 0 && allPublic(config.Routes) {
		f.warning("client accounts", "all routes are public, so no account is ever looked up")
	}
}

// checkKeys never shows a key: findings end up in logs of pipelines.
func checkKeys(f *Findings, subject string, a fleet.Account, holders map[string]string) {
	if len(a.Keys) == 0 {
		f.warning(subject, "it has no API key, so no request can belong to it")
	}
	for i, key := range a.Keys {
		if key == "" {
			f.error(subject, "its API key number %d is empty", i+1)
			continue
		}
		other, taken := holders[key]
		switch {
		case taken && other == a.Name:
			f.warning(subject, "its API key number %d stands there twice", i+1)
		case taken:
			f.error(subject, "its API key number %d belongs to account %s too", i+1, other)
		}
		holders[key] = a.Name
	}
}

func allPublic(routes []fleet.Route) bool {
	for _, r := range routes {
		if !r.Public {
			return false
		}
	}
	return len(routes) > 0
}
