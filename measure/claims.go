package main

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"redwinghall"
	"redwinghall/claim"
	"redwinghall/kernel"
	"redwinghall/standin/table"
)

const (
	claimRouters  = 6
	claimSeconds  = 3
	claimInterval = 20 * time.Millisecond
	tableLatency  = 3 * time.Millisecond
)

// measureClaims makes bookings at several rates through the claim keepers of six
// routers and counts the table operations. A booking claims a key and records a
// response.
func measureClaims(options) ([]Series, error) {
	var commits, rows, reads, wait []Point
	for _, rate := range []int{6, 100, 300, 1000} {
		counts, mean, err := claimAtRate(rate)
		if err != nil {
			return nil, err
		}
		done := float64(rate * claimSeconds)
		commits = append(commits, Point{float64(rate), float64(counts.Commits) / done})
		rows = append(rows, Point{float64(rate), float64(counts.Rows) / done})
		reads = append(reads, Point{float64(rate), float64(counts.Reads) / done})
		wait = append(wait, Point{float64(rate), mean.Seconds() * 1e3})
	}
	return []Series{
		newSeries("transactions", "bookings a second", "table operations a booking", commits),
		newSeries("rows written", "bookings a second", "table operations a booking", rows),
		newSeries("reads", "bookings a second", "table operations a booking", reads),
		newSeries("mean wait for a claim", "bookings a second", "milliseconds", wait),
	}, nil
}

func claimAtRate(rate int) (table.Counts, time.Duration, error) {
	tab := table.New()
	tab.SetFaults(table.Faults{Latency: redwinghall.Duration(tableLatency)})
	g := kernel.NewGroup(context.Background())
	var keepers []*claim.Keeper
	for i := range claimRouters {
		k := claim.NewKeeper(claim.Config{Router: fmt.Sprint("router-", i), WriteInterval: claimInterval}, tab, claim.NoTakeover{})
		k.Run(g)
		keepers = append(keepers, k)
	}
	var waited atomic.Int64
	bookings := kernel.NewGroup(context.Background())
	started := time.Now()
	for i := range rate * claimSeconds {
		due := started.Add(time.Duration(i) * time.Second / time.Duration(rate))
		time.Sleep(time.Until(due))
		bookings.Go("book", func(ctx context.Context) error {
			k := keepers[i%claimRouters]
			began := time.Now()
			a, err := k.Claim(ctx, began, redwinghall.ClaimKey("a", "s", fmt.Sprint(i)), "hash")
			waited.Add(int64(time.Since(began)))
			if err != nil {
				return err
			}
			k.RecordRan(a, redwinghall.Response{Status: 200})
			return nil
		})
	}
	err := bookings.Wait()
	for _, k := range keepers {
		for k.PendingOutcomes() > 0 {
			time.Sleep(time.Millisecond)
		}
	}
	counts := tab.Counts()
	g.Stop()
	if err == nil {
		err = g.Wait()
	}
	return counts, time.Duration(waited.Load()) / time.Duration(rate*claimSeconds), err
}
