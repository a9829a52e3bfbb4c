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

// Session records a complete session for a golden file: the requests and responses
// of callers and operators, what the endpoints executed, and the rows of the table at
// the end. Values that differ between runs are replaced by placeholders.
type Session struct {
	d   *Deployment
	out strings.Builder
}

// NewSession returns an empty session of a deployment.
func NewSession(d *Deployment) *Session { return &Session{d: d} }

// Note adds a comment line.
func (s *Session) Note(format string, args ...any) {
	fmt.Fprintf(&s.out, "# "+format+"\n", args...)
}

// recordedHeaders are the headers that belong to the API; the others belong to the
// transport and are left out.
var recordedHeaders = []string{"Content-Type", "Idempotency-Key", "Idempotency-Replayed", "Request-Timeout", "Retry-After", "X-Request-Id"}

// Exchange records one request and its response.
func (s *Session) Exchange(participant, method, path, body string, header map[string]string, r Reply) {
	fmt.Fprintf(&s.out, "\n%s> %s %s\n", participant, method, path)
	for _, name := range recordedHeaders {
		if v := header[name]; v != "" {
			fmt.Fprintf(&s.out, "%s> %s: %s\n", participant, name, v)
		}
	}
	s.writeLines(participant+"> ", body)
	fmt.Fprintf(&s.out, "%s< %d\n", participant, r.Status)
	for _, name := range recordedHeaders {
		if v := r.Header.Get(name); v != "" {
			fmt.Fprintf(&s.out, "%s< %s: %s\n", participant, name, v)
		}
	}
	s.writeLines(participant+"< ", r.Body)
}

func (s *Session) writeLines(prefix, text string) {
	for _, line := range strings.Split(strings.TrimRight(text, "\n"), "\n") {
		if line != "" || strings.Contains(text, "\n\n") {
			fmt.Fprintf(&s.out, "%s%s\n", prefix, line)
		}
	}
}

// Endpoints records what the engines and services have executed so far.
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

// Table records the rows whose keys start with the prefixes.
func (s *Session) Table(prefixes ...string) {
	for _, prefix := range prefixes {
		rows, err := s.d.Table.Scan(s.d.t.Context(), prefix)
		require.NoError(s.d.t, err)
		for _, row := range rows {
			fmt.Fprintf(&s.out, "platform: %s = %s\n", row.Key, formatValue(row))
		}
	}
}

func formatValue(row redwinghall.Row) string {
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

// Golden returns the contents of the golden file: the session with hashes replaced
// by placeholders.
func (s *Session) Golden() []byte {
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
