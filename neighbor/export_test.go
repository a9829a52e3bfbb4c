package neighbor

import (
	"net/http"

	"redwinghall/neighbor/rpc"
)

// NewClientOver returns a client that sends its calls over a transport.
func NewClientOver(transport http.RoundTripper) *Client {
	return &Client{clients: map[string]rpc.Neighbor{}, http: &http.Client{Transport: transport}}
}
