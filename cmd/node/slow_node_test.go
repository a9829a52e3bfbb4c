package main_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/kernel"
	"redwinghall/platform/platformtest"
)

const (
	// slowProcessor is so little that a node has soon more new connections than it serves.
	slowProcessor = 0.02
	slowNodeWork  = 2 * time.Second
	slowDesks     = 16
	slowNodePlay  = 8 * time.Second
	// keptCallers use one connection each, newCallers one for each request.
	keptCallers, newCallers = 24, 40
	callerPause             = 20 * time.Millisecond
	// slowRounds times the node stands still for slowStill beside a version and a reload.
	slowRounds = 10
	slowStill  = 300 * time.Millisecond
	slowRun    = 300 * time.Millisecond
	// unreadTime is how long a request waits at most whose connection may be closed unread.
	unreadTime = 200 * time.Millisecond
)

// slowPlay counts the requests of its callers.
type slowPlay struct {
	mu       sync.Mutex
	statuses map[int]int
	unread   int      // closed unread in time
	lost     []string // without a status
}

// call sends a request. Its connection may be closed unread if it is new.
func (s *slowPlay) call(ctx context.Context, client *http.Client, p *nodeProcess, path, id string) error {
	isNew := true
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { isNew = !info.Reused }})
	r, err := platformtest.NewRequest(ctx, http.MethodPost, p.settings.CallerAddress, path, strings.NewReader("amount=50"), platformtest.RequestInfo{
		ID: id, Key: "key-1", Timeout: 5 * time.Second,
	})
	if err != nil {
		return err
	}
	sent := time.Now()
	response, err := client.Do(r)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
		err = errors.Join(err, response.Body.Close())
	}
	took := time.Since(sent)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err == nil:
		s.statuses[response.StatusCode]++
	case isNew && took < unreadTime:
		s.unread++
	default:
		s.lost = append(s.lost, fmt.Sprintf("%s after %s: %v", id, took.Round(time.Millisecond), err))
	}
	return nil
}

// callUntil calls until ctx ends.
func (s *slowPlay) callUntil(ctx context.Context, p *nodeProcess, path, name string, keeps bool) error {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: !keeps}}
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		if err := s.call(context.Background(), client, p, path, fmt.Sprint(name, "-", n)); err != nil {
			return err
		}
		kernel.Sleep(ctx, callerPause)
	}
	return nil
}

// newSlowNode prepares a node with little processor at a store.
func newSlowNode(t *testing.T, store *platformtest.Store, name string) *nodeProcess {
	t.Helper()
	p := newNodeProcess(t)
	p.settings.Node, p.settings.StoreAddress, p.settings.Processor = name, store.Address(), slowProcessor
	require.NoError(t, os.WriteFile(p.path, []byte(p.settings.Text()), 0o600))
	p.start()
	return p
}

// A slow node gets new and repeated callers beside versions of thousands of routes and reloads: a request that it left waiting gets a status.
func TestSlowNodeBesideVersionsAnswersWhatHasWaited(t *testing.T) {
	store := platformtest.NewStore()
	t.Cleanup(store.Close)
	require.NoError(t, store.PutConfiguration(platformtest.NewDraft(1)))
	for i := range slowDesks {
		desk, err := platformtest.NewEndpoint(platformtest.EndpointConfig{ID: fmt.Sprint("desk-", i), Service: "desk", Zone: "a", Work: slowNodeWork}, store, platformtest.NewRunCounter())
		require.NoError(t, err)
		t.Cleanup(desk.Close)
	}
	p, other := newSlowNode(t, store, "n1"), newSlowNode(t, store, "n2")
	p.waitReady()
	other.waitReady()
	time.Sleep(time.Second) // the nodes know of each other
	play := &slowPlay{statuses: map[int]int{}}
	calling, stop := context.WithTimeout(t.Context(), slowNodePlay)
	defer stop()
	g := kernel.NewGroup(calling)
	for i := range keptCallers {
		g.Go("kept", func(ctx context.Context) error {
			return play.callUntil(ctx, p, "/book/x", fmt.Sprint("kept-", i), true)
		})
	}
	for i := range newCallers {
		g.Go("new", func(ctx context.Context) error {
			return play.callUntil(ctx, p, "/book/x", fmt.Sprint("new-", i), false)
		})
	}
	for round := range slowRounds {
		time.Sleep(slowRun)
		next := platformtest.NewDraft(2 + round)
		platformtest.ConfigurationChanges["8,000 routes more"](next)
		require.NoError(t, store.PutConfiguration(next))
		text := strings.Replace(p.settings.Text(), "stall_ms=4000", fmt.Sprint("stall_ms=", 4000+round), 1)
		require.NoError(t, os.WriteFile(p.path, []byte(text), 0o600))
		p.signal(syscall.SIGHUP)
		p.signal(syscall.SIGSTOP)
		time.Sleep(slowStill)
		p.signal(syscall.SIGCONT)
	}
	require.NoError(t, g.Wait())
	t.Log("statuses", play.statuses, "closed unread", play.unread, "refused late", strings.Count(p.text(p.log)+p.text(p.errLog), "refused_late"))
	require.Empty(t, play.lost, "%d without a status", len(play.lost))
	require.Positive(t, play.statuses[http.StatusOK])
	require.Positive(t, play.unread, "the node had no more than it serves")
}
