package quarantine

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Part is what requests of one service may have in common: a part of their prompts, or that they are the same request,
// as its caller repeats it.
type Part struct {
	Service string
	ID      string
}

// Prefixes of the ids of a request's own parts. Ids of shared parts hold no colon.
const (
	lastPrefix  = "last:"
	wholePrefix = "request:"
)

// LastPart returns the id of the last part of a prompt, which belongs to the request itself or to its session.
func LastPart(id string) string { return lastPrefix + id }

// WholeRequest returns the id of a request as a whole. identity is the same for all attempts with the request.
func WholeRequest(identity string) string { return wholePrefix + identity }

// isOwn reports whether a part belongs to one request, or to its session.
func isOwn(id string) bool {
	return strings.HasPrefix(id, lastPrefix) || strings.HasPrefix(id, wholePrefix)
}

// Process is one run of an endpoint's process.
type Process struct {
	Endpoint      string
	StartedMillis int64
}

// maxRequestID is the longest id of a request that is kept, in bytes.
const maxRequestID = 128

// Suspect is a request that was at an endpoint, without a proven answer, as the endpoint's process ended.
type Suspect struct {
	Process Process
	Request string // id of the request
	Service string
	Parts   []string // ids of its parts
	// Trial is set if the request was sent alone to find out whether its parts end endpoints.
	Trial bool
	At    time.Time // when the process was found to have ended
}

// suspectKey identifies a suspect. Several nodes may report the same one.
type suspectKey struct {
	process Process
	request string
}

// suspect is a Suspect as a table holds it.
type suspect struct {
	Suspect
	// live are the parts on which no endpoint has answered since the process ended.
	live   []Part
	digest uint64 // the sum that is part of the table's digest
	news
}

// news says when and from whom a table learned something.
type news struct {
	seq   uint64
	local bool // not from another node
}

func (s *Suspect) key() suspectKey { return suspectKey{s.Process, s.Request} }

// sum is the same for the same suspect with the same suspected parts at all nodes, 0 without suspected parts.
func (s *suspect) sum() uint64 {
	if len(s.live) == 0 {
		return 0
	}
	fields := []string{s.Process.Endpoint, time.UnixMilli(s.Process.StartedMillis).UTC().String(), s.Request}
	first := len(fields)
	for _, part := range s.live {
		fields = append(fields, part.ID)
	}
	slices.Sort(fields[first:])
	return xxhash.Sum64String(strings.Join(fields, "\x00"))
}

// own returns a copy that doesn't keep the request's headers in memory, without doubled parts.
func (s Suspect) own() Suspect {
	s.Request = ownID(s.Request)
	parts := make([]string, 0, len(s.Parts))
	for _, id := range s.Parts {
		if !slices.Contains(parts, id) {
			parts = append(parts, strings.Clone(id))
		}
	}
	s.Parts = parts
	return s
}

// ownID returns a request's id in a form that can be kept and sent.
func ownID(id string) string {
	return strings.Clone(strings.ToValidUTF8(id[:min(len(id), maxRequestID)], ""))
}

// drop removes a part from the live ones.
func (s *suspect) drop(part Part) {
	s.live = slices.DeleteFunc(s.live, func(one Part) bool { return one == part })
}
