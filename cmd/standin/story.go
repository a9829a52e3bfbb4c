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

// Tokens of the demo's processes; they guard nothing beyond loopback.
const (
	demoPeerToken     = "demo-peer-token-0123456789"
	demoOperatorToken = "demo-operator-token-0123456789"
)

const (
	waitLimit    = 60 * time.Second
	pollInterval = 50 * time.Millisecond
)

// story is a running deployment and what the demo's steps need of it.
type story struct {
	ctx        context.Context
	layout     layout.Layout
	example    string
	bin        string
	processes  *process.Set
	routers    []*process.Process
	client     *http.Client
	generation uint64
}

func newStory(ctx context.Context, bin, example, logs string) (*story, error) {
	name := filepath.Base(example)
	for _, l := range examples() {
		if l.Name == name {
			return &story{
				ctx: ctx, layout: l, example: example, bin: bin, client: load.NewClient(),
				processes: process.NewSet(bin, logs, layout.PeerTokenVariable+"="+demoPeerToken,
					layout.OperatorTokenVariable+"="+demoOperatorToken),
			}, nil
		}
	}
	return nil, fmt.Errorf("there is no example named %q", name)
}

// wait polls until done, and fails when a process ended by itself.
func (s *story) wait(what string, done func() bool) error {
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
	return fmt.Errorf("not seen within %s: %s", waitLimit, what)
}

func (s *story) status(address, path string) int {
	response, err := s.client.Get("http://" + address + path)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// ctl runs rwhctl; a refusal's text is in the error.
func (s *story) ctl(args ...string) error {
	cmd := exec.CommandContext(s.ctx, filepath.Join(s.bin, "rwhctl"),
		append([]string{"--controller", s.layout.OperatorAddress(0)}, args...)...)
	cmd.Env = append(cmd.Environ(), "RWH_OPERATOR_TOKEN="+demoOperatorToken)
	output, err := cmd.CombinedOutput()
	if err != nil {
		return fmt.Errorf("rwhctl %s: %w: %s", strings.Join(args, " "), err, output)
	}
	return nil
}

func (s *story) operators(pair int) *operator.Client {
	return operator.NewClient(s.layout.OperatorAddress(pair), demoOperatorToken)
}

func (s *story) loadConfig(requests int, routers ...int) load.Config {
	c := load.Config{
		Key: layout.DemoKey(s.layout.Accounts[0].ID), Model: s.layout.Model,
		Requests: requests, Workers: 12, Tokens: 24, Timeout: 30 * time.Second, Seed: requests,
	}
	for _, i := range routers {
		c.Routers = append(c.Routers, s.layout.CallerAddress(i))
	}
	return c
}

func (s *story) allRouters() []int {
	var out []int
	for i := range s.layout.Pairs() {
		out = append(out, i)
	}
	return out
}

// post books under a key through one router and returns the status and
// whether the answer was a replay.
func (s *story) post(router int, key, body string) (int, string, error) {
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

func (s *story) runs(zone int) (map[string]int, error) {
	out := map[string]int{}
	return out, s.get(s.layout.ServiceAddress(zone)+service.PathRuns, &out)
}

func (s *story) get(url string, out any) error {
	response, err := s.client.Get("http://" + url)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	return json.NewDecoder(response.Body).Decode(out)
}

func (s *story) record() (engine.Record, error) {
	var out engine.Record
	return out, s.get(s.layout.EngineControlAddress()+engine.PathRecord, &out)
}
