package soak

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
)

// panicEvents are the log events of a panic, after which a node goes on.
var panicEvents = [][]byte{[]byte(`"part_panicked"`), []byte(`"request_panicked"`)}

// checkPanics returns a violation for each panic in the nodes' logs.
func (d *deployment) checkPanics() []string {
	paths, err := filepath.Glob(filepath.Join(d.config.Dir, "*.log"))
	if err != nil {
		return []string{err.Error()}
	}
	var violations []string
	for _, path := range paths {
		text, err := os.ReadFile(path) //nolint:gosec // the run wrote it
		if err != nil {
			violations = append(violations, err.Error())
			continue
		}
		for _, line := range bytes.Split(text, []byte("\n")) {
			for _, event := range panicEvents {
				if bytes.Contains(line, event) {
					violations = append(violations, fmt.Sprintf("%s: %s", filepath.Base(path), line))
				}
			}
		}
	}
	return violations
}
