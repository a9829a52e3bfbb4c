package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// linkDelay is how much later a packet comes that the link lost once: Linux sends it again after 0.2 s.
	linkDelay = 220 * time.Millisecond
	// restartTime is how long a worker that crashed takes to listen again.
	restartTime = 100 * time.Millisecond
	halfTries   = 4 // for each node
)

// looseWorker is a sound worker of a plain service whose long answers have no length and end with their channel. Like the
// bench's own it knows no report: whoever asks for one gets 400, as the question bears no Request-Id.
type looseWorker struct {
	id, zone, inner, outer string // inner is where its process listens, outer the address of the link to it, which it registers
	play                   *play

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	born     int64
	sequence int64
	delayed  bool // the link holds what comes from the worker
}

func (p *play) startLooseWorker(last int, zone string) (*looseWorker, error) {
	w := &looseWorker{id: fmt.Sprintf("i-%08x", rand.Uint32()), zone: zone, inner: p.address(last, 8121), outer: p.address(last, 8120), play: p}
	if err := w.start(); err != nil {
		return nil, err
	}
	link, err := net.Listen("tcp", w.outer)
	if err != nil {
		return nil, err
	}
	go w.serveLink(link)
	go func() {
		for {
			w.beat()
			time.Sleep(1200 * time.Millisecond)
		}
	}()
	p.line("worker    %s in %s", w.id, zone)
	return w, nil
}

// start starts a life of the worker, which registers at once.
func (w *looseWorker) start() error {
	listener, err := net.Listen("tcp", w.inner)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.listener, w.conns, w.born, w.sequence = listener, map[net.Conn]bool{}, time.Now().UnixMilli(), 0
	conns := w.conns
	w.mu.Unlock()
	w.beat()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			w.mu.Lock()
			conns[conn] = true
			w.mu.Unlock()
			go w.serveConn(conn)
		}
	}()
	return nil
}

func (w *looseWorker) beat() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.listener == nil {
		return
	}
	w.sequence++
	value, _ := json.Marshal(object{
		"service": "xano55b", "address": w.outer, "zone": w.zone, "version": "v1", "slots": slots, "state": "ready",
		"cold_remaining_ms": 0, "sequence": w.sequence, "born": w.born,
	})
	w.play.store.put("servers", w.id, value)
}

// crash ends the life of the worker: its kernel closes all channels, and nobody listens until the next life.
func (w *looseWorker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = w.listener.Close()
	w.listener = nil
	for conn := range w.conns {
		_ = conn.Close()
	}
	w.play.line("worker    %s crashes", w.id)
}

func (w *looseWorker) setDelayed(delayed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.delayed = delayed
}

// serveLink passes channels on. While it is delayed, what the worker sends on channels that were open before comes late, and so
// does the end of these channels.
func (w *looseWorker) serveLink(link net.Listener) {
	for {
		outside, err := link.Accept()
		if err != nil {
			return
		}
		inside, err := net.Dial("tcp", w.inner)
		if err != nil { // a port with no listener resets the channel
			_ = outside.(*net.TCPConn).SetLinger(0)
			_ = outside.Close()
			continue
		}
		go func() {
			_, _ = io.Copy(inside, outside)
			_ = inside.(*net.TCPConn).CloseWrite()
		}()
		go w.passOn(outside, inside)
	}
}

func (w *looseWorker) passOn(outside, inside net.Conn) {
	buffer := make([]byte, 4096)
	for {
		n, err := inside.Read(buffer)
		w.mu.Lock()
		delayed := w.delayed
		w.mu.Unlock()
		if delayed {
			time.Sleep(linkDelay)
		}
		if n > 0 {
			_, _ = outside.Write(buffer[:n])
		}
		if err != nil {
			_ = outside.Close()
			return
		}
	}
}

// wholeAnswer is the body that a worker gives to a request.
func wholeAnswer(worker, request string) string {
	return strings.Repeat(fmt.Sprintf("%s answers %s\n", worker, request), 16)
}

