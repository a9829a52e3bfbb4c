package directory

import (
	"redwinghall/fleet"
	"redwinghall/kernel"
)

// rejection is a row that a node read and didn't take into its view.
type rejection struct {
	what    string
	version int64 // of the configuration, or of the row if it can't be decoded
	why     string
}

// rejections logs rejected rows, the same one only once although lists contain it again.
type rejections struct{ last rejection }

func (r *rejections) note(next rejection) {
	if next == r.last {
		return
	}
	r.last = next
	kernel.WarningS(nil, "view_rejected", "what", next.what, "version", next.version, "why", next.why)
}

// whatConfiguration names the configuration in a rejection.
const whatConfiguration = "configuration"

// reasonToReject returns why a configuration doesn't replace the current one, which is nil if
// there is none, or "" if it does.
//
// Versions only increase: an older configuration that is read late must not bring back routes
// and keys that were removed. One without any route ends all requests with a response
// after which callers don't retry, so it has to say that there is none. One whose routes lead to services
// of which it has none would refuse all requests.
func reasonToReject(next, current *fleet.Configuration) string {
	switch {
	case current != nil && next.Version < current.Version:
		return "older than the one in force"
	case current != nil && len(current.Routes) > 0 && len(next.Routes) == 0 && !next.NoRoutes:
		return "no routes, the one in force has some"
	case len(next.Routes) == 0 && len(next.Services) == 0 && !next.NoRoutes:
		return "no routes and no services"
	case current != nil && len(current.Services) > 0 && len(next.Services) == 0 && len(next.Routes) > 0:
		return "no services, the one in force has some"
	}
	return ""
}
