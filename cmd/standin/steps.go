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
		{"start stand-ins, 6 controllers, 6 routers", (*story).startAll},
		{"a malformed manifest is refused whole", (*story).malformed},
		{"put the manifest in force", (*story).submit},
		{"groups form in every zone", (*story).groups},
		{"callers are served through every router", (*story).serve},
		{"one deposit sent three times runs once", (*story).book},
		{"two operators race: one wins", (*story).race},
		{"a VM dies: answers stay whole", (*story).killVM},
		{"a zone goes out: no new work there", (*story).zoneOut},
		{"the zone comes back", (*story).zoneIn},
		{"a router stops: nothing is cut off", (*story).stopRouter},
		{"stop everything", (*story).stopAll},
	}
}

func (s *story) startAll() (string, error) {
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
	err := s.wait("every router answers", func() bool {
		for i := range s.layout.Pairs() {
			if s.status(s.layout.Caller(i), "/healthz") != http.StatusOK {
				return false
			}
		}
		return true
	})
	return fmt.Sprintf("%d processes, %d zones, %d worker VMs",
		len(launches), len(s.layout.Zones), len(s.layout.EngineSettings().VMs)), err
}

func (s *story) malformed() (string, error) {
	bad := []byte(`{"name":"x","models":[{"id":"chain","version":1}],"surprise":true}`)
	_, err := s.operators(0).SubmitManifest(s.ctx, operator.Submission{SubmitID: "bad"}, bad)
	var refused *operator.RefusedError
	if !errors.As(err, &refused) || refused.Code != redwinghall.CodeManifestInvalid {
		return "", fmt.Errorf("want manifest_invalid, got %w", err)
	}
	return fmt.Sprintf("%s, %d faults named", refused.Code, len(refused.Faults)), nil
}

func (s *story) submit() (string, error) {
	if err := s.ctl("submit", "--replaces", "0", "--submit-id", "first", filepath.Join(s.example, "manifest.json")); err != nil {
		return "", err
	}
	accepted := time.Now()
	err := s.wait("every router has the manifest", func() bool {
		for i := range s.layout.Pairs() {
			if s.status(s.layout.Caller(i), "/readyz") != http.StatusOK {
				return false
			}
		}
		return true
	})
	s.generation = 1
	return fmt.Sprintf("generation 1 in every router %s after it was accepted", time.Since(accepted).Round(time.Millisecond)), err
}

func (s *story) groups() (string, error) {
	total := 0
	err := s.wait("every zone has its groups whole", func() bool {
		total = 0
		for z := range s.layout.Zones {
			status, err := s.operators(z * s.layout.PairsPerZone).Status(s.ctx)
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
	return fmt.Sprintf("%d groups of %d VMs whole", total, s.layout.PerGroup), err
}

func (s *story) serve() (string, error) {
	result := load.Run(s.ctx, s.loadConfig(240, s.allRouters()...))
	if result.Whole != result.Sent {
		return "", errors.New(result.String())
	}
	return result.String(), nil
}

func (s *story) book() (string, error) {
	const key = "deposit-1"
	var bodies []string
	for _, router := range []int{0, 2, 4} {
		var body string
		err := s.wait("the deposit is answered", func() bool {
			status, text, err := s.post(router, key, `{"amount":50}`)
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
		return "", fmt.Errorf("the deposit ran %d times", runs)
	}
	status, _, err := s.post(0, key, `{"amount":60}`)
	if err != nil {
		return "", err
	}
	if status != http.StatusUnprocessableEntity {
		return "", fmt.Errorf("another body under the key: status %d", status)
	}
	return "3 zones, 1 run, 3 equal answers; another body under the key is refused", nil
}

func (s *story) race() (string, error) {
	manifest, err := json.Marshal(s.layout.Manifest("v1"))
	if err != nil {
		return "", err
	}
	var accepted, raced atomic.Int32
	both := kernel.NewGroup(s.ctx)
	for _, pair := range []int{0, 3} {
		both.Go("demo.race", func(ctx context.Context) error {
			_, err := s.operators(pair).SubmitManifest(ctx, operator.Submission{SubmitID: fmt.Sprintf("race-%d", pair), Replaces: 1}, manifest)
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
	_ = both.Wait() // the functions return no errors
	if accepted.Load() != 1 || raced.Load() != 1 {
		return "", fmt.Errorf("%d accepted, %d refused as a race", accepted.Load(), raced.Load())
	}
	return "1 accepted, 1 refused with manifest_race", nil
}

func (s *story) killVM() (string, error) {
	status, err := s.operators(0).Status(s.ctx)
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
	url := "http://" + s.layout.EngineControl() + engine.PathVM + vm + "/" + string(engine.ActionKill)
	response, err := s.client.Post(url, "", nil)
	if err != nil {
		return "", err
	}
	_ = response.Body.Close()
	result := <-done
	if result.Whole != result.Sent {
		return "", errors.New(result.String())
	}
	err = s.wait("the dead VM is out of its group", func() bool {
		status, err := s.operators(0).Status(s.ctx)
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

func (s *story) zoneOut() (string, error) {
	zone := s.layout.Zones[1]
	if err := s.ctl("zone", "out", zone); err != nil {
		return "", err
	}
	decided := time.Now()
	err := s.wait("both routers of the zone are not ready", func() bool {
		return s.status(s.layout.Caller(2), "/readyz") == http.StatusServiceUnavailable &&
			s.status(s.layout.Caller(3), "/readyz") == http.StatusServiceUnavailable
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
	if started != 0 || result.Whole != result.Sent {
		return "", fmt.Errorf("%d requests were started in %s; %s", started, zone, result)
	}
	return fmt.Sprintf("in force after %s; 0 requests started in %s; %s", inForce.Round(time.Millisecond), zone, result), nil
}

func (s *story) zoneIn() (string, error) {
	zone := s.layout.Zones[1]
	if err := s.ctl("zone", "in", zone); err != nil {
		return "", err
	}
	err := s.wait("both routers of the zone are ready", func() bool {
		return s.status(s.layout.Caller(2), "/readyz") == http.StatusOK &&
			s.status(s.layout.Caller(3), "/readyz") == http.StatusOK
	})
	if err != nil {
		return "", err
	}
	result := load.Run(s.ctx, s.loadConfig(60, 2, 3))
	if result.Whole != result.Sent {
		return "", errors.New(result.String())
	}
	return result.String(), nil
}

// stopRouter ends a router while it streams. Its callers go on to the other
// routers for new requests, as behind a balancer.
func (s *story) stopRouter() (string, error) {
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
	if result.Whole != result.Sent {
		return "", errors.New(result.String())
	}
	return result.String(), nil
}

func (s *story) stopAll() (string, error) {
	record, err := s.record()
	if err != nil {
		return "", err
	}
	if err := s.processes.Failed(); err != nil {
		return "", err
	}
	s.processes.StopAll()
	return fmt.Sprintf("engines: %d requests, %d begun in an incomplete group (longest %s), %d overloads of cold engines",
		record.Requests, record.Incomplete, record.LongestIncomplete.Std().Round(time.Millisecond), record.Overloads), nil
}
