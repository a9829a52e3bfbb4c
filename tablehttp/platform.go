// Package tablehttp is a client of the platform's services, the transactional
// table and the list of VMs, which use JSON over HTTP.
package tablehttp

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"redwinghall"
	"redwinghall/dial"
	"redwinghall/httpanswer"
	"redwinghall/kernel"
)

// Paths of the platform's services.
const (
	PathRead   = "/v1/table/read"
	PathScan   = "/v1/table/scan"
	PathCommit = "/v1/table/commit"
	PathVMs    = "/v1/vms"
)

// ReadRequest is the body of a request for the rows of keys.
type ReadRequest struct {
	Keys []string `json:"keys"`
}

// ScanRequest is the body of a request for the rows whose keys have a prefix.
type ScanRequest struct {
	Prefix string `json:"prefix"`
}

// RowsResponse is the response to a ReadRequest or ScanRequest.
type RowsResponse struct {
	Rows []redwinghall.Row `json:"rows"`
}

// ConflictResponse is the response to a commit that failed because the versions of
// these keys have changed (status 409).
type ConflictResponse struct {
	Keys []string `json:"keys"`
}

// VMsResponse is the response that holds the platform's list of VMs.
type VMsResponse struct {
	VMs redwinghall.VMs `json:"vms"`
}

const (
	defaultTimeout   = 2 * time.Second
	dialTimeout      = 500 * time.Millisecond
	maxResponseBytes = 64 << 20
	maxHeadBytes     = 32 << 10 // of a response
	maxIdleConns     = 16
)

// Client implements redwinghall.Table and redwinghall.VMLister over HTTP.
type Client struct {
	base   string
	client *http.Client
	// Timeout limits how long a call waits for the next byte, so that it fails if the platform
	// does not respond.
	Timeout time.Duration
}

// NewClient returns a client of the platform at a host:port address.
func NewClient(address string) *Client {
	return &Client{
		base:    (&url.URL{Scheme: "http", Host: address}).String(),
		Timeout: defaultTimeout,
		client: &http.Client{Transport: httpanswer.New(&http.Transport{
			DialContext:         dial.WithTimeout(new(net.Dialer).DialContext, dialTimeout),
			MaxIdleConnsPerHost: maxIdleConns,
			IdleConnTimeout:     10 * time.Second,

			MaxResponseHeaderBytes: maxHeadBytes,
		})},
	}
}

// Read implements redwinghall.Table.
func (c *Client) Read(ctx context.Context, keys ...string) ([]redwinghall.Row, error) {
	var out RowsResponse
	if err := c.post(ctx, "Client.Read", PathRead, ReadRequest{Keys: keys}, &out); err != nil {
		return nil, err
	}
	if len(out.Rows) != len(keys) {
		return nil, redwinghall.NewOpError("Client.Read", redwinghall.TableUnavailable,
			fmt.Errorf("requested %d rows, got %d", len(keys), len(out.Rows)))
	}
	return out.Rows, nil
}

// Scan implements redwinghall.Table.
func (c *Client) Scan(ctx context.Context, prefix string) ([]redwinghall.Row, error) {
	var out RowsResponse
	err := c.post(ctx, "Client.Scan", PathScan, ScanRequest{Prefix: prefix}, &out)
	return out.Rows, err
}

// Commit implements redwinghall.Table.
func (c *Client) Commit(ctx context.Context, txn redwinghall.Txn) error {
	var out struct{}
	return c.post(ctx, "Client.Commit", PathCommit, txn, &out)
}

// VMs implements redwinghall.VMLister.
func (c *Client) VMs(ctx context.Context) (redwinghall.VMs, error) {
	var out VMsResponse
	err := c.post(ctx, "Client.VMs", PathVMs, struct{}{}, &out)
	return out.VMs, err
}

// post sends in and decodes the response into out. The kind of an error is
// TableUnavailable if nothing was sent or the request was refused,
// TableConflict if a commit found a changed version, and otherwise TableUnknown,
// since the request may have been executed.
func (c *Client) post(ctx context.Context, op, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return redwinghall.NewOpError(op, redwinghall.TableUnavailable, err)
	}
	ctx, timer, cancel := kernel.WithIdleTimeout(ctx, c.Timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(body))
	if err != nil {
		return redwinghall.NewOpError(op, redwinghall.TableUnavailable, err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.client.Do(request)
	if err != nil {
		// The idle connections may be broken too, so the next call must not use
		// one.
		c.client.CloseIdleConnections()
		return redwinghall.NewOpError(op, kindOfSendError(err), err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(timer.Reader(response.Body), maxResponseBytes))
	if err != nil {
		return redwinghall.NewOpError(op, redwinghall.TableUnknown, err)
	}
	return c.decode(op, response.StatusCode, data, out)
}

func (c *Client) decode(op string, status int, data []byte, out any) error {
	switch status {
	case http.StatusOK:
		if err := json.Unmarshal(data, out); err != nil {
			return redwinghall.NewOpError(op, redwinghall.TableUnknown, err)
		}
		return nil
	case http.StatusConflict:
		var conflict ConflictResponse
		if err := json.Unmarshal(data, &conflict); err != nil {
			return redwinghall.NewOpError(op, redwinghall.TableUnknown, err)
		}
		return redwinghall.NewOpError(op, redwinghall.TableConflict, &redwinghall.ConflictError{Keys: conflict.Keys})
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusBadRequest:
		return redwinghall.NewOpError(op, redwinghall.TableUnavailable, fmt.Errorf("HTTP status %d", status))
	default:
		return redwinghall.NewOpError(op, redwinghall.TableUnknown, fmt.Errorf("HTTP status %d", status))
	}
}

func kindOfSendError(err error) redwinghall.TableKind {
	if dial.Failed(err) {
		return redwinghall.TableUnavailable
	}
	return redwinghall.TableUnknown
}
