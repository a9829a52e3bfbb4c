package rwhtest_test

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"redwinghall"
	"redwinghall/operator"
	"redwinghall/rwhtest"
	"redwinghall/standin/service"
)

func start(t *testing.T) (*rwhtest.Deployment, *rwhtest.Session) {
	t.Helper()
	d := rwhtest.Start(t, rwhtest.Options{Zones: []string{"tartu", "parnu"}, VMsPerGroup: 2})
	d.Submit("v1")
	return d, rwhtest.NewSession(d)
}

func golden(t *testing.T, s *rwhtest.Session) {
	t.Helper()
	goldie.New(t, goldie.WithFixtureDir("testdata"), goldie.WithNameSuffix(".txt")).Assert(t, t.Name(), s.Golden())
}

func call(t *testing.T, d *rwhtest.Deployment, s *rwhtest.Session, participant, address, method, path, body string, header map[string]string) rwhtest.Reply {
	t.Helper()
	r, err := d.Call(t.Context(), method, address, path, body, header)
	require.NoError(t, err)
	s.Exchange(participant, method, path, body, header, r)
	return r
}

func TestSessionStreamedAnswer(t *testing.T) {
	d, s := start(t)
	body := `{"model":"chain-advice","stream":true,"max_tokens":4,"messages":[{"role":"user","content":"which chain fits 205/55 R16?"}]}`
	s.Note("a driver asks and reads the answer as a stream")
	call(t, d, s, "driver", d.CallerAddress(0), http.MethodPost, "/v1/chat/completions", body, map[string]string{"X-Request-Id": "ask-1"})
	s.Note("the same question as a whole answer")
	body = strings.Replace(body, `"stream":true,`, "", 1)
	call(t, d, s, "driver", d.CallerAddress(0), http.MethodPost, "/v1/chat/completions", body, map[string]string{"X-Request-Id": "ask-2"})
	s.Note("a model that the manifest does not have")
	body = strings.Replace(body, "chain-advice", "tyre-advice", 1)
	call(t, d, s, "driver", d.CallerAddress(0), http.MethodPost, "/v1/chat/completions", body, map[string]string{"X-Request-Id": "ask-3"})
	s.Endpoints()
	golden(t, s)
}

func TestSessionBooking(t *testing.T) {
	d, s := start(t)
	path := "/v1/services/" + rwhtest.Service + "/deposits"
	book := func(router int, id, key, body string) rwhtest.Reply {
		return call(t, d, s, "haulier", d.CallerAddress(router), http.MethodPost, path, body,
			map[string]string{"Idempotency-Key": key, "X-Request-Id": id})
	}
	awaitOutcome := func(i int) {
		d.Eventually("the outcome is recorded", func() bool { return d.Routers[i].Keeper.PendingOutcomes() == 0 })
	}
	s.Note("a deposit, and its retry through a router of another zone")
	book(0, "book-1", "deposit-1", `{"amount":50}`)
	awaitOutcome(0)
	book(1, "book-2", "deposit-1", `{"amount":50}`)
	s.Note("the same key with another amount")
	book(1, "book-3", "deposit-1", `{"amount":60}`)
	s.Note("no key")
	call(t, d, s, "haulier", d.CallerAddress(0), http.MethodPost, path, `{"amount":50}`, map[string]string{"X-Request-Id": "book-4"})
	s.Note("the service runs the call and its answer is lost; then a retry")
	d.Services["tartu"].SetFaults(service.Faults{CutAfterRun: 1})
	book(0, "book-5", "deposit-2", `{"amount":50}`)
	awaitOutcome(0)
	book(1, "book-6", "deposit-2", `{"amount":50}`)
	s.Endpoints()
	s.Table("claim/")
	golden(t, s)
}

// operatorCall submits a manifest and records the request and its response in the session.
func operatorCall(t *testing.T, d *rwhtest.Deployment, s *rwhtest.Session, participant string, controller int, sub operator.Submission, manifest string) {
	t.Helper()
	accepted, err := d.Operator(controller).SubmitManifest(t.Context(), sub, []byte(manifest))
	var reply rwhtest.Reply
	var response any = accepted
	reply.Status = http.StatusOK
	if err != nil {
		var refused *operator.RefusedError
		require.ErrorAs(t, err, &refused)
		response = refused.Refusal
		info, _ := refused.Code.Info()
		reply.Status = info.HTTPStatus
	}
	data, err := json.MarshalIndent(response, "", "  ")
	require.NoError(t, err)
	reply.Body = string(data)
	request, err := json.Marshal(sub)
	require.NoError(t, err)
	s.Exchange(participant, http.MethodPut, "/v1/manifest", string(request)+" with manifest:\n"+manifest, nil, reply)
}

func TestSessionRefusedManifest(t *testing.T) {
	d, s := start(t)
	s.Note("generation 1 is in force; a manifest with several faults is refused whole")
	operatorCall(t, d, s, "pipeline", 0, operator.Submission{SubmitID: "build-7", Replaces: 1},
		`{"name":"Test","client_accounts":[{"id":"hauliers","key_sha256":["abc"]}],"models":[{"id":"chain-advice","version":1,"replica":{}}]}`)
	operatorCall(t, d, s, "pipeline", 0, operator.Submission{SubmitID: "build-8", Replaces: 1},
		`{"name":"Test","client_accounts":[{"id":"hauliers","key_sha256":["abc"]}],"models":[{"id":"chain-advice","version":"v2","vms_per_replica":0,"replicas":{},"client_accounts":["drivers"]}]}`)
	status, err := d.Operator(0).Status(t.Context())
	require.NoError(t, err)
	s.Note("still in force: generation %d", status.Generation)
	s.Table("submission/")
	golden(t, s)
}

func TestSessionOperatorRace(t *testing.T) {
	d, s := start(t)
	data, _, err := d.Manifest("v2").Canonical()
	require.NoError(t, err)
	s.Note("two operators replace generation 1 through controllers of two zones")
	operatorCall(t, d, s, "operator-a", 0, operator.Submission{SubmitID: "a", Replaces: 1}, string(data))
	operatorCall(t, d, s, "operator-b", 1, operator.Submission{SubmitID: "b", Replaces: 1}, string(data))
	s.Note("the winner's command is repeated, as after a lost answer")
	operatorCall(t, d, s, "operator-a", 1, operator.Submission{SubmitID: "a", Replaces: 1}, string(data))
	s.Note("a zone decision against an old number")
	_, err = d.Operator(0).SetZone(t.Context(), operator.Submission{SubmitID: "z1"}, "parnu", redwinghall.ZoneOut)
	require.NoError(t, err)
	_, err = d.Operator(1).SetZone(t.Context(), operator.Submission{SubmitID: "z2"}, "parnu", redwinghall.ZoneIn)
	s.Note("refused: %v", err)
	s.Table("head", "submission/")
	golden(t, s)
}