func (w *looseWorker) serveConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		in, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, in.Body)
		id := in.Header.Get("Request-Id")
		switch {
		case in.Header.Get("Expected-Instance") != "" && in.Header.Get("Expected-Instance") != w.id:
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", w.id)
			continue
		case in.URL.Path == "/health":
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nInstance-Load: 0,0,%d\r\nContent-Length: 0\r\n\r\n", w.id, slots)
			continue
		case id == "":
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 400 Bad Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		w.play.record.ran(run{Request: id, Worker: w.id, Path: in.URL.Path, Tenant: in.Header.Get("Tenant"), At: time.Now()})
		w.answer(conn, id, strings.HasSuffix(in.URL.Path, "/long"))
		return
	}
}

// answer answers without a length. A long answer comes in two halves; with trouble the worker crashes between them.
func (w *looseWorker) answer(conn net.Conn, id string, long bool) {
	body := wholeAnswer(w.id, id)
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: sig-%s\r\nConnection: close\r\n\r\n", id, id)
	if !long {
		_, _ = io.WriteString(conn, body)
		return
	}
	_, _ = io.WriteString(conn, body[:len(body)/2])
	time.Sleep(50 * time.Millisecond)
	if !w.play.trouble || len(w.play.runsOf(id)) > 1 { // no second worker crashes under the same request
		_, _ = io.WriteString(conn, body[len(body)/2:])
		return
	}
	w.setDelayed(true)
	w.crash()
	go func() {
		time.Sleep(restartTime)
		w.setDelayed(false) // what was lost before is still on its way
		if err := w.start(); err != nil {
			w.play.line("worker    %s doesn't start again: %s", w.id, err)
			return
		}
		w.play.line("worker    %s listens again, born %d", w.id, w.born)
	}()
}

// halfAnswer asks for answers without a length. With trouble the worker crashes in the middle of each and starts again under
// its id while the link loses the packet that ends the channel, and sends it again.
func halfAnswer(ctx context.Context, p *play) (int, error) {
	address := p.address(200, 8223)
	if err := p.store.serve(address); err != nil {
		return 0, err
	}
	route := bookingRoute("r-look", "/cuti104/")
	route["kind"], route["max_attempts"], route["timeout_ms"] = "safe", 2, 3000
	p.writeConfig(4, []object{route}, []object{tenant("hule930", "key-one")})
	for i, zone := range p.zones {
		if _, err := p.startLooseWorker(100+i, zone); err != nil {
			return 0, err
		}
	}
	if err := p.startNodes(ctx, address); err != nil {
		return 0, err
	}
	time.Sleep(3 * time.Second)
	result := held
	for i := range halfTries {
		for _, n := range p.nodes {
			short := p.look(ctx, n, "/cuti104/short")
			if i == 0 && short.status != http.StatusOK {
				return 0, fmt.Errorf("%w: a short answer by %s got %d", errCase, n.name, short.status)
			}
			one := p.look(ctx, n, "/cuti104/long")
			if one.status == http.StatusOK && one.err == nil && !p.isWhole(one) {
				p.line("BROKEN    MIXED: request %s got a success of %d bytes that looks complete, the whole answer has %d", one.id, len(one.body), len(wholeAnswer("i-00000000", one.id)))
				result = broken
			}
			if !p.trouble && !(one.status == http.StatusOK && one.err == nil) {
				p.line("note      request %s wasn't served: %d, %v", one.id, one.status, one.err)
			}
			time.Sleep(1700 * time.Millisecond)
		}
	}
	return result, nil
}

// isWhole reports whether an attempt got the whole answer of a worker that ran it.
func (p *play) isWhole(one looked) bool {
	for _, run := range p.runsOf(one.id) {
		if one.body == wholeAnswer(run.Worker, one.id) {
			return true
		}
	}
	return false
}
