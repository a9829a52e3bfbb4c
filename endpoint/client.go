// Package endpoint communicates with model engines: it polls their reports, sends
// them orders, and manages the groups of one zone.
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
	"redwinghall/dial"
	"redwinghall/httpanswer"
	"redwinghall/kernel"
)

// Kind classifies endpoint errors.
type Kind string

// The kinds of endpoint error.
const (
	Unreachable Kind = "endpoint_unreachable" // no response; the endpoint or the network may be down
	Refused     Kind = "endpoint_refused"     // the VM responds, but the process is not running
	StaleOrder  Kind = "stale_order"          // the engine has accepted a higher fencing number
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
	dialTimeout      = 300 * time.Millisecond
	maxResponseBytes = 64 << 10
	maxHeadBytes     = 32 << 10 // of a response
)

// Client implements redwinghall.Engine over HTTP.
type Client struct {
	client *http.Client
	// Timeout bounds each call.
	Timeout time.Duration
}

// NewClient returns a client whose calls take at most timeout.
func NewClient(timeout time.Duration) *Client {
	return &Client{
		Timeout: timeout,
		client: &http.Client{Transport: httpanswer.New(&http.Transport{
			DialContext:         dial.WithTimeout(new(net.Dialer).DialContext, dialTimeout),
			MaxIdleConnsPerHost: 1,
			IdleConnTimeout:     10 * time.Second,
			DisableCompression:  true,

			MaxResponseHeaderBytes: maxHeadBytes,
		})},
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
	ctx, cancel := kernel.WithTimeout(ctx, c.Timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, redwinghall.NewOpError(op, Unreachable, err)
	}
	request.Header.Set("User-Agent", "") // saves bytes: polls are frequent, and engines do not use the header
	response, err := c.client.Do(request)
	if err != nil {
		return nil, redwinghall.NewOpError(op, kindOf(err), err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, redwinghall.NewOpError(op, Unreachable, err)
	}
	switch response.StatusCode {
	case http.StatusOK:
		return data, nil
	case http.StatusConflict:
		return nil, redwinghall.NewOpError(op, StaleOrder, nil)
	default:
		return nil, redwinghall.NewOpError(op, BadAnswer, fmt.Errorf("status %d", response.StatusCode))
	}
}

// kindOf distinguishes a process that is not running from an endpoint that does
// not respond. A connection that is refused or reset means that the VM is up and
// the process is not; a timeout may be caused by the network.
func kindOf(err error) Kind {
	gone := errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, io.EOF)
	if gone {
		return Refused
	}
	return Unreachable
}
