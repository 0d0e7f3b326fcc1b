//go:build review3

package main

import (
	"net/http"
	"strings"
	"time"
)

// poisonWhileRolling: a request crashes servers and is refused after the third crash. Then the hosts are
// stopped and started one after the other, and the request comes again at each of them.
func poisonWhileRolling(w *world) error {
	const path = "/orders/4711"
	w.putConfig(config(1, []route{{name: "r-orders", host: "shop.example", prefix: "/orders/", service: "orders", safe: true, timeoutMS: 2000, objectiveMS: 400, attempts: 2}}, nil))
	poison := &poisonLog{}
	b := behaviour{
		backAfter: 2500 * time.Millisecond,
		crashes:   func(r *http.Request) bool { return w.trouble && strings.HasPrefix(r.URL.Path, path) },
		onRun: func(a arrival) {
			if a.path == path {
				poison.add(a)
				w.rec.line("server %s runs %s, run %d", a.server, a.id, poison.count())
			}
		},
	}
	if err := w.startServers("orders", 10, b); err != nil {
		return err
	}
	if err := w.startHosts(6); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	c := call{host: "shop.example", path: path, deadline: 2 * time.Second}
	for i := range 3 {
		sendTwice(w, c, "poison", i)
		time.Sleep(3 * time.Second)
	}
	w.rec.note("before the hosts are stopped: the request reached servers %d times, %d of them late", poison.count(), len(poison.late()))
	for i, h := range w.hosts {
		h.stop()
		if err := h.start(); err != nil {
			return err
		}
		if err := h.awaitReady(10 * time.Second); err != nil {
			return err
		}
		// The host is in touch again.
		time.Sleep(stableWindow + 700*time.Millisecond)
		client := newClient()
		a := c.send(client, h.front(), "poison", true)
		w.rec.note("host %d has restarted: %s, answer %v; it reached servers %d times", i+1, c.path, a, poison.count())
	}
	return w.checkPoison(poison)
}
