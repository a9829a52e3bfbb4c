package caller_test

import (
	"bufio"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall"
	"redwinghall/caller"
	"redwinghall/kernel"
	"redwinghall/rwhtest"
	"redwinghall/standin/service"
	"redwinghall/standin/table"
)

func codeOf(t *testing.T, r rwhtest.Reply) redwinghall.Code {
	t.Helper()
	var body caller.Refusal
	require.NoError(t, json.Unmarshal([]byte(r.Body), &body), r.Body)
	return body.Error.Code
}

func twoZones(t *testing.T) *rwhtest.Deployment {
	t.Helper()
	d := rwhtest.Start(t, rwhtest.Options{Zones: []string{"tartu", "parnu"}})
	d.Submit("v1")
	return d
}

// A caller sends the same deposit many times at once through routers of two zones.
// If each router checked the key on its own, the deposit would run more than once.
func TestManyRetriesAtOnceRunOnce(t *testing.T) {
	d := twoZones(t)
	const retries = 40
	replies := make(chan rwhtest.Reply, retries)
	g := kernel.NewGroup(t.Context())
	for i := range retries {
		g.Go("book", func(context.Context) error {
			r, err := d.PostDeposit(i%2, "deposit-1")
			replies <- r
			return err
		})
	}
	require.NoError(t, g.Wait())
	close(replies)
	for r := range replies {
		if r.Status != http.StatusOK {
			require.Equal(t, redwinghall.CodeInProgress, codeOf(t, r))
			require.NotEmpty(t, r.Header.Get("Retry-After"))
		}
	}
	require.Equal(t, 1, d.Runs("deposit-1"))
	require.Eventually(t, func() bool {
		r, err := d.PostDeposit(1, "deposit-1")
		return err == nil && r.Status == http.StatusOK && r.Header.Get(caller.HeaderReplayed) == "true"
	}, time.Minute, 5*time.Millisecond)
	require.Equal(t, 1, d.Runs("deposit-1"))
}

// The service executes a call, its connection is cut before the response arrives, and
// the caller retries through both zones. A lost response must not be taken for a call
// that was not executed, or the call runs twice.
func TestCutAfterRunIsUnknownAndNeverSentAgain(t *testing.T) {
	d := twoZones(t)
	for _, s := range d.Services {
		s.SetFaults(service.Faults{CutAfterRun: 1})
	}
	r, err := d.PostDeposit(0, "credit-1")
	require.NoError(t, err)
	require.Equal(t, redwinghall.CodeOutcomeUnknown, codeOf(t, r))
	for i := range 2 {
		require.Eventually(t, func() bool {
			r, err := d.PostDeposit(i, "credit-1")
			return err == nil && codeOf(t, r) == redwinghall.CodeOutcomeUnknown
		}, time.Minute, 5*time.Millisecond)
	}
	require.Equal(t, 1, d.Runs("credit-1"))
}

// A service keeps the connection of a first call open, reads the next call on it,
// executes it, and closes the connection without a response. Go's transport retries a
// request with an Idempotency-Key by itself when a reused connection breaks, so such a
// call would run twice.
func TestTransportDoesNotRepeatOnReusedConnection(t *testing.T) {
	d := rwhtest.Start(t, rwhtest.Options{})
	address, runs := closingService(t)
	vms := d.VMs()
	for i := range vms {
		if vms[i].Service != "" {
			vms[i].Address = address
		}
	}
	d.Table.SetVMs(vms)
	d.Submit("v1")
	require.Eventually(t, func() bool {
		endpoints := d.Routers[0].Selector.View().Services[rwhtest.Service].Endpoints
		return len(endpoints) == 1 && endpoints[0].Address == address
	}, time.Minute, 5*time.Millisecond)
	for _, key := range []string{"a", "b", "c", "d"} {
		_, err := d.PostDeposit(0, key)
		require.NoError(t, err)
	}
	counted := map[string]int{}
	for range len(runs) {
		counted[<-runs]++
	}
	require.Equal(t, map[string]int{"a": 1, "b": 1, "c": 1, "d": 1}, counted)
}

// closingService starts a service that responds to the first call of each connection
// and closes it after reading the second, which counts as executed.
func closingService(t *testing.T) (string, chan string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	runs := make(chan string, 100)
	g := kernel.NewGroup(context.Background())
	g.Go("accept", func(context.Context) error {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return nil
			}
			g.Go("serve", func(context.Context) error {
				serveTwice(conn, runs)
				return nil
			})
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		_ = g.Wait()
	})
	return listener.Addr().String(), runs
}

func serveTwice(conn net.Conn, runs chan string) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for call := range 2 {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body := make([]byte, request.ContentLength)
		_, _ = request.Body.Read(body)
		runs <- request.Header.Get(caller.HeaderIdempotency)
		if call == 0 {
			_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
		}
	}
}

