//go:build review3

package main

import (
	"fmt"
	"time"

	"tamaracktiller.example/tamaracktiller/platform/platformtest"
)

// hostStartsFromACopy: a configuration takes away a key. Some seconds later the store is away for a moment and
// comes back from a copy that is older than that, and a host whose process was killed starts before the operator
// has written again.
func hostStartsFromACopy(w *world) error {
	const (
		age     = 4 * time.Second
		away    = 600 * time.Millisecond
		rewrite = 4 * time.Second
	)
	routes := []route{{name: "r-account", host: "shop.example", prefix: "/account/", service: "accounts", safe: true, timeoutMS: 2000, objectiveMS: 400, attempts: 2}}
	tenants := []tenant{{"tenant-a", "key-of-tenant-a"}, {"tenant-b", "key-of-tenant-b"}}
	runs := &keyedRuns{}
	if err := w.startKeyed(routes, tenants, runs); err != nil {
		return err
	}
	statuses, ran, _ := w.sendKeyed(12, "/account/x", "key-of-tenant-a", runs)
	w.rec.note("before: answers %v, %d of 12 ran", statuses, ran)
	backup := w.store.Backup()
	second := config(2, routes, tenants[1:])
	w.putConfig(second)
	acknowledged := time.Now()
	w.rec.note("configuration 2 takes away the key of tenant-a")
	time.Sleep(age)
	h := w.hosts[0]
	if !w.control {
		h.kill()
		w.rec.note("host %s is killed", h.name)
	}
	if w.trouble {
		w.store.SetFaults(platformtest.Faults{Down: true})
		time.Sleep(away)
		lost := w.store.Restore(backup)
		w.store.SetFaults(platformtest.Faults{})
		w.rec.note("the store is back from a copy that is %v old", time.Since(acknowledged).Round(100*time.Millisecond))
		w.store.Reapply(backup, lost, func(key string) bool { return len(key) > len("servers/") && key[:len("servers/")] == "servers/" })
	} else {
		time.Sleep(away)
	}
	if !w.control {
		if err := h.start(); err != nil {
			return err
		}
	}
	time.Sleep(time.Until(acknowledged.Add(revokeTime + 500*time.Millisecond)))
	late := 0
	for i := range 20 {
		client := newClient()
		c := call{host: "shop.example", path: "/account/x", key: "key-of-tenant-a", deadline: 2 * time.Second}
		front := w.hosts[i%len(w.hosts)]
		sent := time.Since(acknowledged)
		a := c.send(client, front.front(), "keyed", true)
		if _, ok := runs.of(a.id); ok {
			late++
		}
		w.rec.line("request with the key, sent %v after the acknowledgement to %s, answer %v", sent.Round(time.Millisecond), front.name, a)
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(time.Until(acknowledged.Add(age + away + rewrite)))
	w.putConfig(second)
	w.rec.note("the operator has written configuration 2 again")
	w.rec.note("%d of 20 requests ran that were sent later than %v after the key was taken away", late, revokeTime)
	if late > 0 {
		return fmt.Errorf("%w: CONFIG, %d requests ran whose key had been taken away", errBroken, late)
	}
	return nil
}
