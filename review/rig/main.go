// Command rig runs one case of the review: the stand-ins of the store, the servers and the clients, and nodes of the
// system as separate processes.
package main

import (
	"fmt"
	"os"
	"runtime"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	held      = 0
	broken    = 1
	notRun    = 2
	timeLimit = 118 * time.Second
)

var (
	started  = time.Now()
	recordMu sync.Mutex
	record   *os.File
)

// note writes a line to the record.
func note(format string, args ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	_, _ = fmt.Fprintf(record, "%8.3f  %s\n", time.Since(started).Seconds(), fmt.Sprintf(format, args...))
}

func check(err error) {
	if err != nil {
		couldNotRun("%v", err)
	}
}

func couldNotRun(format string, args ...any) {
	note("the case could not run: "+format, args...)
	endProcesses()
	os.Exit(notRun)
}

// finish ends the case.
func finish(code int) {
	endProcesses()
	note("exit %d", code)
	os.Exit(code)
}

func main() {
	runtime.LockOSThread() // the nodes end with the thread that started them
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD FOLDER")
		os.Exit(notRun)
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	record = file
	time.AfterFunc(timeLimit, func() { couldNotRun("it takes too long") })
	trouble := os.Getenv("TROUBLE") != "0"
	note("case %s, trouble %t", os.Args[1], trouble)
	cases := map[string]func(folder string, trouble bool) int{"gone": goneAfterCut, "early": answerEndsEarly}
	one, ok := cases[os.Args[1]]
	if !ok {
		couldNotRun("no such case")
	}
	finish(one(os.Args[3], trouble))
}

// configuration returns the operators' configuration with one service.
func configuration(version int) map[string]any {
	route := func(name, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": "r-" + name, "host": "depot.example", "prefix": "/" + name + "/", "kind": kind, "timeout_ms": 1500, "latency_goal_ms": 300,
			"priority": 2, "service": "desk", "max_attempts": attempts, "public": false, "sticky": false, "resumable": false,
		}
	}
	advice := route("advice", "streaming", 2)
	advice["resumable"], advice["gap_target_ms"], advice["timeout_ms"] = true, 250, 8000
	return map[string]any{
		"version": version,
		"routes":  []any{route("book", "unsafe", 1), route("stock", "safe", 2), advice},
		"services": []any{
			map[string]any{"name": "desk", "health_check_path": "/health", "connection_limit": 96, "protocol": "h1", "tls": false, "cold_start_s": 0.0, "cold_per_s": 0.0},
		},
		"limits":  map[string]any{"header_bytes": 16384, "body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "hauliers", "api_keys": []string{"key-hauliers"}, "priority": 1}},
	}
}