// The caller disconnects while its call is in progress, and later retries with the
// same key. The outcome would be lost if the router canceled the call when the caller
// disconnects.
func TestOutcomeIsKeptWhenCallerHasGone(t *testing.T) {
	d := twoZones(t)
	arrivals := make(chan string, 10)
	for _, s := range d.Services {
		s.Arrivals = arrivals
		s.SetFaults(service.Faults{Delay: redwinghall.Duration(200 * time.Millisecond)})
	}
	ctx, cancel := context.WithCancel(t.Context())
	g := kernel.NewGroup(t.Context())
	g.Go("caller", func(context.Context) error {
		_, err := d.Call(ctx, http.MethodPost, d.CallerAddress(0), "/v1/services/"+rwhtest.Service+"/deposits",
			`{"amount":50}`, map[string]string{caller.HeaderIdempotency: "gone-1"})
		if err == nil {
			t.Error("the caller received a response although it should have disconnected before")
		}
		return nil
	})
	require.Equal(t, "gone-1", <-arrivals)
	cancel()
	require.NoError(t, g.Wait())
	var r rwhtest.Reply
	d.Eventually("the call has an outcome", func() bool {
		var err error
		r, err = d.PostDeposit(1, "gone-1")
		return err == nil && (r.Status == http.StatusOK || codeOf(t, r) != redwinghall.CodeInProgress)
	})
	require.Equal(t, http.StatusOK, r.Status, r.Body)
	require.Equal(t, "true", r.Header.Get(caller.HeaderReplayed))
	require.Equal(t, 1, d.Runs("gone-1"))
}

// A caller that gets the outcome not_run may send a call again, so the first one must
// not have been executed. The calls have different deadlines, which pass shortly before
// or after the router sends the call. The service's own count must be zero for each
// not_run, and never above one.
func TestDeadlinesAroundDispatchKeepNotRunTrue(t *testing.T) {
	d := twoZones(t)
	d.Table.SetFaults(table.Faults{Latency: redwinghall.Duration(2 * time.Millisecond)})
	const calls = 150
	type result struct {
		key     string
		outcome redwinghall.Outcome
	}
	results := make(chan result, calls)
	g := kernel.NewGroup(t.Context())
	for i := range calls {
		g.Go("book", func(ctx context.Context) error {
			key := "race-" + string(rune('a'+i%26)) + string(rune('a'+i/26))
			timeout := time.Duration(i) * 100 * time.Microsecond
			r, err := d.Call(ctx, http.MethodPost, d.CallerAddress(i%2), "/v1/services/"+rwhtest.Service+"/deposits", `{}`,
				map[string]string{caller.HeaderIdempotency: key, caller.HeaderTimeout: (timeout + time.Microsecond).String()})
			if err != nil {
				return err
			}
			out := result{key: key, outcome: redwinghall.Ran}
			if r.Status != http.StatusOK {
				var body caller.Refusal
				if err := json.Unmarshal([]byte(r.Body), &body); err != nil {
					return err
				}
				out.outcome = body.Error.Outcome
			}
			results <- out
			return nil
		})
	}
	require.NoError(t, g.Wait())
	close(results)
	d.Eventually("every outcome is recorded", func() bool {
		return d.Routers[0].Keeper.PendingOutcomes()+d.Routers[1].Keeper.PendingOutcomes() == 0 &&
			d.Routers[0].Server.CallsDone() && d.Routers[1].Server.CallsDone()
	})
	for r := range results {
		runs := d.Runs(r.key)
		require.LessOrEqual(t, runs, 1, r.key)
		if r.outcome == redwinghall.NotRun {
			require.Zero(t, runs, "%s had the outcome not_run", r.key)
		}
	}
}

// While the platform's table is unavailable, calls that must run at most once are
// refused at once and not executed. Afterwards the same key works.
func TestTableOutageRefusesNotRun(t *testing.T) {
	d := twoZones(t)
	d.Table.SetFaults(table.Faults{Down: true})
	r, err := d.PostDeposit(0, "storm-1")
	require.NoError(t, err)
	require.Equal(t, redwinghall.CodeClaimsUnavailable, codeOf(t, r))
	require.NotEmpty(t, r.Header.Get("Retry-After"))
	require.Zero(t, d.Runs("storm-1"))

	result := d.Load(4, 2, 8, 0, 1)
	require.Equal(t, 4, result.Correct, "chat completions work without the table")

	d.Table.SetFaults(table.Faults{})
	d.Eventually("the deposit runs", func() bool {
		r, err := d.PostDeposit(1, "storm-1")
		return err == nil && r.Status == http.StatusOK
	})
	require.Equal(t, 1, d.Runs("storm-1"))
}

func TestServiceRequestsAreChecked(t *testing.T) {
	d := twoZones(t)
	path := "/v1/services/" + rwhtest.Service + "/deposits"
	tests := []struct {
		name   string
		path   string
		header map[string]string
		body   string
		want   redwinghall.Code
	}{
		{"no key", path, nil, `{}`, redwinghall.CodeKeyRequired},
		{"key with a slash", path, map[string]string{caller.HeaderIdempotency: "a/b"}, `{}`, redwinghall.CodeBadRequest},
		{"unknown service", "/v1/services/none/x", map[string]string{caller.HeaderIdempotency: "k"}, `{}`, redwinghall.CodeUnknownService},
		{"unknown API key", path, map[string]string{"Authorization": "Bearer wrong"}, `{}`, redwinghall.CodeUnknownKey},
		{"bad timeout", path, map[string]string{caller.HeaderTimeout: "soon", caller.HeaderIdempotency: "k"}, `{}`, redwinghall.CodeBadRequest},
		{"too large", path, map[string]string{caller.HeaderIdempotency: "k"}, string(make([]byte, 2<<20)), redwinghall.CodeTooLarge},
		{"unknown path", "/v2/nothing", nil, ``, redwinghall.CodeUnknownPath},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r, err := d.Call(t.Context(), http.MethodPost, d.CallerAddress(0), tt.path, tt.body, tt.header)
			require.NoError(t, err)
			require.Equal(t, tt.want, codeOf(t, r))
			info, _ := tt.want.Info()
			require.Equal(t, info.HTTPStatus, r.Status)
		})
	}
}
