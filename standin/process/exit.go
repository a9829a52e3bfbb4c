package process

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Exited returns a channel that is closed when the process has exited.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// Err returns how a process has exited: nil for status 0. It is valid after Exited.
func (p *Process) Err() error { return p.err }

// ExitedAt returns when a process has exited. It is valid after Exited.
func (p *Process) ExitedAt() time.Time { return p.exitedAt }

// EndedBy reports whether a process that has exited was ended by a signal.
func (p *Process) EndedBy(signal syscall.Signal) bool {
	status, ok := p.cmd.ProcessState.Sys().(syscall.WaitStatus)
	return ok && status.Signaled() && status.Signal() == signal
}

// Describe returns the exit of a process in words, with the end of its log.
func (p *Process) Describe() string {
	status := "exit status 0"
	if p.err != nil {
		status = p.err.Error()
	}
	return fmt.Sprintf("%s (pid %d) ended at %s with %s, end of its log: %s", p.Name, p.PID(), p.exitedAt.Format("15:04:05.000"), status, p.tail())
}

// Signal sends a signal. The process may have exited.
func (p *Process) Signal(signal syscall.Signal) { _ = p.cmd.Process.Signal(signal) }

// Forget removes a process from the set, which then neither reports nor stops it.
func (s *Set) Forget(p *Process) { s.remove(p) }

// TakeUnexpectedExits removes the processes from the set that have exited and were not
// stopped through it, and returns them.
func (s *Set) TakeUnexpectedExits() []*Process {
	s.mu.Lock()
	defer s.mu.Unlock()
	var exited, running []*Process
	for _, p := range s.processes {
		select {
		case <-p.exited:
			exited = append(exited, p)
		default:
			running = append(running, p)
		}
	}
	s.processes = running
	return exited
}

// Handles reports whether the process has a handler for a signal or ignores it. A new
// process has neither until its program's first instructions run.
func (p *Process) Handles(signal syscall.Signal) bool {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.PID()))
	if err != nil {
		return false
	}
	for line := range strings.Lines(string(data)) {
		name, value, _ := strings.Cut(line, ":")
		if name != "SigCgt" && name != "SigIgn" {
			continue
		}
		mask, err := strconv.ParseUint(strings.TrimSpace(value), 16, 64)
		if err == nil && mask&(1<<(signal-1)) != 0 {
			return true
		}
	}
	return false
}
