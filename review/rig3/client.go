package main

import (
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	host = "ficu95.example"
	key  = "n2ctnfzs989anu6wsjnb"
)

func route(name, prefix, kind, service string, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": host, "prefix": prefix, "kind": kind, "timeout_ms": 3000, "latency_goal_ms": 300, "priority": 2,
		"service": service, "max_attempts": attempts, "public": false,
	}
}

func plainService(name string) map[string]any {
	return map[string]any{
		"name": name, "health_check_path": "/health", "connection_limit": 96, "protocol": "h1", "tls": false, "cold_start_s": 0.0, "cold_per_s": 0.0,
	}
}

func config(version int, routes, services []any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"header_bytes": 16384, "body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "hule930", "api_keys": []string{key}, "priority": 1}},
	}
}

// send sends a request as a client does, over a new channel, and returns its status, 0 without an answer.
func send(record *Record, node *Node, id, method, target, body string) (int, error) {
	request, err := http.NewRequest(method, "http://"+node.Front+target, strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	request.Host = host
	request.Close = true
	request.Header.Set("Request-Id", id)
	request.Header.Set("Request-Deadline", "3000")
	request.Header.Set("Authorization", "Bearer "+key)
	record.Line("client sends %s to %s: %s %s", id, node.Name, method, target)
	client := http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		record.Line("client got no answer to %s: %v", id, err)
		return 0, nil
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	record.Line("client got %d for %s: %q (err %v)", response.StatusCode, id, strings.TrimSpace(string(data)), err)
	return response.StatusCode, nil
}
