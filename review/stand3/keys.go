//go:build review3

package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// revokeTime is revoke_ms of the settings of the cases with keys.
const revokeTime = 5 * time.Second

// keyedRuns collects the runs of requests, with the key that reached the server.
type keyedRuns struct {
	mu   sync.Mutex
	runs []arrival
}

func (k *keyedRuns) add(a arrival) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.runs = append(k.runs, a)
}

// of returns the run of a request.
func (k *keyedRuns) of(id string) (arrival, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, a := range k.runs {
		if a.id == id {
			return a, true
		}
	}
	return arrival{}, false
}

// startKeyed starts a service with keys.
func (w *world) startKeyed(routes []route, tenants []tenant, runs *keyedRuns) error {
	w.extraBounds = map[string]any{"strict_revoke": true, "revoke_ms": revokeTime.Milliseconds()}
	w.putConfig(config(1, routes, tenants))
	b := behaviour{onRun: func(a arrival) {
		runs.add(a)
		w.rec.line("server %s runs %s, tenant %q, key passed on %t", a.server, a.id, a.tenant, a.credential != "")
	}}
	if err := w.startServers("accounts", 6, b); err != nil {
		return err
	}
	if err := w.startHosts(4); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	return nil
}

// sendKeyed sends n requests with a key, one after the other, to all hosts in turn, and returns how many ran
// and to how many the key was passed on.
func (w *world) sendKeyed(n int, path, key string, runs *keyedRuns) (statuses map[int]int, ran, passedOn int) {
	client := newClient()
	statuses = map[int]int{}
	for i := range n {
		c := call{host: "shop.example", path: path, key: key, deadline: 2 * time.Second}
		h := w.hosts[i%len(w.hosts)]
		a := c.send(client, h.front(), "keyed", false)
		statuses[a.status]++
		r, ok := runs.of(a.id)
		if ok {
			ran++
		}
		if r.credential != "" {
			passedOn++
		}
		w.rec.line("request with %s to %s, answer %v, ran %t", key[:min(len(key), 12)], h.name, a, ok)
		time.Sleep(100 * time.Millisecond)
	}
	return statuses, ran, passedOn
}

// lastTenantLeaves: a configuration takes away the key of the only tenant.
func lastTenantLeaves(w *world) error {
	routes := []route{{name: "r-account", host: "shop.example", prefix: "/account/", service: "accounts", safe: true, timeoutMS: 2000, objectiveMS: 400, attempts: 2}}
	tenants := []tenant{{"tenant-a", "key-of-tenant-a"}}
	if w.control {
		tenants = append(tenants, tenant{"tenant-b", "key-of-tenant-b"})
	}
	runs := &keyedRuns{}
	if err := w.startKeyed(routes, tenants, runs); err != nil {
		return err
	}
	statuses, ran, _ := w.sendKeyed(12, "/account/x", "key-of-tenant-a", runs)
	w.rec.note("before: answers %v, %d of 12 ran", statuses, ran)
	if ran != 12 {
		return fmt.Errorf("%d of 12 requests with a valid key ran", ran)
	}
	if w.trouble {
		w.putConfig(config(2, routes, tenants[1:]))
		w.rec.note("configuration 2 takes away the key of tenant-a")
	}
	time.Sleep(revokeTime + 2*time.Second)
	statuses, ran, passedOn := w.sendKeyed(20, "/account/x", "key-of-tenant-a", runs)
	w.rec.note("later than %v after: answers %v, %d of 20 ran, the key was passed on to %d servers", revokeTime, statuses, ran, passedOn)
	statuses, unknown, _ := w.sendKeyed(10, "/account/x", "key-that-was-never-valid", runs)
	w.rec.note("with a key that no configuration held: answers %v, %d of 10 ran", statuses, unknown)
	if w.trouble && ran > 0 {
		return fmt.Errorf("%w: CONFIG, %d requests ran whose key had been taken away; ROUTE, %d whose key no configuration held", errBroken, ran, unknown)
	}
	if unknown > 0 {
		return fmt.Errorf("%w: ROUTE, %d requests ran whose key no configuration held", errBroken, unknown)
	}
	return nil
}

// longKey: a configuration adds a tenant with a long key and takes away the key of another one.
func longKey(w *world) error {
	routes := []route{{name: "r-account", host: "shop.example", prefix: "/account/", service: "accounts", safe: true, timeoutMS: 2000, objectiveMS: 400, attempts: 2}}
	tenants := []tenant{{"tenant-a", "key-of-tenant-a"}, {"tenant-b", "key-of-tenant-b"}}
	runs := &keyedRuns{}
	if err := w.startKeyed(routes, tenants, runs); err != nil {
		return err
	}
	statuses, ran, _ := w.sendKeyed(12, "/account/x", "key-of-tenant-a", runs)
	w.rec.note("before: answers %v, %d of 12 ran", statuses, ran)
	length := 400
	if !w.trouble {
		length = 200
	}
	w.putConfig(config(2, routes, []tenant{{"tenant-b", "key-of-tenant-b"}, {"tenant-c", "key-of-tenant-c-" + strings.Repeat("c", length)}}))
	w.rec.note("configuration 2 takes away the key of tenant-a and adds tenant-c")
	time.Sleep(revokeTime + 2*time.Second)
	statuses, ran, _ = w.sendKeyed(20, "/account/x", "key-of-tenant-a", runs)
	w.rec.note("later than %v after: answers %v, %d of 20 ran", revokeTime, statuses, ran)
	if ran > 0 {
		return fmt.Errorf("%w: CONFIG, %d requests ran whose key had been taken away", errBroken, ran)
	}
	return nil
}
