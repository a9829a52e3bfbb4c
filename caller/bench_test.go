package caller_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"syscall"
	"testing"
	"time"

	"redwinghall/rwhtest"
	"redwinghall/standin/engine"
	"redwinghall/standin/load"
)

func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkAnswer streams responses directly from the engine stand-in and through a
// router in the same process. The difference is the cost of the router; comparing 1
// and 257 chunks gives the cost of one chunk.
func BenchmarkAnswer(b *testing.B) {
	d := rwhtest.Start(b, rwhtest.Options{Engine: engine.Config{}})
	d.Submit("v1")
	leader := ""
	for _, vm := range d.VMs() {
		if vm.Service == "" {
			leader = vm.Address
		}
	}
	d.Load(200, 4, 4, 0)
	for _, tokens := range []int{1, 257} {
		for _, way := range []struct{ name, address string }{{"direct", leader}, {"router", d.CallerAddress(0)}} {
			b.Run(fmt.Sprintf("chunks=%d/%s", tokens, way.name), func(b *testing.B) {
				benchmarkRequests(b, d.Client, way.address, tokens)
			})
		}
	}
}

func benchmarkRequests(b *testing.B, client *http.Client, address string, tokens int) {
	c := load.Config{Model: rwhtest.Model, Tokens: tokens}
	body, _ := load.Body(c, 1)
	b.ReportAllocs()
	before := processorTime()
	for b.Loop() {
		request, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/chat/completions", bytes.NewReader(body))
		if err != nil {
			b.Fatal(err)
		}
		request.Header.Set("Authorization", "Bearer "+rwhtest.Key)
		response, err := client.Do(request)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			b.Fatal(err)
		}
		_ = response.Body.Close()
	}
	b.ReportMetric(float64((processorTime()-before).Microseconds())/float64(b.N), "cpu-us/op")
}
