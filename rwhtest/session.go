package rwhtest

import (
	"encoding/json"
	"fmt"
	"regexp"
	"sort"
	"strings"

	"github.com/stretchr/testify/require"

	"redwinghall"
)

// Session writes down a whole session for a golden file: what callers and
// operators sent and received, what the endpoints did, and what the table
// holds in the end. What differs between runs is replaced by a name.
type Session struct {
	d   *Deployment
	out strings.Builder
}

// NewSession returns an empty session of a deployment.
func NewSession(d *Deployment) *Session { return &Session{d: d} }

// Note adds a line of explanation.
func (s *Session) Note(format string, args ...any) {
	fmt.Fprintf(&s.out, "# "+format+"\n", args...)
}

// shownHeaders are those that belong to the exchange; the rest are transport.
var shownHeaders = []string{"Content-Type", "Idempotency-Key", "Idempotency-Replayed", "Request-Timeout", "Retry-After", "X-Request-Id"}

// Exchange writes down one request and its answer.
func (s *Session) Exchange(who, method, path, body string, header map[string]string, r Reply) {
	fmt.Fprintf(&s.out, "\n%s> %s %s\n", who, method, path)
	for _, name := range shownHeaders {
		if v := header[name]; v != "" {
			fmt.Fprintf(&s.out, "%s> %s: %s\n", who, name, v)
		}
	}
	s.lines(who+"> ", body)
	fmt.Fprintf(&s.out, "%s< %d\n", who, r.Status)
	for _, name := range shownHeaders {
		if v := r.Header.Get(name); v != "" {
			fmt.Fprintf(&s.out, "%s< %s: %s\n", who, name, v)
		}
	}
	s.lines(who+"< ", r.Body)
}

func (s *Session) lines(prefix, text string) {
	for _, line := range strings.Split(strings.TrimRight(text, "\n"), "\n") {
		if line != "" || strings.Contains(text, "\n\n") {
			fmt.Fprintf(&s.out, "%s%s\n", prefix, line)
		}
	}
}

// Endpoints writes down what the engines and services did so far.
func (s *Session) Endpoints() {
	record := s.d.Fleet.Record()
	fmt.Fprintf(&s.out, "\nengines: %d requests begun, %d completed, %d in an incomplete group\n",
		record.Requests, record.Completed, record.Incomplete)
	for _, zone := range s.d.options.Zones {
		runs := s.d.Services[zone].Runs()
		keys := make([]string, 0, len(runs))
		for k := range runs {
			keys = append(keys, k)
		}
		sort.Strings(keys)
		for _, k := range keys {
			fmt.Fprintf(&s.out, "service in %s: %s ran %d\n", zone, k, runs[k])
		}
	}
}

// Table writes down the rows below the prefixes.
func (s *Session) Table(prefixes ...string) {
	for _, prefix := range prefixes {
		rows, err := s.d.Table.Scan(s.d.t.Context(), prefix)
		require.NoError(s.d.t, err)
		for _, row := range rows {
			fmt.Fprintf(&s.out, "platform: %s = %s\n", row.Key, plainValue(row))
		}
	}
}

func plainValue(row redwinghall.Row) string {
	var claim redwinghall.Claim
	if strings.HasPrefix(row.Key, "claim/") && json.Unmarshal(row.Value, &claim) == nil {
		text := string(claim.State)
		if claim.Response != nil {
			text += fmt.Sprintf(" status %d body %s", claim.Response.Status, strings.TrimSpace(string(claim.Response.Body)))
		}
		return text
	}
	return string(row.Value)
}

var hashPattern = regexp.MustCompile(`[0-9a-f]{64}`)

// Bytes returns the session with hashes replaced by names.
func (s *Session) Bytes() []byte {
	names := map[string]string{}
	return hashPattern.ReplaceAllFunc([]byte(s.out.String()), func(hash []byte) []byte {
		name, ok := names[string(hash)]
		if !ok {
			name = fmt.Sprintf("HASH-%d", len(names)+1)
			names[string(hash)] = name
		}
		return []byte(name)
	})
}
