// Package process starts, freezes and ends processes on this machine, for the
// demo, the measurements and tests with real processes. It ends only what it
// started.
package process

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"redwinghall/kernel"
)

// stopTimeout is how long a process may take after SIGTERM.
const stopTimeout = 60 * time.Second

// ErrKilled says that a process outlasted its grace.
var ErrKilled = errors.New("killed")

// Process is one process that was started.
type Process struct {
	Name    string
	program string
	cmd     *exec.Cmd
	log     string
	exited  chan struct{}
	err     error
}

// Set is a number of processes that end together.
type Set struct {
	bin   string
	logs  string
	env   []string
	group *kernel.Group
	mu    sync.Mutex
	all   []*Process
}

// NewSet returns a set whose programs are in bin, whose logs go to the folder
// logs, and whose environment has env besides this process's own.
func NewSet(bin, logs string, env ...string) *Set {
	return &Set{bin: bin, logs: logs, env: env, group: kernel.NewGroup(context.Background())}
}

// Start runs a program of the bin folder.
func (s *Set) Start(name, program string, args ...string) (*Process, error) {
	path := filepath.Join(s.logs, name+".log")
	log, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(filepath.Join(s.bin, program), args...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = append(os.Environ(), s.env...)
	// Ctrl-C goes to the starter alone, which then stops its processes in
	// order; when the starter dies, they die too.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, errors.Join(err, log.Close())
	}
	p := &Process{Name: name, program: program, cmd: cmd, log: path, exited: make(chan struct{})}
	s.group.Go("process.wait."+name, func(context.Context) error {
		p.err = cmd.Wait()
		close(p.exited)
		return log.Close()
	})
	s.mu.Lock()
	s.all = append(s.all, p)
	s.mu.Unlock()
	return p, nil
}

// PID returns the process's id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// UnexpectedExit returns an error when a process has ended that was not stopped.
func (s *Set) UnexpectedExit() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.all {
		select {
		case <-p.exited:
			return fmt.Errorf("%s ended by itself (%w): %s", p.Name, p.err, p.tail())
		default:
		}
	}
	return nil
}

const tailBytes = 300

func (p *Process) tail() string {
	data, err := os.ReadFile(p.log)
	if err != nil {
		return err.Error()
	}
	return string(data[max(0, len(data)-tailBytes):])
}

// forget takes a process out of the set.
func (s *Set) forget(p *Process) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, other := range s.all {
		if other == p {
			s.all = append(s.all[:i:i], s.all[i+1:]...)
			return
		}
	}
}

// Stop ends a process by SIGTERM and waits for it.
func (s *Set) Stop(p *Process) error { return s.StopWithin(p, stopTimeout) }

// StopWithin ends a process by SIGTERM, or by SIGKILL when it still runs after
// the grace, which is ErrKilled.
func (s *Set) StopWithin(p *Process, grace time.Duration) error {
	s.forget(p)
	return p.terminate(grace)
}

// Kill ends a process at once, as a lost VM does, and waits for it.
func (s *Set) Kill(p *Process) {
	s.forget(p)
	_ = p.cmd.Process.Kill() // it may have ended
	<-p.exited
}

// Freeze stops a process in the middle of whatever it does; Thaw lets it go on.
func (p *Process) Freeze() error { return p.cmd.Process.Signal(syscall.SIGSTOP) }

// Thaw lets a frozen process go on.
func (p *Process) Thaw() error { return p.cmd.Process.Signal(syscall.SIGCONT) }

// HangUp tells a process that its settings file has changed.
func (p *Process) HangUp() error { return p.cmd.Process.Signal(syscall.SIGHUP) }

func (p *Process) terminate(grace time.Duration) error {
	_ = p.cmd.Process.Signal(syscall.SIGTERM) // it may have ended
	select {
	case <-p.exited:
		return p.err
	case <-time.After(grace):
		_ = p.cmd.Process.Kill() // it may have ended
		<-p.exited
		return fmt.Errorf("%s did not stop within %s: %w", p.Name, grace, ErrKilled)
	}
}

// StopAll asks everything that still runs to stop, the last started first,
// and waits. Processes of one program stop together; a router drains towards
// its platform, so those of another program started before it wait.
func (s *Set) StopAll() {
	all := s.take()
	for end := len(all); end > 0; {
		first := end - 1
		for first > 0 && all[first-1].program == all[end-1].program {
			first--
		}
		for _, p := range all[first:end] {
			_ = p.cmd.Process.Signal(syscall.SIGTERM) // it may have ended
		}
		for _, p := range all[first:end] {
			_ = p.terminate(stopTimeout)
		}
		end = first
	}
}

// KillAll ends everything that still runs at once.
func (s *Set) KillAll() {
	all := s.take()
	for _, p := range all {
		_ = p.cmd.Process.Kill() // it may have ended
	}
	for _, p := range all {
		<-p.exited
	}
}

func (s *Set) take() []*Process {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := s.all
	s.all = nil
	return all
}
