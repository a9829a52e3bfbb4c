// Package configcheck finds what is wrong with a configuration before it is sent:
// errors, entries that can never take effect, limits that contradict each other, and
// what differs from the configuration in force. It does no I/O.
package configcheck

import "fmt"

// Severity says what becomes of a configuration with a finding.
type Severity string

// The severities.
const (
	// Error: the configuration can't be used as it is written.
	Error Severity = "error"
	// Warning: the configuration can be used, but a part of it has no effect or surprises.
	Warning Severity = "warning"
)

// Finding is one thing that is wrong with a configuration.
type Finding struct {
	Severity Severity `json:"severity"`
	// Subject is the entry, such as "route checkout".
	Subject string `json:"subject"`
	Message string `json:"message"`
}

// String returns the finding on one line.
func (f Finding) String() string { return fmt.Sprintf("%s: %s: %s", f.Severity, f.Subject, f.Message) }

// Findings lists what is wrong with a configuration.
type Findings []Finding

// HasErrors reports whether any finding is an error.
func (f Findings) HasErrors() bool {
	for _, one := range f {
		if one.Severity == Error {
			return true
		}
	}
	return false
}

func (f *Findings) error(subject, format string, args ...any) {
	*f = append(*f, Finding{Severity: Error, Subject: subject, Message: fmt.Sprintf(format, args...)})
}

func (f *Findings) warning(subject, format string, args ...any) {
	*f = append(*f, Finding{Severity: Warning, Subject: subject, Message: fmt.Sprintf(format, args...)})
}
