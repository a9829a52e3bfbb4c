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
	freezeAt    = 50 * time.Millisecond
	crashAt     = 200 * time.Millisecond
	restartAt   = 600 * time.Millisecond
	wakeAt      = 1000 * time.Millisecond // frozen for about 1 s of the 4 s of the site
	slowFor     = 3 * time.Second         // a server that has just started is slow for some seconds
	slowAnswer  = 250 * time.Millisecond
	earlyTrials = 6
)

// answerEndsEarly lets a server crash in the middle of an answer that ends with its connection, while the node that
// passes it on stands still. The server starts again under its id before the node wakes.
func answerEndsEarly(folder string, trouble bool) int {
	s := newStore()
	s.put("op", "config", configuration(7))
	one := newServer(s, "i-desk-1", "desk", "tallinn", 20*time.Millisecond)
	n := newNode(folder, "front-tallinn-1", "tallinn", s.address, 0)
	n.start()
	n.awaitReady()
	time.Sleep(contact)
	c := newClient(n, "key-hauliers")
	violations := 0
	for trial := range earlyTrials {
		route := []string{"/book/deposit", "/stock/chains", "/advice/chains"}[trial%3]
		if !tryAnswer(c, one, n, fmt.Sprintf("early-%d", trial), route, trouble) {
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

// tryAnswer sends one request, and reports whether its client got no answer that looks complete but isn't.
func tryAnswer(c *client, one *server, n *node, id, path string, trouble bool) bool {
	begun := make(chan time.Time, 1)
	crash := make(chan struct{})
	whole, kind, rule := wholeBody(one.id, id), "text/plain", "MIXED"
	if strings.HasPrefix(path, "/advice") {
		whole, kind, rule = wholeStream(), "text/event-stream", "MIXED, ORDER"
	}
	half := strings.Index(whole[len(whole)/2:], "\n\n")
	if half < 0 {
		half = 0
	} else {
		half += 2 // whole events
	}
	half += len(whole) / 2
	one.handle(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		conn, buffered, err := w.(http.Hijacker).Hijack()
		check(err)
		defer func() { _ = conn.Close() }()
		_, _ = fmt.Fprintf(buffered, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: sig.%s.%s\r\nContent-Type: %s\r\nConnection: close\r\n\r\n%s", id, one.id, id, kind, whole[:half])
		_ = buffered.Flush()
		begun <- time.Now()
		if trouble {
			<-crash
			return
		}
		time.Sleep(crashAt)
		_, _ = io.WriteString(buffered, whole[half:])
		_ = buffered.Flush()
	})
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
		done <- result{response.StatusCode, response.Header.Get("Response-Signature"), string(data), err}
	}()
	var at time.Time
	select {
	case at = <-begun:
	case got := <-done:
		couldNotRun("%s never reached its server: status %d, %v", id, got.status, got.err)
	}
	note("%s: %s sends the head and half of the body, of an answer that ends with its connection", id, one.id)
	if trouble {
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
	got := <-done
	one.handle(nil)
	early := got.err == nil && got.status/100 == 2 && got.body != whole
	note("%s: the client gets status %d, signature %q, %d of %d bytes, end of the body: %v", id, got.status, got.proof, len(got.body), len(whole), got.err)
	if early {
		note("%s: %s got a complete 2xx answer that isn't the server's whole body", rule, id)
	}
	if !trouble && (got.err != nil || got.body != whole) {
		couldNotRun("%s failed without trouble", id)
	}
	return !early
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
