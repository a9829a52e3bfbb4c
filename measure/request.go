package main

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"sort"
	"time"

	"redwinghall/kernel"
	"redwinghall/standin/engine"
	"redwinghall/standin/layout"
	"redwinghall/standin/load"
)

const requestWorkers = 8

// measureRequest sends streams of several lengths through one router process. It
// measures the router's CPU time, and the latency through the router and of direct
// calls to the engine stand-in in the same run.
func measureRequest(o options) ([]Series, error) {
	d, err := startServing(o.Bin, shape{zones: 1, nodesPerZone: 1, groupsPerZone: 1, engine: engine.Config{}}, unchanged)
	if err != nil {
		return nil, err
	}
	defer d.stop()
	status, err := d.operatorClient(0).Status(context.Background())
	if err != nil {
		return nil, err
	}
	leader := status.Groups[0].Leader().Address
	var cpu, through, direct []Point
	for _, tokens := range []int{1, 16, 64, 256} {
		c := load.Config{Routers: []string{d.layout.CallerAddress(0)}, Key: layout.DemoKey(measureAccount), Model: d.layout.Model,
			Requests: max(600, 6000/tokens), Workers: requestWorkers, Tokens: tokens, Timeout: waitLimit}
		load.Run(context.Background(), c) // warm up
		before, err := processCPU(d.routers[0].PID())
		if err != nil {
			return nil, err
		}
		result := load.Run(context.Background(), c)
		after, err := processCPU(d.routers[0].PID())
		if err != nil {
			return nil, err
		}
		if result.Correct != result.Sent {
			return nil, errors.New(result.String())
		}
		x := float64(tokens)
		cpu = append(cpu, Point{x, float64((after - before).Microseconds()) / float64(result.Sent)})
		a, b, err := medians(c, leader)
		if err != nil {
			return nil, err
		}
		through, direct = append(through, Point{x, a}), append(direct, Point{x, b})
	}
	return []Series{
		newSeries("router's own cost", "chunks in the answer", "microseconds of processor a request", cpu),
		newSeries("through the router", "chunks in the answer", "microseconds a request, median", through),
		newSeries("direct to the engine", "chunks in the answer", "microseconds a request, median", direct),
	}, nil
}

// medians returns the median time of a complete response, one request at a time,
// through the router and directly.
func medians(c load.Config, leader string) (through, direct float64, err error) {
	client := load.NewClient()
	send := func(address string, i int) (time.Duration, error) {
		body, _ := load.Body(c, i)
		request, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/chat/completions", bytes.NewReader(body))
		if err != nil {
			return 0, err
		}
		request.Header.Set("Authorization", "Bearer "+c.Key)
		started := time.Now()
		response, err := client.Do(request)
		if err != nil {
			return 0, err
		}
		defer func() { _ = response.Body.Close() }()
		_, err = io.Copy(io.Discard, response.Body)
		return time.Since(started), err
	}
	var times [2][]time.Duration
	g := kernel.NewGroup(context.Background())
	g.Go("ask", func(context.Context) error {
		for i := range 300 {
			for side, address := range []string{c.Routers[0], leader} {
				took, err := send(address, i)
				if err != nil {
					return err
				}
				times[side] = append(times[side], took)
			}
		}
		return nil
	})
	if err := g.Wait(); err != nil {
		return 0, 0, err
	}
	return median(times[0]), median(times[1]), nil
}

func median(times []time.Duration) float64 {
	sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
	return float64(times[len(times)/2].Nanoseconds()) / 1e3
}
