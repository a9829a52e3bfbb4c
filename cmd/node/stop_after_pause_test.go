package main_test

import (
	"context"
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/kernel"
	"redwinghall/platform/platformtest"
)

// Requests that come while a stopping node stands still must be answered, not found closed when it runs again.
func TestStoppingNodeAnswersWhatCameInAPause(t *testing.T) {
	const callers, noticeTime = 20, 2400 * time.Millisecond // noticeTime is how long a node goes on taking connections
	p := newNodeProcess(t)
	p.start()
	p.waitReady()
	p.signal(syscall.SIGTERM)
	time.Sleep(noticeTime - 300*time.Millisecond)
	p.signal(syscall.SIGSTOP)
	g := kernel.NewGroup(t.Context())
	for i := range callers {
		g.Go("caller", func(ctx context.Context) error { return p.requireAnswer(ctx, fmt.Sprint("r-", i)) })
	}
	time.Sleep(time.Second)
	p.signal(syscall.SIGCONT)
	require.NoError(t, g.Wait())
	p.requireExit(0)
}

// requireAnswer returns an error if a request on a new connection gets no response.
func (p *nodeProcess) requireAnswer(ctx context.Context, id string) error {
	request, err := platformtest.NewRequest(ctx, http.MethodGet, p.settings.CallerAddress, "/look/x", nil, platformtest.RequestInfo{
		ID: id, Key: "key-1", Timeout: 5 * time.Second,
	})
	if err != nil {
		return err
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	return response.Body.Close()
}
