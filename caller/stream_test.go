package caller_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall"
	"redwinghall/caller"
	"redwinghall/kernel"
	"redwinghall/rwhtest"
	"redwinghall/standin/engine"
	"redwinghall/standin/link"
)

// startStreaming starts one zone with three groups of two VMs.
func startStreaming(t *testing.T, stall time.Duration) *rwhtest.Deployment {
	t.Helper()
	d := rwhtest.Start(t, rwhtest.Options{
		RoutersPerZone: 2, VMsPerGroup: 2, Replicas: 3, StallTimeout: stall,
		Engine: engine.Config{TokenDelay: redwinghall.Duration(time.Millisecond)},
	})
	d.Submit("v1")
	return d
}

// While many responses are streamed at once, engines cut some after a few chunks, and
// duplicate and reorder the chunks of others. Another group continues each of them.
// Every response must be complete and equal to the expected text byte for byte.
func TestCutAndShuffledStreamsAreComplete(t *testing.T) {
	d := startStreaming(t, 20*time.Second)
	random := rand.New(rand.NewPCG(1, 2))
	for i, vm := range d.VMs() {
		if vm.Service == "" {
			d.Fleet.VM(vm.ID).SetFaults(engine.StreamFaults{
				CutEvery: 3, CutAt: 1 + random.IntN(23), Shuffle: i%2 == 0,
			})
		}
	}
	result := d.Load(1200, 32, 24, 0, 1)
	require.Equal(t, 1200, result.Correct, result.String())
}

// Streams that are cut at any position, again and again, must be complete, whichever groups continue
// them.
func TestStreamsThatAreCutAnywhereAreComplete(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			d := startStreaming(t, 20*time.Second)
			random := rand.New(rand.NewPCG(seed, 40))
			for _, vm := range d.VMs() {
				if vm.Service == "" {
					d.Fleet.VM(vm.ID).SetFaults(engine.StreamFaults{CutEvery: 3, CutAt: 2 + random.IntN(22), Shuffle: random.IntN(2) == 0})
				}
			}
			result := d.Load(400, 16, 24, 0, 1)
			require.Equal(t, 400, result.Correct, result.String())
		})
	}
}

// An attempt that brings a chunk out of order and is cut must count as progress: more attempts in a
// row than are allowed without any may be needed until the chunk comes for which the others wait.
func TestAttemptsThatBringChunksOutOfOrderCountAsProgress(t *testing.T) {
	d := startStreaming(t, 20*time.Second)
	for _, vm := range d.VMs() {
		if vm.Service == "" {
			d.Fleet.VM(vm.ID).SetFaults(engine.StreamFaults{Backward: 6})
		}
	}
	result := d.Load(1, 1, 5, 0)
	require.Equal(t, 1, result.Correct, result.String())
}

// The engine sends some chunks and then nothing, with the connection open. Without a
// limit on the time between chunks, the response would never continue.
func TestStalledStreamContinuesOnAnotherGroup(t *testing.T) {
	d := startStreaming(t, 300*time.Millisecond)
	for _, vm := range d.VMs() {
		if vm.Service == "" {
			d.Fleet.VM(vm.ID).SetFaults(engine.StreamFaults{StallStreams: 1, CutAt: 5})
		}
	}
	result := d.Load(20, 4, 24, 0, 1)
	require.Equal(t, 20, result.Correct, result.String())
}

// All open connections to the endpoints become silent forever while new ones work, as
// happens when a device on the path loses its connection state.
func TestSilentConnectionsAreReplaced(t *testing.T) {
	d := rwhtest.Start(t, rwhtest.Options{
		VMsPerGroup: 1, Replicas: 2, StallTimeout: 300 * time.Millisecond,
		Engine: engine.Config{TokenDelay: redwinghall.Duration(time.Millisecond)},
	})
	g := kernel.NewGroup(context.Background())
	t.Cleanup(func() { g.Stop(); _ = g.Wait() })
	vms := d.VMs()
	var links []*link.Link
	for i := range vms {
		if vms[i].Service != "" {
			continue
		}
		l, err := link.New(g, "127.0.0.1:0", vms[i].Address)
		require.NoError(t, err)
		vms[i].Address = l.Address()
		links = append(links, l)
	}
	d.Table.SetVMs(vms)
	d.Submit("v1")
	before := d.Load(20, 4, 8, 0)
	require.Equal(t, 20, before.Correct, before.String())
	for _, l := range links {
		l.Set(link.Blackhole, 0)
		l.Set(link.Pass, 0)
	}
	result := d.Load(20, 4, 8, 0)
	require.Equal(t, 20, result.Correct, result.String())
}

