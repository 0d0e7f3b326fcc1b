//go:build review3

package main

import "encoding/json"

// route is a route of a configuration.
type route struct {
	name, host, prefix, service string
	safe                        bool
	timeoutMS, objectiveMS      int
	attempts                    int
}

// tenant is a tenant without a limit.
type tenant struct{ name, key string }

// config encodes a configuration.
func config(version int, routes []route, tenants []tenant) []byte {
	var resources []any
	resource := func(kind string, metadata, spec map[string]any) {
		resources = append(resources, map[string]any{"resource_kind": kind, "metadata": metadata, "spec": spec})
	}
	services := map[string]bool{}
	for _, r := range routes {
		kind := "unsafe"
		if r.safe {
			kind = "safe"
		}
		resource("routes", map[string]any{"name": r.name}, map[string]any{
			"host": r.host, "prefix": r.prefix, "kind": kind, "service": r.service, "timeout_ms": r.timeoutMS, "target_latency_ms": r.objectiveMS,
			"priority": 1, "max_attempts": r.attempts,
		})
		if !services[r.service] {
			services[r.service] = true
			resource("services", map[string]any{"name": r.service}, map[string]any{"health_path": "/healthz", "max_connections": 220, "protocol": "h1", "tls": false})
		}
	}
	for _, t := range tenants {
		resource("tenants", map[string]any{"name": t.name}, map[string]any{"api_keys": []string{t.key}, "rate_per_s": 0, "burst": 0})
	}
	resource("limits", map[string]any{}, map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000})
	data, err := json.Marshal(map[string]any{"version": version, "resources": resources})
	if err != nil {
		panic(err)
	}
	return data
}
