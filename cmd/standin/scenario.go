package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"redwinghall/operator"
	"redwinghall/standin/engine"
	"redwinghall/standin/layout"
	"redwinghall/standin/load"
	"redwinghall/standin/process"
	"redwinghall/standin/service"
)

// Tokens of the demo's processes. They need not be secret: all processes listen
// on loopback.
const (
	demoPeerToken     = "demo-peer-token-0123456789"
	demoOperatorToken = "demo-operator-token-0123456789"
)

const (
	waitLimit    = 60 * time.Second
	pollInterval = 50 * time.Millisecond
)

// scenario is a running deployment and the state that the demo's steps share.
type scenario struct {
	ctx        context.Context
	layout     layout.Layout
	example    string
	bin        string
	processes  *process.Set
	routers    []*process.Process
	client     *http.Client
	generation uint64
}

func newScenario(ctx context.Context, bin, example, logs string) (*scenario, error) {
	name := filepath.Base(example)
	for _, l := range examples() {
		if l.Name == name {
			return &scenario{
				ctx: ctx, layout: l, example: example, bin: bin, client: load.NewClient(),
				processes: process.NewSet(bin, logs, layout.PeerTokenVariable+"="+demoPeerToken,
					layout.OperatorTokenVariable+"="+demoOperatorToken),
			}, nil
		}
	}
	return nil, fmt.Errorf("no example named %q", name)
}

// waitFor polls until done returns true. It fails if a process exited
// unexpectedly.
func (s *scenario) waitFor(what string, done func() bool) error {
	deadline := time.Now().Add(waitLimit)
	for time.Now().Before(deadline) && s.ctx.Err() == nil {
		if err := s.processes.UnexpectedExit(); err != nil {
			return err
		}
		if done() {
			return nil
		}
		time.Sleep(pollInterval)
	}
	return fmt.Errorf("timed out after %s waiting for: %s", waitLimit, what)
}

func (s *scenario) status(address, path string) int {
	response, err := s.client.Get("http://" + address + path)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// rwhctl runs rwhctl. Its output is part of the error.
func (s *scenario) rwhctl(args ...string) error {
	cmd := exec.CommandContext(s.ctx, filepath.Join(s.bin, "rwhctl"),
		append([]string{"--controller", s.layout.OperatorAddress(0)}, args...)...)
	cmd.Env = append(cmd.Environ(), "RWH_OPERATOR_TOKEN="+demoOperatorToken)
	output, err := cmd.CombinedOutput()
	if err != nil {
		return fmt.Errorf("rwhctl %s: %w: %s", strings.Join(args, " "), err, output)
	}
	return nil
}

func (s *scenario) operatorClient(pair int) *operator.Client {
	return operator.NewClient(s.layout.OperatorAddress(pair), demoOperatorToken)
}

func (s *scenario) loadConfig(requests int, routers ...int) load.Config {
	c := load.Config{
		Key: layout.DemoKey(s.layout.Accounts[0].ID), Model: s.layout.Model,
		Requests: requests, Workers: 12, Tokens: 24, Timeout: 30 * time.Second, Seed: requests,
	}
	for _, i := range routers {
		c.Routers = append(c.Routers, s.layout.CallerAddress(i))
	}
	return c
}

func (s *scenario) allRouters() []int {
	var out []int
	for i := range s.layout.Pairs() {
		out = append(out, i)
	}
	return out
}

// postDeposit sends a deposit under an idempotency key through one router and
// returns the status and the body of the response.
func (s *scenario) postDeposit(router int, key, body string) (int, string, error) {
	request, err := http.NewRequestWithContext(s.ctx, http.MethodPost,
		"http://"+s.layout.CallerAddress(router)+"/v1/services/"+s.layout.Service+"/deposits", strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	request.Header.Set("Authorization", "Bearer "+layout.DemoKey(s.layout.Accounts[1].ID))
	request.Header.Set("Idempotency-Key", key)
	response, err := s.client.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, string(data), err
}

func (s *scenario) runs(zone int) (map[string]int, error) {
	out := map[string]int{}
	return out, s.get(s.layout.ServiceAddress(zone)+service.PathRuns, &out)
}

func (s *scenario) get(url string, out any) error {
	response, err := s.client.Get("http://" + url)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	return json.NewDecoder(response.Body).Decode(out)
}

func (s *scenario) record() (engine.Record, error) {
	var out engine.Record
	return out, s.get(s.layout.EngineControlAddress()+engine.PathRecord, &out)
}
