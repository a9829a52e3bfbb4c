package gateway_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/fleet"
	"redwinghall/gateway"
	"redwinghall/platform"
)

func repeatable() *gateway.Request {
	return &gateway.Request{
		Info:   platform.RequestInfo{ID: "1", Model: "m", PromptParts: []string{"a", "b"}, LastPart: "c", Timeout: time.Second},
		Method: "POST", Target: "/book/x?a=1", Body: []byte("one deposit"),
		Route: &fleet.Route{Host: "h", Prefix: "/book/"}, Account: &fleet.Account{Name: "depot"},
	}
}

// A caller's repeats have other ids, time limits and last events, and must be known as the same request.
func TestRepeatsOfARequestAreTheSame(t *testing.T) {
	t.Parallel()
	for name, change := range map[string]func(r *gateway.Request){
		"id": func(r *gateway.Request) { r.Info.ID = "2" }, "time limit": func(r *gateway.Request) { r.Info.Timeout = time.Minute },
		"last event": func(r *gateway.Request) { r.Info.LastEvent = "7" }, "hint": func(r *gateway.Request) { r.Info.LengthHint = 9 },
	} {
		r := repeatable()
		change(r)
		require.Equal(t, gateway.Identity(repeatable()), gateway.Identity(r), name)
	}
}

// Sound requests must not pay for one that differs from them in anything.
func TestRequestsThatDifferAreNotTheSame(t *testing.T) {
	t.Parallel()
	seen := map[string]string{gateway.Identity(repeatable()): "none"}
	for name, change := range map[string]func(r *gateway.Request){
		"account": func(r *gateway.Request) { r.Account = &fleet.Account{Name: "other"} }, "no account": func(r *gateway.Request) { r.Account = nil },
		"route": func(r *gateway.Request) { r.Route = &fleet.Route{Host: "h", Prefix: "/b/"} }, "method": func(r *gateway.Request) { r.Method = "PUT" },
		"target": func(r *gateway.Request) { r.Target = "/book/x?a=2" }, "body": func(r *gateway.Request) { r.Body = []byte("one deposit.") },
		"model": func(r *gateway.Request) { r.Info.Model = "n" }, "last part": func(r *gateway.Request) { r.Info.LastPart = "d" },
		"parts": func(r *gateway.Request) { r.Info.PromptParts = []string{"a"} }, "parts joined": func(r *gateway.Request) { r.Info.PromptParts = []string{"ab"} },
		"last part among the shared ones": func(r *gateway.Request) { r.Info.PromptParts, r.Info.LastPart = []string{"a", "b", "c"}, "" },
		"no body":                         func(r *gateway.Request) { r.Body = nil },
	} {
		r := repeatable()
		change(r)
		id := gateway.Identity(r)
		require.NotContains(t, seen, id, "%s and %s", name, seen[id])
		seen[id] = name
	}
}
