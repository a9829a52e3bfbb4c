package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"
)

func init() { cases["options"] = options }

// options sends requests that no route matches, as the bare channel of a client.
func options(r *Rig) (bool, error) {
	r.Store.Put("op", "config", config(7, []any{route("r-look", "/stock/", "safe", "desk", 2)}, []any{plainService("desk")}))
	zones := []string{"tallinn", "tartu", "parnu"}
	for i, zone := range zones {
		if _, err := r.StartWorker("i-desk"+strconv.Itoa(i), "desk", zone); err != nil {
			return false, err
		}
	}
	if err := r.StartNodes(zones...); err != nil {
		return false, err
	}
	targets := []string{"/none/2f", "/stock"}
	if r.Trouble {
		targets = append(targets, "*")
	}
	broken := false
	for i, target := range targets {
		for j := range 3 {
			id := fmt.Sprintf("9c41d07be2a35%02d%01d", i, j)
			response, err := ask(r.Node(j), id, target)
			if err != nil {
				return false, err
			}
			r.Record.Line("OPTIONS %s (%s) to %s: %d, signature %q", target, id, r.Node(j).Name, response.StatusCode, response.Header.Get("Response-Signature"))
			if response.StatusCode/100 == 2 && response.Header.Get("Response-Signature") == "" {
				r.Record.Line("MIXED: %s got a success without a worker's signature; runs of it: %d", id, len(r.Runs.Of(id)))
				broken = true
			}
		}
	}
	return broken, nil
}

// ask sends an OPTIONS request over a channel of its own and returns the head of the answer.
func ask(node *Node, id, target string) (*http.Response, error) {
	conn, err := net.DialTimeout("tcp", node.Front, time.Second)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(4 * time.Second)); err != nil {
		return nil, err
	}
	_, err = fmt.Fprintf(conn, "OPTIONS %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nRequest-Deadline: 3000\r\nAuthorization: Bearer %s\r\n\r\n", target, host, id, key)
	if err != nil {
		return nil, err
	}
	return http.ReadResponse(bufio.NewReader(conn), nil)
}
