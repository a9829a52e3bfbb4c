package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"time"
)

// Times of the case, from the beginning of an answer.
const (
	freezeAt     = 50 * time.Millisecond
	crashAt      = 200 * time.Millisecond
	restartAt    = 600 * time.Millisecond
	wakeAt       = 1000 * time.Millisecond // cut or frozen for about 1 s, of 5.5 and 4 s at the site
	slowFor      = 3 * time.Second         // a server that has just started is slow for some seconds
	slowAnswer   = 250 * time.Millisecond
	earlyTrials  = 6
	earlyServers = 3 // one of them is in trouble: share 0.22 at the site
)

// answerEndsEarly lets a server crash in the middle of an answer that ends with its connection: first behind a cut in one
// direction, then while the node that passes the answer on stands still. The server starts again under its id.
func answerEndsEarly(folder string, trouble bool) int {
	s := newStore()
	s.put("op", "config", configuration(7))
	var servers []*linkedServer
	for i := range earlyServers {
		one := newServer(s, fmt.Sprintf("i-desk-%d", i+1), "desk", "tallinn", 20*time.Millisecond)
		path := newLink(one.address)
		one.entryAddress = path.address
		one.register()
		servers = append(servers, &linkedServer{one, path})
	}
	n := newNode(folder, "front-tallinn-1", "tallinn", s.address, 0)
	n.start()
	n.awaitReady()
	time.Sleep(contact)
	c := newClient(n, "key-hauliers")
	violations := 0
	for trial := range earlyTrials {
		route := []string{"/book/deposit", "/stock/chains", "/advice/chains"}[trial%3]
		behindCut := trial < earlyTrials/2
		if !tryAnswer(c, servers, n, behindCut, fmt.Sprintf("early-%d", trial), route, trouble) {
			violations++
		}
		time.Sleep(contact + 1500*time.Millisecond)
	}
	note("%d answers ended early and looked complete", violations)
	if violations > 0 {
		return broken
	}
	return held
}

// linkedServer is a server behind a link.
type linkedServer struct {
	*server
	path *link
}

// beginning says which server has begun an answer, and when.
type beginning struct {
	server *linkedServer
	whole  string
	at     time.Time
}

// tryAnswer sends one request, and reports whether its client got no answer that looks complete but isn't.
func tryAnswer(c *client, servers []*linkedServer, n *node, behindCut bool, id, path string, trouble bool) bool {
	begun := make(chan beginning, earlyServers)
	crash := make(chan struct{})
	rule := "MIXED"
	if strings.HasPrefix(path, "/advice") {
		rule = "MIXED, ORDER"
	}
	for _, one := range servers {
		one.handle(func(w http.ResponseWriter, r *http.Request) { answerInTwoHalves(one, w, r, begun, crash, trouble) })
	}
	type result struct {
		status int
		proof  string
		body   string
		err    error
	}
	done := make(chan result, 1)
	go func() {
		method, body := "POST", "{}"
		if strings.HasPrefix(path, "/stock") {
			method, body = "GET", ""
		}
		note("%s: %s %s is sent", id, method, path)
		response, err := c.http.Do(c.request(context.Background(), method, path, id, body))
		if err != nil {
			done <- result{err: err}
			return
		}
		data, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		note("%s: the client gets status %d, signature %q, %d bytes, end of the body: %v", id, response.StatusCode, response.Header.Get("Response-Signature"), len(data), err)
		done <- result{response.StatusCode, response.Header.Get("Response-Signature"), string(data), err}
	}()
	var first beginning
	select {
	case first = <-begun:
	case got := <-done:
		couldNotRun("%s never reached its server: status %d, %v", id, got.status, got.err)
	}
	one, whole := first.server, first.whole
	note("%s: %s sends the head and half of the body, of an answer that ends with its connection", id, one.id)
	switch {
	case trouble && behindCut:
		crashBehindCut(one.server, one.path, id, first.at, crash)
	case trouble:
		crashBesideFreeze(one.server, n, id, first.at, crash)
	}
	got := <-done
	for _, one := range servers {
		one.handle(nil)
	}
	early := got.err == nil && got.status/100 == 2 && got.body != whole
	if early {
		note("%s: %s got %d of %d bytes in an answer that looks complete", rule, id, len(got.body), len(whole))
	}
	if !trouble && (got.err != nil || got.body != whole) {
		couldNotRun("%s failed without trouble", id)
	}
	return !early
}

