package rwhtest

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/stretchr/testify/require"

	"redwinghall/standin/load"
)

// Reply is an HTTP response with its complete body.
type Reply struct {
	Status int
	Header http.Header
	Body   string
}

// Call sends a request as the test's client account and reads the response.
func (d *Deployment) Call(ctx context.Context, method, address, path, body string, header map[string]string) (Reply, error) {
	d.t.Helper()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader([]byte(body)))
	require.NoError(d.t, err)
	request.Header.Set("Authorization", "Bearer "+Key)
	request.Header.Set("Content-Type", "application/json")
	for k, v := range header {
		request.Header.Set(k, v)
	}
	response, err := d.Client.Do(request)
	if err != nil {
		return Reply{}, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return Reply{Status: response.StatusCode, Header: response.Header, Body: string(data)}, err
}

// PostDeposit sends a deposit under an idempotency key through router i.
func (d *Deployment) PostDeposit(i int, key string) (Reply, error) {
	d.t.Helper()
	return d.Call(d.t.Context(), http.MethodPost, d.CallerAddress(i), "/v1/services/"+Service+"/deposits",
		`{"amount":50}`, map[string]string{"Idempotency-Key": key})
}

// Runs returns how often the call with an idempotency key was executed, over
// all zones.
func (d *Deployment) Runs(key string) int {
	n := 0
	for _, s := range d.Services {
		n += s.Runs()[key]
	}
	return n
}

// Load sends streamed requests through the given routers and checks every
// response against the expected one.
func (d *Deployment) Load(requests, workers, tokens int, routers ...int) load.Result {
	c := load.Config{Key: Key, Model: Model, Requests: requests, Workers: workers, Tokens: tokens, Timeout: waitLimit, Seed: 7}
	for _, i := range routers {
		c.Routers = append(c.Routers, d.CallerAddress(i))
	}
	return load.Run(d.t.Context(), c)
}
