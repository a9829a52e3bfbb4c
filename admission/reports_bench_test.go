package admission_test

import (
	"fmt"
	"testing"
	"time"

	"redwinghall"
	"redwinghall/admission"
)

// BenchmarkLimitWithReports measures a limit at the node that collects the reports of a large
// zone, each of them at its bound; with its sums made anew, and on average at 1,000 requests a
// second.
func BenchmarkLimitWithReports(b *testing.B) {
	for name, step := range map[string]time.Duration{"each_anew": 25 * time.Millisecond, "each_ms": time.Millisecond} {
		b.Run(name, func(b *testing.B) {
			room, now := admission.NewRoom(), start
			report := func() {
				for i := range 300 {
					var uses []redwinghall.AccountUse
					for j := range 24 {
						uses = append(uses, redwinghall.AccountUse{
							Service: "llm", Model: "small", Account: fmt.Sprint("account-", j), Urgency: j % 3, Asked: time.Second, Given: time.Second / 2,
						})
					}
					room.SetReport(now, fmt.Sprint("n", i), false, uses)
				}
			}
			report()
			one := request("account-7", 2)
			b.ResetTimer()
			for i := range b.N {
				now = now.Add(step)
				if i%80 == 0 && step > time.Millisecond || i%2000 == 0 {
					b.StopTimer()
					report()
					b.StartTimer()
				}
				room.Record(now, one, i%5 != 0)
				room.Limit(now, one)
			}
		})
	}
}

// BenchmarkUsesExcept measures what the same node tells one of the others.
func BenchmarkUsesExcept(b *testing.B) {
	room := admission.NewRoom()
	for i := range 300 {
		var uses []redwinghall.AccountUse
		for j := range 24 {
			uses = append(uses, redwinghall.AccountUse{Service: "desk", Account: fmt.Sprint("account-", j), Urgency: j % 3, Asked: time.Second, Given: time.Second / 2})
		}
		room.SetReport(start, fmt.Sprint("n", i), false, uses)
	}
	now := start.Add(time.Second)
	b.ResetTimer()
	for range b.N {
		room.PlainUsesExcept(now, "n7", 8)
	}
}
