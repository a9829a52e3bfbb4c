// Package logtest gives tests the log lines of their process.
package logtest

import (
	"flag"
	"os"
	"strings"
	"sync"
	"testing"

	"k8s.io/klog/v2"
)

// Log holds the lines that were written since it was opened.
type Log struct {
	mu    sync.Mutex
	lines []string
}

// output is what klog writes to. It passes all lines on to standard error.
var output struct {
	once sync.Once
	mu   sync.Mutex
	logs map[*Log]bool
}

type writer struct{}

// Write implements io.Writer for one line.
func (writer) Write(line []byte) (int, error) {
	output.mu.Lock()
	defer output.mu.Unlock()
	for log := range output.logs {
		log.add(string(line))
	}
	return os.Stderr.Write(line)
}

// Open returns a log of all lines of this process from now to the end of the test. Tests that run at
// the same time see each other's lines.
func Open(t testing.TB) *Log {
	t.Helper()
	output.once.Do(redirect)
	log := &Log{}
	output.mu.Lock()
	defer output.mu.Unlock()
	if output.logs == nil {
		output.logs = map[*Log]bool{}
	}
	output.logs[log] = true
	t.Cleanup(func() {
		output.mu.Lock()
		defer output.mu.Unlock()
		delete(output.logs, log)
	})
	return log
}

func redirect() {
	set := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(set)
	for name, value := range map[string]string{"logtostderr": "false", "stderrthreshold": "FATAL", "one_output": "true"} {
		_ = set.Set(name, value) // klog defines all of these flags
	}
	klog.SetOutput(writer{})
}

func (l *Log) add(line string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = append(l.lines, line)
}

// Lines returns the lines of an event that contain all given texts.
func (l *Log) Lines(event string, texts ...string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []string
	for _, line := range l.lines {
		if strings.Contains(line, `] "`+event+`"`) && containsAll(line, texts) {
			found = append(found, line)
		}
	}
	return found
}

func containsAll(line string, texts []string) bool {
	for _, text := range texts {
		if !strings.Contains(line, text) {
			return false
		}
	}
	return true
}
