package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// sent is one attempt of a client.
type sent struct {
	id, node string
	status   int // 0 for no answer
	err      error
}

// book sends a booking on a new channel, as a client does, and notes what became of it.
func (p *play) book(ctx context.Context, n *node, host, path, key string) sent {
	one := sent{id: fmt.Sprintf("%016x", rand.Uint64()), node: n.name}
	ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.front+path, strings.NewReader(`{"deposit":50}`))
	if err != nil {
		one.err = err
		return one
	}
	request.Host = host
	request.Header.Set("Request-Id", one.id)
	request.Header.Set("Request-Deadline", "3000")
	request.Header.Set("Authorization", "Bearer "+key)
	transport := &http.Transport{DisableKeepAlives: true}
	response, err := transport.RoundTrip(request)
	if err != nil {
		one.err = err
		p.line("no answer request %s, sent to %s with key %s: %s", one.id, n.name, key, err)
		return one
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	one.status, one.err = response.StatusCode, err
	p.line("answer    request %s, sent to %s with key %s: %d, signature %q, %d bytes, err %v", one.id, n.name, key, one.status,
		response.Header.Get("Response-Signature"), len(body), err)
	return one
}

// looked is an attempt of a look-up with the body that came.
type looked struct {
	sent
	body string
}

// look sends a look-up, which may run more than once, on a new channel.
func (p *play) look(ctx context.Context, n *node, path string) looked {
	one := looked{sent: sent{id: fmt.Sprintf("%016x", rand.Uint64()), node: n.name}}
	ctx, cancel := context.WithTimeout(ctx, 4*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.front+path, nil)
	if err != nil {
		one.err = err
		return one
	}
	request.Host = "wuny96.example"
	request.Header.Set("Request-Id", one.id)
	request.Header.Set("Request-Deadline", "3000")
	request.Header.Set("Authorization", "Bearer key-one")
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	response, err := transport.RoundTrip(request)
	if err != nil {
		one.err = err
		p.line("no answer request %s, sent to %s: %s", one.id, n.name, err)
		return one
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	one.status, one.body, one.err = response.StatusCode, string(body), err
	p.line("answer    request %s, sent to %s, path %s: %d, signature %q, %d bytes, err %v", one.id, n.name, path, one.status,
		response.Header.Get("Response-Signature"), len(body), err)
	return one
}
