// Package process starts, suspends and stops local processes for the demo, the
// measurements and tests with real processes. It signals only processes that
// it started.
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

// stopTimeout is how long a process may take to exit after SIGTERM.
const stopTimeout = 60 * time.Second

// ErrKilled reports that a process did not exit within its grace period and
// was killed.
var ErrKilled = errors.New("killed")

// Process is a process started by a Set.
type Process struct {
	Name    string
	program string
	cmd     *exec.Cmd
	logPath string
	output  *output
	exited  chan struct{}
	// err and exitedAt are written before exited is closed.
	err      error
	exitedAt time.Time
}

// Set is a set of processes that can be stopped together.
type Set struct {
	bin       string
	logs      string
	env       []string
	group     *kernel.Group
	mu        sync.Mutex
	processes []*Process
}

// NewSet returns an empty set. Its programs are in the folder bin, their logs
// go to the folder logs, and env is added to the environment of this process.
func NewSet(bin, logs string, env ...string) *Set {
	return &Set{bin: bin, logs: logs, env: env, group: kernel.NewGroup(context.Background())}
}

// Start starts a program from the folder bin. Its output is appended to
// NAME.log.
func (s *Set) Start(name, program string, args ...string) (*Process, error) {
	return s.start(name, program, false, args)
}

// StartPiped starts a program like Start, but its standard output goes through a pipe,
// which CloseOutput closes.
func (s *Set) StartPiped(name, program string, args ...string) (*Process, error) {
	return s.start(name, program, true, args)
}

func (s *Set) start(name, program string, piped bool, args []string) (*Process, error) {
	path := filepath.Join(s.logs, name+".log")
	out, err := openOutput(path, piped)
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(filepath.Join(s.bin, program), args...)
	cmd.Stdout, cmd.Stderr = out.stdout(), out.log
	cmd.Env = append(os.Environ(), s.env...)
	// A process group of its own keeps Ctrl-C from the child: the parent gets
	// SIGINT alone and stops its children in order. Pdeathsig kills the child
	// when the parent dies.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	err = cmd.Start()
	out.started(s.group, name)
	if err != nil {
		return nil, errors.Join(err, out.close())
	}
	p := &Process{Name: name, program: program, cmd: cmd, logPath: path, output: out, exited: make(chan struct{})}
	s.group.Go("process.wait."+name, func(context.Context) error {
		p.err = cmd.Wait()
		p.exitedAt = time.Now()
		err := out.close()
		close(p.exited)
		return err
	})
	s.mu.Lock()
	s.processes = append(s.processes, p)
	s.mu.Unlock()
	return p, nil
}

// PID returns the process ID.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// UnexpectedExit returns an error if a process has exited that was not stopped
// through the set. The error contains the end of its log.
func (s *Set) UnexpectedExit() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.processes {
		select {
		case <-p.exited:
			return fmt.Errorf("%s exited unexpectedly (%w): %s", p.Name, p.err, p.tail())
		default:
		}
	}
	return nil
}

const tailBytes = 300

func (p *Process) tail() string {
	data, err := os.ReadFile(p.logPath)
	if err != nil {
		return err.Error()
	}
	return string(data[max(0, len(data)-tailBytes):])
}

// remove removes a process from the set.
func (s *Set) remove(p *Process) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, other := range s.processes {
		if other == p {
			s.processes = append(s.processes[:i:i], s.processes[i+1:]...)
			return
		}
	}
}

// Stop sends SIGTERM to a process and waits until it has exited.
func (s *Set) Stop(p *Process) error { return s.StopWithin(p, stopTimeout) }

// StopWithin sends SIGTERM to a process and waits until it has exited. After
// the grace period it sends SIGKILL and returns ErrKilled.
func (s *Set) StopWithin(p *Process, grace time.Duration) error {
	s.remove(p)
	return p.terminate(grace)
}

// Kill sends SIGKILL to a process and waits until it has exited. It simulates
// the loss of a VM.
func (s *Set) Kill(p *Process) {
	s.remove(p)
	_ = p.cmd.Process.Kill() // it may have exited
	<-p.exited
}

// Freeze suspends a process with SIGSTOP until Thaw.
func (p *Process) Freeze() error { return p.cmd.Process.Signal(syscall.SIGSTOP) }

// Thaw resumes a frozen process with SIGCONT.
func (p *Process) Thaw() error { return p.cmd.Process.Signal(syscall.SIGCONT) }

// HangUp sends SIGHUP, on which a process reloads its settings file.
func (p *Process) HangUp() error { return p.cmd.Process.Signal(syscall.SIGHUP) }

func (p *Process) terminate(grace time.Duration) error {
	_ = p.cmd.Process.Signal(syscall.SIGTERM) // it may have exited
	select {
	case <-p.exited:
		return p.err
	case <-time.After(grace):
		_ = p.cmd.Process.Kill() // it may have exited
		<-p.exited
		return fmt.Errorf("%s did not exit within %s: %w", p.Name, grace, ErrKilled)
	}
}

// StopAll stops all processes of the set in reverse order of their start, and
// waits until they have exited. Consecutive processes of one program are
// stopped at the same time. Processes of other programs that were started
// earlier keep running meanwhile: a router needs the platform while it drains.
func (s *Set) StopAll() {
	all := s.removeAll()
	for end := len(all); end > 0; {
		first := end - 1
		for first > 0 && all[first-1].program == all[end-1].program {
			first--
		}
		for _, p := range all[first:end] {
			_ = p.cmd.Process.Signal(syscall.SIGTERM) // it may have exited
		}
		for _, p := range all[first:end] {
			_ = p.terminate(stopTimeout)
		}
		end = first
	}
}

// KillAll sends SIGKILL to all processes of the set and waits until they have
// exited.
func (s *Set) KillAll() {
	all := s.removeAll()
	for _, p := range all {
		_ = p.cmd.Process.Kill() // it may have exited
	}
	for _, p := range all {
		<-p.exited
	}
}

func (s *Set) removeAll() []*Process {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := s.processes
	s.processes = nil
	return all
}
