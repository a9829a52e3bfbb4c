package caller_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"redwinghall"
	"redwinghall/caller"
	"redwinghall/claim"
	"redwinghall/kernel"
	"redwinghall/peer"
	"redwinghall/ramp"
	"redwinghall/route"
	"redwinghall/rwhtest"
	"redwinghall/standin/layout"
	"redwinghall/standin/table"
)

// FuzzChatBody sends arbitrary bytes as the body of a chat request. As there are no
// groups, the response must always be a refusal with a known code and the outcome
// not_run.
func FuzzChatBody(f *testing.F) {
	f.Add(`{"model":"chain-advice","messages":[{"role":"user","content":"x"}]}`)
	f.Add(`{"model":"chain-advice","stream":true,"messages":[null]}`)
	f.Add(`{"model":1}`)
	store := peer.NewStore()
	accepted := redwinghall.Accepted{Generation: 1, Manifest: redwinghall.Manifest{
		ClientAccounts: redwinghall.ClientAccounts{layout.Account(rwhtest.Account, 1, redwinghall.ClassInteractive)},
		Models:         []redwinghall.Model{{ID: rwhtest.Model, ClientAccounts: []string{rwhtest.Account}}},
	}}
	data, err := json.Marshal(accepted)
	if err != nil {
		f.Fatal(err)
	}
	store.Apply(peer.Entry{Key: peer.KeyManifest, Number: 1, Value: data})
	selector := route.NewSelector(route.SelectorConfig{AvailabilityZone: "tartu", Ramp: ramp.SingleOwner{}, Picker: route.TwoChoices{}})
	selector.Rebuild(store)
	keeper := claim.NewKeeper(claim.Config{}, table.New(), claim.NoTakeover{})
	handler := caller.NewServer(caller.Config{}, selector, keeper, kernel.NewGroup(context.Background())).Handler()
	f.Fuzz(func(t *testing.T, body string) {
		r := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(body))
		r.Header.Set("Authorization", "Bearer "+layout.DemoKey(rwhtest.Account))
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, r)
		var refusal caller.Refusal
		if err := json.Unmarshal(w.Body.Bytes(), &refusal); err != nil {
			t.Fatalf("status %d, body %q", w.Code, w.Body)
		}
		if _, ok := refusal.Error.Code.Info(); !ok || refusal.Error.Outcome != redwinghall.NotRun {
			t.Fatalf("code %q, outcome %q", refusal.Error.Code, refusal.Error.Outcome)
		}
	})
}
