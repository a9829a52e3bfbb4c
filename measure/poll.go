package main

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"redwinghall"
	"redwinghall/endpoint"
	"redwinghall/kernel"
	"redwinghall/standin/engine"
)

// measurePoll fetches the reports of engines and measures the bytes and the CPU
// time.
func measurePoll(options) ([]Series, error) {
	g := kernel.NewGroup(context.Background())
	defer func() {
		g.Stop()
		_ = g.Wait() // servers end with their listeners
	}()
	fleet := engine.NewFleet(engine.Config{})
	var bytes atomic.Int64
	var addresses []string
	for i := range 80 {
		vm, err := fleet.Start(g, fmt.Sprintf("vm-%d", i), "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		address, err := countingRelay(g, vm.Address(), &bytes)
		if err != nil {
			return nil, err
		}
		addresses = append(addresses, address)
	}
	client := endpoint.NewClient(time.Second)
	order := redwinghall.Order{Group: "chain-advice-12-ABC000", Generation: 3, Role: redwinghall.RoleMember, Model: "chain-advice", Version: "v1"}
	var byBytes, byCPU []Point
	for _, polls := range []int{20, 40, 80} {
		for _, a := range addresses[:polls] {
			if err := client.Order(context.Background(), a, order); err != nil {
				return nil, err
			}
		}
		const rounds = 40
		before, cpuBefore := bytes.Load(), ownCPU()
		for range rounds {
			for _, a := range addresses[:polls] {
				if _, err := client.Report(context.Background(), a); err != nil {
					return nil, err
				}
			}
		}
		byBytes = append(byBytes, Point{float64(polls), float64(bytes.Load()-before) / rounds})
		byCPU = append(byCPU, Point{float64(polls), float64((ownCPU() - cpuBefore).Microseconds()) / rounds})
	}
	return []Series{
		newSeries("reports", "reports asked for", "bytes, in and out", byBytes),
		newSeries("reports, with the stand-in's and the counting relay's side", "reports asked for", "microseconds of processor", byCPU),
	}, nil
}

// countingRelay starts a TCP proxy to target that counts the bytes of both
// directions, and returns its address.
func countingRelay(g *kernel.Group, target string, count *atomic.Int64) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	g.Go("relay.close", func(ctx context.Context) error {
		<-ctx.Done()
		return listener.Close()
	})
	g.Go("relay.accept", func(context.Context) error {
		for {
			near, err := listener.Accept()
			if err != nil {
				return nil
			}
			far, err := net.Dial("tcp", target)
			if err != nil {
				return err
			}
			g.Go("relay.close_pair", func(ctx context.Context) error {
				<-ctx.Done()
				_ = near.Close()
				return far.Close()
			})
			g.Go("relay.up", func(context.Context) error { relayBytes(far, near, count); return nil })
			g.Go("relay.down", func(context.Context) error { relayBytes(near, far, count); return nil })
		}
	})
	return listener.Addr().String(), nil
}

func relayBytes(to, from net.Conn, count *atomic.Int64) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		count.Add(int64(n))
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}
