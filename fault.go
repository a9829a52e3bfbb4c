package redwinghall

import (
	"fmt"
	"regexp"
	"sort"
	"strings"
	"time"
)

// Fault is one thing wrong with an input: where it stands and a sentence that
// says what is wanted.
type Fault struct {
	Path    string `json:"path"`
	Message string `json:"message"`
}

// Faults lists everything wrong with one input, so that its writer can mend it
// in one go.
type Faults []Fault

// With returns the list with one more fault.
func (f Faults) With(path, format string, args ...any) Faults {
	return append(f[:len(f):len(f)], Fault{Path: path, Message: fmt.Sprintf(format, args...)})
}

// Sorted returns the list ordered by path, so that output is stable.
func (f Faults) Sorted() Faults {
	out := append(Faults(nil), f...)
	sort.SliceStable(out, func(i, j int) bool { return out[i].Path < out[j].Path })
	return out
}

// Err returns nil for an empty list, and the list as an error otherwise.
func (f Faults) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

// Error returns one line for each fault.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f))
	for _, one := range f {
		lines = append(lines, one.Path+": "+one.Message)
	}
	return strings.Join(lines, "\n")
}

// identifierPattern bounds what may stand in a table key, a metric name or a
// URL path without escaping.
var identifierPattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// Identifier adds a fault unless id is 1 to 63 characters of a-z, 0-9, dot,
// underscore and hyphen, starting with a letter or digit.
func (f Faults) Identifier(path, id string) Faults {
	if identifierPattern.MatchString(id) {
		return f
	}
	return f.With(path, "want 1 to 63 characters of a-z, 0-9, '.', '_' and '-', got %q", id)
}

// Between adds a fault unless low <= v <= high.
func (f Faults) Between(path string, v, low, high int) Faults {
	if v >= low && v <= high {
		return f
	}
	return f.With(path, "want a number from %d to %d, got %d", low, high, v)
}

// DurationBetween adds a fault unless low <= v <= high.
func (f Faults) DurationBetween(path string, v Duration, low, high time.Duration) Faults {
	if v.Std() >= low && v.Std() <= high {
		return f
	}
	return f.With(path, "want a duration from %s to %s, got %s", low, high, v.Std())
}
