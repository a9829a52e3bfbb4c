package redwinghall

import (
	"fmt"
	"regexp"
	"sort"
	"strings"
	"time"
)

// Fault is one validation error of an input: the path of the field, and a
// message that says what is expected.
type Fault struct {
	Path    string `json:"path"`
	Message string `json:"message"`
}

// Faults lists all validation errors of one input, so that all of them can be
// corrected at once.
type Faults []Fault

// With returns the list with one more error; the message is formatted as by
// fmt.Sprintf.
func (f Faults) With(path, format string, args ...any) Faults {
	return append(f[:len(f):len(f)], Fault{Path: path, Message: fmt.Sprintf(format, args...)})
}

// Sorted returns the list ordered by path, so that the output is stable.
func (f Faults) Sorted() Faults {
	out := append(Faults(nil), f...)
	sort.SliceStable(out, func(i, j int) bool { return out[i].Path < out[j].Path })
	return out
}

// Err returns nil if the list is empty, and the list otherwise.
func (f Faults) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

// Error returns one line for each validation error.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f))
	for _, one := range f {
		lines = append(lines, one.Path+": "+one.Message)
	}
	return strings.Join(lines, "\n")
}

// identifierPattern matches names that need no escaping in a table key, a metric
// name or a URL path.
var identifierPattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// Identifier adds an error unless id consists of 1 to 63 characters of a-z, 0-9,
// dot, underscore and hyphen, and starts with a letter or digit.
func (f Faults) Identifier(path, id string) Faults {
	if identifierPattern.MatchString(id) {
		return f
	}
	return f.With(path, "want 1 to 63 characters of a-z, 0-9, '.', '_' and '-', got %q", id)
}

// Between adds an error unless low <= v <= high.
func (f Faults) Between(path string, v, low, high int) Faults {
	if v >= low && v <= high {
		return f
	}
	return f.With(path, "want a number from %d to %d, got %d", low, high, v)
}

// DurationBetween adds an error unless low <= v <= high.
func (f Faults) DurationBetween(path string, v Duration, low, high time.Duration) Faults {
	if v.Std() >= low && v.Std() <= high {
		return f
	}
	return f.With(path, "want a duration from %s to %s, got %s", low, high, v.Std())
}
