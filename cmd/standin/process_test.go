package main_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall"
	"redwinghall/caller"
	"redwinghall/daemon"
	"redwinghall/kernel"
	"redwinghall/operator"
	"redwinghall/standin/layout"
	"redwinghall/standin/load"
	"redwinghall/standin/process"
	"redwinghall/standin/service"
	"redwinghall/standin/table"
	"redwinghall/tablehttp"
)

const (
	token     = "test-token-0123456789"
	waitLimit = 90 * time.Second // far beyond what any event needs
	account   = "hauliers"
)

var (
	bin    string
	worlds int
)

// TestMain builds the programs once; these tests run them as an entry VM does.
func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "redwinghall-test-")
	if err != nil {
		panic(err)
	}
	bin = dir
	for _, program := range []string{"router", "controller", "standin"} {
		cmd := exec.Command("go", "build", "-o", filepath.Join(dir, program), ".")
		cmd.Dir = filepath.Join("..", program)
		if out, err := cmd.CombinedOutput(); err != nil {
			panic(fmt.Sprintf("%s: %v: %s", program, err, out))
		}
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// world is a deployment of real processes.
type world struct {
	t         *testing.T
	layout    layout.Layout
	dir       string
	set       *process.Set
	processes map[string]*process.Process
	client    *http.Client
}

func newWorld(t *testing.T, l layout.Layout) *world {
	t.Helper()
	l.Name, l.Model, l.Service = "test", "chain-advice", "rental-desk"
	l.Base = 24000
	// An address of its own for each run and world: two runs do not meet.
	worlds++
	l.Host = fmt.Sprintf("127.%d.%d.%d", 130+os.Getpid()%100, 1+os.Getpid()/100%250, worlds)
	l.Accounts = redwinghall.ClientAccounts{layout.Account(account, 1, redwinghall.ClassInteractive)}
	l.ModelLimits = redwinghall.Model{MaxInFlight: 256, ColdInFlight: 256, WarmAfter: 1}
	l.TuneRouter = func(s *daemon.RouterSettings) {
		s.ExchangeInterval, s.HeadInterval = redwinghall.Duration(100*time.Millisecond), redwinghall.Duration(100*time.Millisecond)
		s.PollInterval, s.AliveBound = redwinghall.Duration(100*time.Millisecond), redwinghall.Duration(3*time.Second)
		s.DrainDelay = redwinghall.Duration(200 * time.Millisecond)
		s.RetryPercent = 100
	}
	l.TuneController = func(s *daemon.ControllerSettings) {
		s.ExchangeInterval, s.HeadInterval = redwinghall.Duration(100*time.Millisecond), redwinghall.Duration(100*time.Millisecond)
		s.StepInterval, s.AliveBound = redwinghall.Duration(100*time.Millisecond), redwinghall.Duration(3*time.Second)
		s.LeaseDuration, s.LeaseMargin = redwinghall.Duration(2*time.Second), redwinghall.Duration(500*time.Millisecond)
		s.LostAfter, s.SettleTime = redwinghall.Duration(2*time.Second), redwinghall.Duration(300*time.Millisecond)
		s.OrderTimeout = redwinghall.Duration(300 * time.Millisecond)
		s.MaxLoading = 50
	}
	w := &world{t: t, layout: l, dir: t.TempDir(), processes: map[string]*process.Process{}, client: load.NewClient()}
	w.set = process.NewSet(bin, w.dir, layout.PeerTokenVariable+"="+token, layout.OperatorTokenVariable+"="+token)
	t.Cleanup(func() {
		for _, p := range w.processes {
			_ = p.Thaw() // a frozen process could not end
		}
		w.set.KillAll()
	})
	require.NoError(t, l.Write(w.dir))
	for _, one := range l.Launches(w.dir) {
		w.start(one)
	}
	w.submit()
	return w
}

func (w *world) start(l layout.Launch) {
	w.t.Helper()
	p, err := w.set.Start(l.Name, l.Program, l.Args...)
	require.NoError(w.t, err)
	w.processes[l.Name] = p
}

func (w *world) eventually(what string, done func() bool) {
	w.t.Helper()
	require.Eventually(w.t, done, waitLimit, 10*time.Millisecond, what)
}

func (w *world) operator(pair int) *operator.Client {
	return operator.NewClient(w.layout.OperatorAddress(pair), token)
}

func (w *world) submit() {
	w.t.Helper()
	data, _, err := w.layout.Manifest("v1").Canonical()
	require.NoError(w.t, err)
	w.eventually("the manifest is accepted", func() bool {
		_, err := w.operator(0).SubmitManifest(w.t.Context(), operator.Submission{SubmitID: "first"}, data)
		return err == nil
	})
	w.eventually("every router books and answers", func() bool {
		for i := range w.layout.Pairs() {
			if r, err := w.post(i, fmt.Sprintf("warm-%d", i)); err != nil || r.status != http.StatusOK {
				return false
			}
			c := w.load(1, i)
			if load.Run(w.t.Context(), c).Correct != 1 {
				return false
			}
		}
		return true
	})
}

func (w *world) load(requests int, routers ...int) load.Config {
	c := load.Config{Key: layout.DemoKey(account), Model: w.layout.Model, Requests: requests, Workers: 8, Tokens: 8, Timeout: waitLimit}
	for _, i := range routers {
		c.Routers = append(c.Routers, w.layout.CallerAddress(i))
	}
	return c
}

type reply struct {
	status int
	code   redwinghall.Code
}

// post books under a key through one router.
func (w *world) post(router int, key string) (reply, error) {
	request, err := http.NewRequestWithContext(w.t.Context(), http.MethodPost,
		"http://"+w.layout.CallerAddress(router)+"/v1/services/"+w.layout.Service+"/deposits", strings.NewReader(`{"amount":50}`))
	if err != nil {
		return reply{}, err
	}
	request.Header.Set("Authorization", "Bearer "+layout.DemoKey(account))
	request.Header.Set(caller.HeaderIdempotency, key)
	response, err := w.client.Do(request)
	if err != nil {
		return reply{}, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	var refusal caller.Refusal
	_ = json.Unmarshal(data, &refusal) // an answer that ran has no code
	return reply{status: response.StatusCode, code: refusal.Error.Code}, err
}

// control sends a stand-in's control.
func (w *world) control(address, path string, body any) {
	w.t.Helper()
	data, err := json.Marshal(body)
	require.NoError(w.t, err)
	response, err := w.client.Post("http://"+address+path, "application/json", bytes.NewReader(data))
	require.NoError(w.t, err)
	require.NoError(w.t, response.Body.Close())
	require.Equal(w.t, http.StatusOK, response.StatusCode)
}

func (w *world) get(url string, out any) {
	w.t.Helper()
	response, err := w.client.Get("http://" + url)
	require.NoError(w.t, err)
	defer func() { _ = response.Body.Close() }()
	require.NoError(w.t, json.NewDecoder(response.Body).Decode(out))
}

// runs returns how often a key ran, over all zones.
func (w *world) runs(key string) int {
	w.t.Helper()
	n := 0
	for z := range w.layout.Zones {
		counts := map[string]int{}
		w.get(w.layout.ServiceAddress(z)+service.PathRuns, &counts)
		n += counts[key]
	}
	return n
}

func (w *world) claim(key string) redwinghall.Claim {
	w.t.Helper()
	rows, err := tablehttp.NewClient(w.layout.PlatformAddress()).Read(w.t.Context(), redwinghall.ClaimKey(account, w.layout.Service, key))
	require.NoError(w.t, err)
	var c redwinghall.Claim
	if rows[0].Version != 0 {
		require.NoError(w.t, json.Unmarshal(rows[0].Value, &c))
	}
	return c
}

func twoZones(t *testing.T) *world {
	t.Helper()
	return newWorld(t, layout.Layout{Zones: []string{"tartu", "parnu"}, PairsPerZone: 1,
		Domains: [][]int{{2}, {2}}, VMsPerGroup: 2, Replicas: 1})
}

// A haulier's router dies while the deposit is with the service.
// Order: claim, call, SIGKILL; the service still runs it; the haulier retries
// through the other zone. Judge: the service's count is one, and the retry is
// never told that it did not run.
func TestRouterKilledDuringTheCall(t *testing.T) {
	w := twoZones(t)
	w.control(w.layout.ServiceAddress(0), service.PathFaults, service.Faults{Delay: redwinghall.Duration(time.Second)})
	g := kernel.NewGroup(t.Context())
	g.Go("haulier", func(context.Context) error {
		_, err := w.post(0, "killed-1")
		if err == nil {
			t.Error("the router was to die before its answer")
		}
		return nil
	})
	w.eventually("the claim is held", func() bool { return w.claim("killed-1").State == redwinghall.ClaimHeld })
	time.Sleep(300 * time.Millisecond) // the call is with the service, or the router dies before it sends: both must hold
	w.set.Kill(w.processes[w.layout.RouterID(0)])
	require.NoError(t, g.Wait())
	r, err := w.post(1, "killed-1")
	require.NoError(t, err)
	require.Contains(t, []redwinghall.Code{redwinghall.CodeInProgress, redwinghall.CodeOutcomeUnknown}, r.code)
	time.Sleep(1500 * time.Millisecond) // the service's delay is over
	_, err = w.post(1, "killed-1")
	require.NoError(t, err)
	require.LessOrEqual(t, w.runs("killed-1"), 1)
}

// A router is frozen between its claim and its call, for longer than its
// caller waits, and thaws.
// Order: the claim's answer is held back; SIGSTOP; the answer comes; the
// haulier gives up and asks the other zone; SIGCONT.
// Judge: the thawed router does not send a call that nobody waits for, the
// key becomes free, and the deposit runs once under it.
func TestRouterFrozenBeforeTheCall(t *testing.T) {
	w := twoZones(t)
	w.control(w.layout.PlatformAddress(), table.PathFaults, table.Faults{HoldAnswers: true})
	ctx, cancel := context.WithCancel(t.Context())
	g := kernel.NewGroup(ctx)
	g.Go("haulier", func(context.Context) error {
		_, _ = w.post(0, "frozen-1") // it gets no answer
		return nil
	})
	w.eventually("the claim is held", func() bool { return w.claim("frozen-1").State == redwinghall.ClaimHeld })
	frozen := w.processes[w.layout.RouterID(0)]
	require.NoError(t, frozen.Freeze())
	w.control(w.layout.PlatformAddress(), table.PathFaults, table.Faults{})

	r, err := w.post(1, "frozen-1")
	require.NoError(t, err)
	require.Equal(t, redwinghall.CodeInProgress, r.code)
	time.Sleep(6 * time.Second) // the service's timeout in the manifest is 5 s
	require.NoError(t, frozen.Thaw())
	w.eventually("the key is free and the deposit runs", func() bool {
		r, err := w.post(1, "frozen-1")
		return err == nil && r.status == http.StatusOK
	})
	cancel()
	_ = g.Wait()
	require.Equal(t, 1, w.runs("frozen-1"))
}

// A zone's holder is frozen past its lease, another takes over, and the first
// thaws and goes on with what it was doing.
// Judge: the fencing number rises, groups stay whole, no VM is in two groups,
// and every answer stays whole all the time.
func TestHolderFrozenAcrossItsLapse(t *testing.T) {
	w := newWorld(t, layout.Layout{Zones: []string{"tartu"}, PairsPerZone: 2,
		Domains: [][]int{{7}}, VMsPerGroup: 2, Replicas: 3})
	var status operator.Status
	w.eventually("someone holds the lease", func() bool {
		var err error
		status, err = w.operator(0).Status(t.Context())
		return err == nil && status.LeaseHolder != ""
	})
	frozen := w.processes[status.LeaseHolder]
	other := 0
	if status.LeaseHolder == w.layout.ControllerID(0) {
		other = 1
	}
	require.NoError(t, frozen.Freeze())
	var after operator.Status
	w.eventually("the other holds the lease", func() bool {
		var err error
		after, err = w.operator(other).Status(t.Context())
		return err == nil && after.LeaseHolder == w.layout.ControllerID(other)
	})
	require.Greater(t, after.Fencing, status.Fencing)
	require.Equal(t, 20, load.Run(t.Context(), w.load(20, 0, 1)).Correct)
	require.NoError(t, frozen.Thaw())
	require.Equal(t, 20, load.Run(t.Context(), w.load(20, 0, 1)).Correct)
	w.eventually("the thawed one knows the new holder", func() bool {
		s, err := w.operator(1 - other).Status(t.Context())
		return err == nil && s.LeaseHolder == w.layout.ControllerID(other)
	})
	seen := map[string]string{}
	final, err := w.operator(other).Status(t.Context())
	require.NoError(t, err)
	for _, g := range final.Groups {
		for _, m := range g.Members {
			require.Empty(t, seen[m.VM], "%s is in two groups", m.VM)
			seen[m.VM] = g.ID
		}
	}
	require.Len(t, final.Groups, 3)
}

// A router is stopped as planned while it streams and books.
// Judge: every answer is whole, the booking has its answer, exit code 0.
func TestPlannedStopCutsNothingOff(t *testing.T) {
	w := twoZones(t)
	w.control(w.layout.ServiceAddress(0), service.PathFaults, service.Faults{Delay: redwinghall.Duration(time.Second)})
	g := kernel.NewGroup(t.Context())
	var booked reply
	g.Go("haulier", func(context.Context) error {
		var err error
		booked, err = w.post(0, "stop-1")
		return err
	})
	c := w.load(8, 0)
	c.Tokens = 2000
	result := make(chan load.Result, 1)
	g.Go("drivers", func(ctx context.Context) error {
		result <- load.Run(ctx, c)
		return nil
	})
	w.eventually("the booking is on its way", func() bool { return w.claim("stop-1").State == redwinghall.ClaimHeld })
	require.NoError(t, w.set.Stop(w.processes[w.layout.RouterID(0)]))
	require.NoError(t, g.Wait())
	require.Equal(t, http.StatusOK, booked.status)
	r := <-result
	require.Equal(t, r.Sent, r.Correct, r.String())
	require.Equal(t, redwinghall.ClaimRan, w.claim("stop-1").State)
}

// A manifest or a zone decision reverts when a process restarts, or is not in
// force in a zone that has lost the platform.
// Order: zone parnu goes out; the platform goes down; a router restarts with
// nothing but its peers. Judge: the restarted router has generation 1 and
// knows that its zone is out.
func TestRestartedRouterLearnsFromPeersWithoutThePlatform(t *testing.T) {
	w := newWorld(t, layout.Layout{Zones: []string{"tartu", "parnu"}, PairsPerZone: 2,
		Domains: [][]int{{2}, {2}}, VMsPerGroup: 2, Replicas: 1})
	_, err := w.operator(0).SetZone(t.Context(), operator.Submission{SubmitID: "out"}, "parnu", redwinghall.ZoneOut)
	require.NoError(t, err)
	w.control(w.layout.PlatformAddress(), table.PathFaults, table.Faults{Down: true})
	const pair = 3
	w.set.Kill(w.processes[w.layout.RouterID(pair)])
	w.start(layout.Launch{Name: w.layout.RouterID(pair), Program: "router",
		Args: []string{"--settings", filepath.Join(w.dir, w.layout.RouterID(pair)+".json")}})
	w.eventually("the restarted router knows the manifest and that its zone is out", func() bool {
		response, err := w.client.Get("http://" + w.layout.CallerAddress(pair) + "/readyz")
		if err != nil {
			return false
		}
		defer func() { _ = response.Body.Close() }()
		data, err := io.ReadAll(response.Body)
		return err == nil && response.Header.Get(caller.HeaderGeneration) == "1" && strings.Contains(string(data), "out of service")
	})
	require.Equal(t, 10, load.Run(t.Context(), w.load(10, pair)).Correct, "its callers are served in the other zone")
	w.eventually("it says since when the platform does not answer", func() bool {
		status, err := w.operator(pair).Status(t.Context())
		return err == nil && status.PlatformUnreachableSince != nil
	})
}
