// Package endpoint speaks to model engines: it asks for their reports, gives
// them orders, and keeps the groups of one zone formed.
package endpoint

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"redwinghall"
)

// Kind says what an endpoint error means.
type Kind string

// The kinds of endpoint error.
const (
	Unreachable Kind = "endpoint_unreachable" // silent, or the way to it is
	Refused     Kind = "endpoint_refused"     // its VM answers, its process is gone
	StaleOrder  Kind = "stale_order"          // the engine has obeyed a higher fencing number
	BadAnswer   Kind = "bad_answer"
)

// Error is a failed call to an endpoint.
type Error = redwinghall.OpError[Kind]

// Paths of an engine's control interface.
const (
	PathReport = "/v1/report"
	PathOrders = "/v1/orders"
)

const (
	dialTimeout = 300 * time.Millisecond
	maxAnswer   = 64 << 10
)

// Client is an Engine over HTTP.
type Client struct {
	client *http.Client
	// Timeout bounds each call.
	Timeout time.Duration
}

// NewClient returns a client whose calls take at most timeout.
func NewClient(timeout time.Duration) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{
		Timeout: timeout,
		client: &http.Client{Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: 1,
			IdleConnTimeout:     10 * time.Second,
			DisableCompression:  true,
		}},
	}
}

// Report implements redwinghall.Engine.
func (c *Client) Report(ctx context.Context, address string) (redwinghall.Report, error) {
	var out redwinghall.Report
	data, err := c.do(ctx, "Client.Report", http.MethodGet, address, PathReport, nil)
	if err != nil {
		return out, err
	}
	if err := json.Unmarshal(data, &out); err != nil {
		return out, redwinghall.NewOpError("Client.Report", BadAnswer, err)
	}
	return out, nil
}

// Order implements redwinghall.Engine.
func (c *Client) Order(ctx context.Context, address string, order redwinghall.Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return redwinghall.NewOpError("Client.Order", BadAnswer, err)
	}
	_, err = c.do(ctx, "Client.Order", http.MethodPost, address, PathOrders, body)
	return err
}

func (c *Client) do(ctx context.Context, op, method, address, path string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, redwinghall.NewOpError(op, Unreachable, err)
	}
	request.Header.Set("User-Agent", "") // nobody reads it, and polls are many
	answer, err := c.client.Do(request)
	if err != nil {
		return nil, redwinghall.NewOpError(op, kindOf(err), err)
	}
	defer func() { _ = answer.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswer))
	if err != nil {
		return nil, redwinghall.NewOpError(op, Unreachable, err)
	}
	switch answer.StatusCode {
	case http.StatusOK:
		return data, nil
	case http.StatusConflict:
		return nil, redwinghall.NewOpError(op, StaleOrder, nil)
	default:
		return nil, redwinghall.NewOpError(op, BadAnswer, fmt.Errorf("status %d", answer.StatusCode))
	}
}

// kindOf tells a process that is gone from silence. A connection that was
// refused or reset means that the VM is there and its process is not; a
// time-out may be the network's.
func kindOf(err error) Kind {
	gone := errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, io.EOF)
	if gone {
		return Refused
	}
	return Unreachable
}
