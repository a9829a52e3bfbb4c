package main

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
const stopTimeout = 30 * time.Second

// process is one process that the demo started.
type process struct {
	name   string
	cmd    *exec.Cmd
	log    string
	exited chan struct{}
	err    error
}

// processes are all that the demo started; only these are ever ended.
type processes struct {
	bin   string
	logs  string
	group *kernel.Group
	mu    sync.Mutex
	all   []*process
}

// start runs a program of the bin folder.
func (p *processes) start(name, program string, args ...string) (*process, error) {
	logPath := filepath.Join(p.logs, name+".log")
	log, err := os.Create(logPath)
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(filepath.Join(p.bin, program), args...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = append(os.Environ(), "RWH_PEER_TOKEN="+demoPeerToken, "RWH_OPERATOR_TOKEN="+demoOperatorToken)
	// Ctrl-C goes to the demo alone, which then stops its processes in order.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	one := &process{name: name, cmd: cmd, log: logPath, exited: make(chan struct{})}
	p.group.Go("demo.wait."+name, func(context.Context) error {
		one.err = cmd.Wait()
		close(one.exited)
		return log.Close()
	})
	p.mu.Lock()
	p.all = append(p.all, one)
	p.mu.Unlock()
	return one, nil
}

// failed returns an error when a process has ended that was not stopped.
func (p *processes) failed() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, one := range p.all {
		select {
		case <-one.exited:
			return fmt.Errorf("%s ended by itself (%w): %s", one.name, one.err, lastLine(one.log))
		default:
		}
	}
	return nil
}

func lastLine(path string) string {
	data, err := os.ReadFile(path)
	if err != nil {
		return err.Error()
	}
	const tail = 300
	return string(data[max(0, len(data)-tail):])
}

// stop ends one process by SIGTERM and forgets it.
func (p *processes) stop(one *process) error {
	p.mu.Lock()
	for i, other := range p.all {
		if other == one {
			p.all = append(p.all[:i], p.all[i+1:]...)
			break
		}
	}
	p.mu.Unlock()
	return one.terminate()
}

func (one *process) terminate() error {
	if err := one.cmd.Process.Signal(syscall.SIGTERM); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	select {
	case <-one.exited:
		return one.err
	case <-time.After(stopTimeout):
		_ = one.cmd.Process.Kill()
		<-one.exited
		return fmt.Errorf("%s did not stop within %s", one.name, stopTimeout)
	}
}

// stopAll ends everything that still runs, the last started first.
func (p *processes) stopAll() {
	p.mu.Lock()
	all := p.all
	p.all = nil
	p.mu.Unlock()
	for i := len(all) - 1; i >= 0; i-- {
		_ = all[i].cmd.Process.Signal(syscall.SIGTERM) // it may have ended
	}
	for i := len(all) - 1; i >= 0; i-- {
		_ = all[i].terminate()
	}
}
