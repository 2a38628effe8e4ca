package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// requestNumber makes the ids of attempts.
var requestNumber atomic.Int64

// host is the host name of all routes.
const host = "shop.example"

// attempt is one request of a client.
type attempt struct {
	method, path, key, body string
	deadline                time.Duration
}

// result is what a client got.
type result struct {
	id     string
	status int
	sealed bool
	err    error
}

// send sends one request to a daemon, over a connection of its own.
func (b *bed) send(d *daemon, a attempt) result {
	id := fmt.Sprintf("%016x", 0xa000000000000000+uint64(requestNumber.Add(1)))
	ctx, cancel := context.WithTimeout(context.Background(), a.deadline+500*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, a.method, "http://"+d.front()+a.path, strings.NewReader(a.body))
	if err != nil {
		return result{id: id, err: err}
	}
	req.Host, req.Close = host, true
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Deadline-Ms", fmt.Sprint(a.deadline.Milliseconds()))
	if a.key != "" {
		req.Header.Set("Authorization", "Bearer "+a.key)
	}
	b.note("client sends %s to %s: %s %s key %q", id, d.name, a.method, a.path, a.key)
	resp, err := (&http.Transport{DisableCompression: true}).RoundTrip(req)
	if err != nil {
		b.note("client got no answer to %s: %v", id, err)
		return result{id: id, err: err}
	}
	defer resp.Body.Close()
	if _, err = io.ReadAll(resp.Body); err != nil {
		b.note("client got a part of the answer to %s: %v", id, err)
		return result{id: id, status: resp.StatusCode, err: err}
	}
	b.note("client got %d for %s", resp.StatusCode, id)
	return result{id: id, status: resp.StatusCode, sealed: resp.Header.Get("Server-Seal") != ""}
}

// route returns a route of the configuration.
func route(name, prefix, kind, service string, timeout, target int) map[string]any {
	return map[string]any{
		"name": name, "host": host, "path_prefix": prefix, "kind": kind, "timeout_ms": timeout, "target_latency_ms": target,
		"priority": 1, "service": service, "max_attempts": 1, "public": false, "sticky": false, "resumable": false,
	}
}

// service returns a plain service of the configuration.
func service(name string) map[string]any {
	return map[string]any{"name": name, "health_path": "/health", "max_conns": 250, "protocol": "h1", "tls": false, "cold_start_s": 0.0, "cold_per_s": 0.0}
}

// config returns a configuration.
func config(version int, routes, services, tenants []map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "services": services, "tenants": tenants,
		"limits": map[string]int{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// tenant returns a tenant of the configuration.
func tenant(name string, keys ...string) map[string]any {
	return map[string]any{"name": name, "api_keys": keys, "priority": 1}
}
