package main

import "encoding/json"

type object = map[string]any

// writeConfig writes a version of the config as the operator does. The store's answer is its ack.
func (p *play) writeConfig(version int, routes []object, tenants []object) {
	value, _ := json.Marshal(object{
		"version": version, "routes": routes,
		"services": []object{{"name": "xano55b", "health_check_path": "/health", "connection_limit": 96, "protocol": "h1", "tls": false, "cold_start_s": 0.0, "cold_per_s": 0.0}},
		"tenants":  tenants,
		"limits":   object{"header_bytes": 16384, "body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	at := p.store.put("op", "config", value)
	p.line("ack       config version %d, row_version %d: %s", version, at, value)
}

// bookingRoute returns a route for bookings, which may run at most once.
func bookingRoute(name, prefix string) object {
	return object{
		"name": name, "host": "wuny96.example", "prefix": prefix, "kind": "unsafe", "timeout_ms": 1500, "latency_goal_ms": 300, "priority": 2,
		"service": "xano55b", "max_attempts": 1, "public": false, "sticky": false, "resumable": false,
	}
}

func tenant(name string, keys ...string) object { return object{"name": name, "api_keys": keys} }
