package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"redwinghall"
	"redwinghall/dial"
	"redwinghall/httpanswer"
)

const (
	clientTimeout    = 15 * time.Second
	maxResponseBytes = 64 << 20
	maxHeadBytes     = 16 << 10
)

// Client is a client of a controller's operator API.
type Client struct {
	address string
	token   string
	client  *http.Client
}

// NewClient returns a client of the controller at address, given as host:port.
func NewClient(address, token string) *Client {
	transport := httpanswer.New(&http.Transport{
		Proxy: http.ProxyFromEnvironment, DialContext: new(net.Dialer).DialContext, MaxResponseHeaderBytes: maxHeadBytes,
	})
	return &Client{address: address, token: token, client: &http.Client{Timeout: clientTimeout, Transport: transport}}
}

// RefusedError is an error response of the controller.
type RefusedError struct {
	Refusal
}

// Error returns the code and the message.
func (e *RefusedError) Error() string { return string(e.Code) + ": " + e.Message }

// SubmitManifest submits a manifest's JSON.
func (c *Client) SubmitManifest(ctx context.Context, sub Submission, manifest []byte) (Accepted, error) {
	var out Accepted
	err := c.do(ctx, http.MethodPut, "/v1/manifest", ManifestRequest{Submission: sub, Manifest: manifest}, &out)
	return out, err
}

// SetZone takes a zone out of service or puts it back into service.
func (c *Client) SetZone(ctx context.Context, sub Submission, zone string, state redwinghall.ZoneState) (Accepted, error) {
	var out Accepted
	err := c.do(ctx, http.MethodPut, "/v1/zones/"+zone, ZoneRequest{Submission: sub, State: state}, &out)
	return out, err
}

// Status returns the status of the controller's zone and of the deployment.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var out Status
	err := c.do(ctx, http.MethodGet, "/v1/status", nil, &out)
	return out, err
}

func (c *Client) do(ctx context.Context, method, path string, in, out any) error {
	var body []byte
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return redwinghall.NewOpError("Client.do", redwinghall.CodeBadRequest, err)
		}
		body = data
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.address+path, bytes.NewReader(body))
	if err != nil {
		return redwinghall.NewOpError("Client.do", redwinghall.CodeBadRequest, err)
	}
	request.Header.Set("Authorization", "Bearer "+c.token)
	request.Header.Set("Content-Type", "application/json")
	response, err := c.client.Do(request)
	if err != nil {
		return redwinghall.NewOpError("Client.do", codeOfSendError(err), err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return redwinghall.NewOpError("Client.do", redwinghall.CodeResultUnknown, err)
	}
	if response.StatusCode != http.StatusOK {
		return refusalOf(response.StatusCode, data)
	}
	if err := json.Unmarshal(data, out); err != nil {
		return redwinghall.NewOpError("Client.do", redwinghall.CodeResultUnknown, err)
	}
	return nil
}

// codeOfSendError distinguishes a connection that could not be opened, so that
// nothing was sent, from a lost response.
func codeOfSendError(err error) redwinghall.Code {
	if dial.Failed(err) {
		return redwinghall.CodeControllerUnreachable
	}
	return redwinghall.CodeResultUnknown
}

func refusalOf(status int, data []byte) error {
	var r Refusal
	if err := json.Unmarshal(data, &r); err != nil || r.Code == "" {
		return redwinghall.NewOpError("refusalOf", redwinghall.CodeResultUnknown, fmt.Errorf("status %d", status))
	}
	return &RefusedError{Refusal: r}
}
