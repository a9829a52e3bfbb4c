package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"path/filepath"
	"strings"
	"sync/atomic"
	"time"

	"redwinghall"
	"redwinghall/kernel"
	"redwinghall/operator"
	"redwinghall/standin/engine"
	"redwinghall/standin/load"
)

func steps() []step {
	return []step{
		{"start stand-ins, 6 controllers, 6 routers", (*scenario).startAll},
		{"a malformed manifest is refused", (*scenario).refuseMalformed},
		{"submit the manifest", (*scenario).submitManifest},
		{"groups form in every zone", (*scenario).waitForGroups},
		{"callers are served through every router", (*scenario).serveCallers},
		{"a deposit sent three times is executed once", (*scenario).depositOnce},
		{"of two concurrent submissions, one is accepted", (*scenario).raceSubmissions},
		{"a VM is killed: responses stay complete", (*scenario).killVM},
		{"a zone is taken out of service: no new requests there", (*scenario).takeZoneOut},
		{"the zone is put back into service", (*scenario).takeZoneIn},
		{"a router is stopped: responses stay complete", (*scenario).stopRouter},
		{"stop everything", (*scenario).stopAll},
	}
}

func (s *scenario) startAll() (string, error) {
	launches := s.layout.Launches(s.example)
	for _, l := range launches {
		one, err := s.processes.Start(l.Name, l.Program, l.Args...)
		if err != nil {
			return "", err
		}
		if l.Program == "router" {
			s.routers = append(s.routers, one)
		}
	}
	err := s.waitFor("every router responds", func() bool {
		for i := range s.layout.Pairs() {
			if s.status(s.layout.CallerAddress(i), "/healthz") != http.StatusOK {
				return false
			}
		}
		return true
	})
	return fmt.Sprintf("%d processes, %d zones, %d worker VMs",
		len(launches), len(s.layout.Zones), len(s.layout.EngineSettings().VMs)), err
}

func (s *scenario) refuseMalformed() (string, error) {
	bad := []byte(`{"name":"x","models":[{"id":"chain","version":1}],"surprise":true}`)
	_, err := s.operatorClient(0).SubmitManifest(s.ctx, operator.Submission{SubmitID: "bad"}, bad)
	var refused *operator.RefusedError
	if !errors.As(err, &refused) || refused.Code != redwinghall.CodeManifestInvalid {
		return "", fmt.Errorf("expected manifest_invalid, got %w", err)
	}
	return fmt.Sprintf("%s, %d faults listed", refused.Code, len(refused.Faults)), nil
}

func (s *scenario) submitManifest() (string, error) {
	if err := s.rwhctl("submit", "--replaces", "0", "--submit-id", "first", filepath.Join(s.example, "manifest.json")); err != nil {
		return "", err
	}
	accepted := time.Now()
	err := s.waitFor("every router has the manifest", func() bool {
		for i := range s.layout.Pairs() {
			if s.status(s.layout.CallerAddress(i), "/readyz") != http.StatusOK {
				return false
			}
		}
		return true
	})
	s.generation = 1
	return fmt.Sprintf("generation 1 in effect in every router %s after it was accepted", time.Since(accepted).Round(time.Millisecond)), err
}

func (s *scenario) waitForGroups() (string, error) {
	total := 0
	err := s.waitFor("all groups of every zone are healthy", func() bool {
		total = 0
		for z := range s.layout.Zones {
			status, err := s.operatorClient(z * s.layout.PairsPerZone).Status(s.ctx)
			if err != nil {
				return false
			}
			for _, g := range status.Groups {
				if g.Healthy && !g.Leaving {
					total++
				}
			}
		}
		return total == len(s.layout.Zones)*s.layout.Replicas
	})
	return fmt.Sprintf("%d healthy groups of %d VMs", total, s.layout.VMsPerGroup), err
}

func (s *scenario) serveCallers() (string, error) {
	result := load.Run(s.ctx, s.loadConfig(240, s.allRouters()...))
	if result.Correct != result.Sent {
		return "", errors.New(result.String())
	}
	return result.String(), nil
}

func (s *scenario) depositOnce() (string, error) {
	const key = "deposit-1"
	var bodies []string
	for _, router := range []int{0, 2, 4} {
		var body string
		err := s.waitFor("the deposit gets a response", func() bool {
			status, text, err := s.postDeposit(router, key, `{"amount":50}`)
			body = text
			return err == nil && status == http.StatusOK
		})
		if err != nil {
			return "", err
		}
		bodies = append(bodies, body)
	}
	runs := 0
	for z := range s.layout.Zones {
		counts, err := s.runs(z)
		if err != nil {
			return "", err
		}
		runs += counts[key]
	}
	if runs != 1 || bodies[0] != bodies[1] || bodies[1] != bodies[2] {
		return "", fmt.Errorf("the deposit was executed %d times or its responses differ", runs)
	}
	status, _, err := s.postDeposit(0, key, `{"amount":60}`)
	if err != nil {
		return "", err
	}
	if status != http.StatusUnprocessableEntity {
		return "", fmt.Errorf("different body under the same key: status %d", status)
	}
	return "3 zones, 1 execution, 3 equal responses; a different body under the same key is refused", nil
}

