package main_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/kernel"
	"redwinghall/platform"
	"redwinghall/platform/platformtest"
	"redwinghall/rwhtest/loopback"
)

const waitTime = 15 * time.Second

// build builds the program once for all tests.
var build = sync.OnceValues(func() (string, error) {
	program := filepath.Join(os.TempDir(), fmt.Sprintf("rwh-node-test-%d", os.Getpid()))
	out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return program, nil
})

func TestMain(m *testing.M) {
	code := m.Run()
	if program, err := build(); err == nil {
		_ = os.Remove(program) // a temporary file
	}
	os.Exit(code)
}

// nodeProcess is the program as a process of its own, with a fake store.
type nodeProcess struct {
	t        *testing.T
	cmd      *exec.Cmd
	settings platformtest.NodeSettings
	path     string // of the settings file
	log      string // path of the file that gets standard output unless a test sets another
	errLog   string
	exited   chan error
}

// newNodeProcess prepares a process and writes its settings file.
func newNodeProcess(t *testing.T) *nodeProcess {
	t.Helper()
	program, err := build()
	require.NoError(t, err)
	store := platformtest.NewStore()
	t.Cleanup(store.Close)
	require.NoError(t, store.PutConfiguration(platformtest.Configuration(1, "key-1")))
	host := loopback.Host() // its own, as a node serves its metrics on a fixed port
	dir := t.TempDir()
	p := &nodeProcess{
		t: t, path: filepath.Join(dir, "node.conf"), log: filepath.Join(dir, "out"), errLog: filepath.Join(dir, "err"),
		exited: make(chan error, 1),
		settings: platformtest.NodeSettings{
			Node: "n1", Zone: "a", Zones: []string{"a"}, IP: host, FirstInternalPort: freePort(t, host),
			CallerAddress: freeAddress(t, host), ReadinessAddress: freeAddress(t, host), StoreAddress: store.Address(),
		},
	}
	require.NoError(t, os.WriteFile(p.path, []byte(p.settings.Text()), 0o600))
	p.cmd = exec.Command(program, "--settings", p.path)
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return p
}

func freeAddress(t *testing.T, host string) string {
	t.Helper()
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	require.NoError(t, err)
	defer func() { require.NoError(t, listener.Close()) }()
	return listener.Addr().String()
}

func freePort(t *testing.T, host string) int {
	t.Helper()
	address, err := net.ResolveTCPAddr("tcp", freeAddress(t, host))
	require.NoError(t, err)
	return address.Port
}

// start starts the process, which is killed when the test ends.
func (p *nodeProcess) start() {
	p.t.Helper()
	if p.cmd.Stdout == nil {
		p.cmd.Stdout = p.create(p.log)
	}
	if p.cmd.Stderr == nil {
		p.cmd.Stderr = p.create(p.errLog)
	}
	require.NoError(p.t, p.cmd.Start())
	g := kernel.NewGroup(context.Background())
	g.Go("wait", func(context.Context) error { p.exited <- p.cmd.Wait(); return nil })
	p.t.Cleanup(func() {
		_ = p.cmd.Process.Kill() // fails if it has exited
		require.NoError(p.t, g.Wait())
	})
}

func (p *nodeProcess) create(path string) *os.File {
	p.t.Helper()
	file, err := os.Create(path)
	require.NoError(p.t, err)
	p.t.Cleanup(func() { require.NoError(p.t, file.Close()) })
	return file
}

func (p *nodeProcess) ready() bool {
	response, err := http.Get("http://" + p.settings.ReadinessAddress + platform.PathReadiness)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }() // the body isn't read
	return response.StatusCode == http.StatusOK
}

func (p *nodeProcess) waitReady() {
	p.t.Helper()
	require.Eventually(p.t, p.ready, waitTime, 10*time.Millisecond, "the node isn't ready")
}

func (p *nodeProcess) signal(s os.Signal) {
	p.t.Helper()
	require.NoError(p.t, p.cmd.Process.Signal(s))
}

// requireRuns fails if the process exits within some time.
func (p *nodeProcess) requireRuns(within time.Duration) {
	p.t.Helper()
	select {
	case err := <-p.exited:
		require.Fail(p.t, "the process ended by itself", "%v", err)
	case <-time.After(within):
	}
}

// requireStops ends the process as operators do.
func (p *nodeProcess) requireStops() {
	p.t.Helper()
	p.signal(syscall.SIGTERM)
	p.requireExit(0)
}

func (p *nodeProcess) requireExit(code int) {
	p.t.Helper()
	select {
	case err := <-p.exited:
		require.Equal(p.t, code, p.cmd.ProcessState.ExitCode(), "%v", err)
	case <-time.After(waitTime):
		require.Fail(p.t, "the process doesn't exit")
	}
}

// text returns what a file holds by now.
func (p *nodeProcess) text(path string) string {
	p.t.Helper()
	data, err := os.ReadFile(path)
	require.NoError(p.t, err)
	return string(data)
}