// Callers that send equal requests at the same time must each receive a complete
// response of their own, although the chunks of all of them have the same positions.
func TestEqualRequestsAtOnceAreKeptApart(t *testing.T) {
	d := startStreaming(t, 20*time.Second)
	body := `{"model":"` + rwhtest.Model + `","stream":true,"max_tokens":12,"messages":[{"role":"user","content":"same"}]}`
	replies := make(chan rwhtest.Reply, 50)
	g := kernel.NewGroup(t.Context())
	for i := range 50 {
		g.Go("ask", func(ctx context.Context) error {
			r, err := d.Call(ctx, http.MethodPost, d.CallerAddress(i%2), "/v1/chat/completions", body, nil)
			replies <- r
			return err
		})
	}
	require.NoError(t, g.Wait())
	close(replies)
	ids := map[string]bool{}
	for r := range replies {
		id := r.Header.Get(caller.HeaderRequestID)
		require.False(t, ids[id], "duplicate request id")
		ids[id] = true
		require.Equal(t, 13, strings.Count(r.Body, "id: "+id+"/"), "every chunk has the id of its own request")
		require.True(t, strings.HasSuffix(r.Body, "data: [DONE]\n\n"))
	}
}

func TestBufferedResponseEqualsStream(t *testing.T) {
	d := startStreaming(t, 20*time.Second)
	body := `{"model":"` + rwhtest.Model + `","max_tokens":5,"messages":[{"role":"user","content":"x"}]}`
	r, err := d.Call(t.Context(), http.MethodPost, d.CallerAddress(0), "/v1/chat/completions", body, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, r.Status)
	request := engine.ChatRequest{Model: rwhtest.Model, MaxTokens: 5, Messages: []json.RawMessage{[]byte(`{"role":"user","content":"x"}`)}}
	require.Contains(t, r.Body, request.Expected())
}

func TestChatRequestsAreChecked(t *testing.T) {
	d := rwhtest.Start(t, rwhtest.Options{})
	d.Submit("v1")
	tests := []struct {
		name string
		body string
		want redwinghall.Code
	}{
		{"not JSON", `{`, redwinghall.CodeBadRequest},
		{"no model", `{"messages":[1]}`, redwinghall.CodeBadRequest},
		{"no messages", `{"model":"chain-advice"}`, redwinghall.CodeBadRequest},
		{"unknown model", `{"model":"none","messages":[1]}`, redwinghall.CodeUnknownModel},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r, err := d.Call(t.Context(), http.MethodPost, d.CallerAddress(0), "/v1/chat/completions", tt.body, nil)
			require.NoError(t, err)
			require.Equal(t, tt.want, codeOf(t, r))
		})
	}
}

func TestLastEventIDIsChecked(t *testing.T) {
	d := rwhtest.Start(t, rwhtest.Options{})
	d.Submit("v1")
	body := `{"model":"chain-advice","stream":true,"max_tokens":4,"messages":[1]}`
	send := func(last string) rwhtest.Reply {
		r, err := d.Call(t.Context(), http.MethodPost, d.CallerAddress(0), "/v1/chat/completions", body, map[string]string{caller.HeaderLastEvent: last})
		require.NoError(t, err)
		return r
	}
	for _, bad := range []string{"x", "a b/1", "a/-1", "/1", strings.Repeat("a", 80) + "/1"} {
		require.Equal(t, redwinghall.CodeBadRequest, codeOf(t, send(bad)), bad)
	}
	r := send("ask-1/1")
	require.Equal(t, http.StatusOK, r.Status)
	require.True(t, strings.HasPrefix(r.Body, "id: ask-1/2\n"), r.Body)
}

func TestEventReader(t *testing.T) {
	tests := []struct {
		name string
		in   string
		want []caller.Event
	}{
		{"id and data", "id: r/3\ndata: x\n\n", []caller.Event{{RequestID: "r", Position: 3, HasID: true, Data: []byte("x")}}},
		{"carriage returns", "id: r/0\r\ndata: x\r\n\r\n", []caller.Event{{RequestID: "r", HasID: true, Data: []byte("x")}}},
		{"two data lines", "data: a\ndata: b\n\n", []caller.Event{{Data: []byte("a\nb")}}},
		{"comment and empty event", ": hello\n\nid: r/1\n\ndata: x\n\n", []caller.Event{{Data: []byte("x")}}},
		{"id without position", "id: r\ndata: x\n\n", []caller.Event{{Data: []byte("x")}}},
		{"negative position", "id: r/-1\ndata: x\n\n", []caller.Event{{Data: []byte("x")}}},
		{"cut off", "id: r/1\ndata: x\n", nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			reader := caller.NewEventReader(strings.NewReader(tt.in))
			var got []caller.Event
			for {
				e, err := reader.Next()
				if err != nil {
					break
				}
				e.Data = bytes.Clone(e.Data)
				got = append(got, e)
			}
			require.Equal(t, tt.want, got)
		})
	}
}

func FuzzEventReader(f *testing.F) {
	f.Add([]byte("id: r/3\ndata: x\n\n"))
	f.Add([]byte("id: /\ndata:\r\n\r\n: c\n\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		reader := caller.NewEventReader(bytes.NewReader(in))
		for {
			e, err := reader.Next()
			if err != nil {
				return
			}
			if e.HasID && e.Position < 0 {
				t.Fatalf("position %d", e.Position)
			}
		}
	})
}