// answerInTwoHalves sends the head and half of the body of an answer that ends with its connection, and the rest later, unless
// the server crashes.
func answerInTwoHalves(one *linkedServer, w http.ResponseWriter, r *http.Request, begun chan<- beginning, crash <-chan struct{}, trouble bool) {
	id := r.Header.Get("Request-Id")
	_, _ = io.Copy(io.Discard, r.Body)
	whole, kind := wholeBody(one.id, id), "text/plain"
	if strings.HasPrefix(r.URL.Path, "/advice") {
		whole, kind = wholeStream(), "text/event-stream"
	}
	half := len(whole) / 2
	if end := strings.Index(whole[half:], "\n\n"); end >= 0 {
		half += end + 2 // whole events
	}
	conn, buffered, err := w.(http.Hijacker).Hijack()
	check(err)
	defer func() { _ = conn.Close() }()
	_, _ = fmt.Fprintf(buffered, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: sig.%s.%s\r\nContent-Type: %s\r\nConnection: close\r\n\r\n%s", id, one.id, id, kind, whole[:half])
	_ = buffered.Flush()
	begun <- beginning{one, whole, time.Now()}
	if trouble {
		<-crash
		return
	}
	time.Sleep(crashAt)
	_, _ = io.WriteString(buffered, whole[half:])
	_ = buffered.Flush()
}

// crashBehindCut cuts the way from the node to the server, in one direction. The server crashes behind the cut and starts
// again.
func crashBehindCut(one *server, cut *link, id string, at time.Time, crash chan struct{}) {
	time.Sleep(time.Until(at.Add(freezeAt)))
	if !cut.CutOneWay() {
		couldNotRun("the kernel doesn't drop opening packets")
	}
	note("%s: %s is cut off, one way: nothing reaches it, what it sends arrives", id, one.id)
	time.Sleep(time.Until(at.Add(crashAt)))
	close(crash)
	one.crash()
	note("%s: %s crashes", id, one.id)
	time.Sleep(time.Until(at.Add(restartAt)))
	one.restart(0, 0)
	note("%s: %s has started again under its id", id, one.id)
	time.Sleep(time.Until(at.Add(wakeAt)))
	cut.Heal()
	note("%s: the cut ends", id)
}

// crashBesideFreeze freezes the node. The server crashes meanwhile and starts again.
func crashBesideFreeze(one *server, n *node, id string, at time.Time, crash chan struct{}) {
	time.Sleep(time.Until(at.Add(freezeAt)))
	check(n.cmd.Process.Signal(syscall.SIGSTOP))
	note("%s: %s freezes", id, n.name)
	time.Sleep(time.Until(at.Add(crashAt)))
	close(crash)
	one.crash()
	note("%s: %s crashes", id, one.id)
	time.Sleep(time.Until(at.Add(restartAt)))
	one.restart(slowFor, slowAnswer)
	note("%s: %s has started again under its id, and is slow for %s", id, one.id, slowFor)
	time.Sleep(time.Until(at.Add(wakeAt)))
	check(n.cmd.Process.Signal(syscall.SIGCONT))
	note("%s: %s wakes", id, n.name)
}

// wholeStream returns the events of a server's stream.
func wholeStream() string {
	var b strings.Builder
	for i := range 28 {
		_, _ = fmt.Fprintf(&b, "id: %d\ndata: piece %02d of 28\n\n", i+1, i+1)
	}
	return b.String()
}

// wholeBody returns the body of a server's answer.
func wholeBody(server, id string) string {
	return strings.Repeat(fmt.Sprintf("%s booked %s, %04d\n", server, id, 1), 20) + "end\n"
}