func (s *scenario) raceSubmissions() (string, error) {
	manifest, err := json.Marshal(s.layout.Manifest("v1"))
	if err != nil {
		return "", err
	}
	var accepted, raced atomic.Int32
	both := kernel.NewGroup(s.ctx)
	for _, pair := range []int{0, 3} {
		both.Go("demo.race", func(ctx context.Context) error {
			_, err := s.operatorClient(pair).SubmitManifest(ctx, operator.Submission{SubmitID: fmt.Sprintf("race-%d", pair), Replaces: 1}, manifest)
			var refused *operator.RefusedError
			switch {
			case err == nil:
				accepted.Add(1)
			case errors.As(err, &refused) && refused.Code == redwinghall.CodeManifestRace:
				raced.Add(1)
			}
			return nil
		})
	}
	_ = both.Wait() // the functions above return no errors
	if accepted.Load() != 1 || raced.Load() != 1 {
		return "", fmt.Errorf("%d accepted, %d refused with manifest_race", accepted.Load(), raced.Load())
	}
	return "1 accepted, 1 refused with manifest_race", nil
}

func (s *scenario) killVM() (string, error) {
	status, err := s.operatorClient(0).Status(s.ctx)
	if err != nil {
		return "", err
	}
	victim := status.Groups[0]
	done := make(chan load.Result, 1)
	background := kernel.NewGroup(s.ctx)
	background.Go("demo.load", func(ctx context.Context) error {
		done <- load.Run(ctx, s.loadConfig(600, 0, 1))
		return nil
	})
	time.Sleep(200 * time.Millisecond)
	vm := victim.Members[len(victim.Members)-1].VM
	url := "http://" + s.layout.EngineControlAddress() + engine.PathVM + vm + "/" + string(engine.ActionKill)
	response, err := s.client.Post(url, "", nil)
	if err != nil {
		return "", err
	}
	_ = response.Body.Close()
	result := <-done
	if result.Correct != result.Sent {
		return "", errors.New(result.String())
	}
	err = s.waitFor("the killed VM is removed from its group", func() bool {
		status, err := s.operatorClient(0).Status(s.ctx)
		if err != nil {
			return false
		}
		for _, g := range status.Groups {
			for _, m := range g.Members {
				if m.VM == vm {
					return false
				}
			}
		}
		return true
	})
	return fmt.Sprintf("%s killed; %s", vm, result), err
}

func (s *scenario) takeZoneOut() (string, error) {
	zone := s.layout.Zones[1]
	if err := s.rwhctl("zone", "out", zone); err != nil {
		return "", err
	}
	decided := time.Now()
	err := s.waitFor("both routers of the zone are not ready", func() bool {
		return s.status(s.layout.CallerAddress(2), "/readyz") == http.StatusServiceUnavailable &&
			s.status(s.layout.CallerAddress(3), "/readyz") == http.StatusServiceUnavailable
	})
	if err != nil {
		return "", err
	}
	inForce := time.Since(decided)
	before, err := s.record()
	if err != nil {
		return "", err
	}
	result := load.Run(s.ctx, s.loadConfig(120, s.allRouters()...))
	after, err := s.record()
	if err != nil {
		return "", err
	}
	started := 0
	for vm, n := range after.ByVM {
		if strings.HasPrefix(vm, zone+"-") {
			started += n - before.ByVM[vm]
		}
	}
	if started != 0 || result.Correct != result.Sent {
		return "", fmt.Errorf("%d requests were started in %s; %s", started, zone, result)
	}
	return fmt.Sprintf("in effect after %s; 0 requests started in %s; %s", inForce.Round(time.Millisecond), zone, result), nil
}

func (s *scenario) takeZoneIn() (string, error) {
	zone := s.layout.Zones[1]
	if err := s.rwhctl("zone", "in", zone); err != nil {
		return "", err
	}
	err := s.waitFor("both routers of the zone are ready", func() bool {
		return s.status(s.layout.CallerAddress(2), "/readyz") == http.StatusOK &&
			s.status(s.layout.CallerAddress(3), "/readyz") == http.StatusOK
	})
	if err != nil {
		return "", err
	}
	result := load.Run(s.ctx, s.loadConfig(60, 2, 3))
	if result.Correct != result.Sent {
		return "", errors.New(result.String())
	}
	return result.String(), nil
}

// stopRouter stops a router while it streams responses, which it must complete
// before it exits.
func (s *scenario) stopRouter() (string, error) {
	c := s.loadConfig(24, 5)
	c.Tokens, c.Workers = 200, 24
	done := make(chan load.Result, 1)
	background := kernel.NewGroup(s.ctx)
	background.Go("demo.load", func(ctx context.Context) error {
		done <- load.Run(ctx, c)
		return nil
	})
	time.Sleep(400 * time.Millisecond)
	if err := s.processes.Stop(s.routers[5]); err != nil {
		return "", err
	}
	result := <-done
	if result.Correct != result.Sent {
		return "", errors.New(result.String())
	}
	return result.String(), nil
}

func (s *scenario) stopAll() (string, error) {
	record, err := s.record()
	if err != nil {
		return "", err
	}
	if err := s.processes.UnexpectedExit(); err != nil {
		return "", err
	}
	s.processes.StopAll()
	return fmt.Sprintf("engines: %d requests, %d started in an incomplete group (longest %s), %d overloads of cold engines",
		record.Requests, record.Incomplete, record.LongestIncomplete.Std().Round(time.Millisecond), record.Overloads), nil
}
