//go:build review3

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// allowedCrashes is the number of servers that may crash before the request must be known, and
	// allowedRetries that of the retries that may reach a server after that.
	allowedCrashes = 3
	allowedRetries = 3
)

// poisonLog collects the runs of the request that crashes servers.
type poisonLog struct {
	mu   sync.Mutex
	runs []arrival
}

func (p *poisonLog) add(a arrival) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.runs = append(p.runs, a)
}

// late returns the runs later than stable_window_ms after the third crash.
func (p *poisonLog) late() []arrival {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.runs) < allowedCrashes {
		return nil
	}
	var list []arrival
	for _, a := range p.runs[allowedCrashes:] {
		if a.at.Sub(p.runs[allowedCrashes-1].at) > stableWindow {
			list = append(list, a)
		}
	}
	return list
}

func (p *poisonLog) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.runs)
}

// sendTwice sends a request as a client does that repeats it once, on a new connection to another host.
func sendTwice(w *world, c call, prefix string, first int) {
	client := newClient()
	end := time.Now().Add(c.deadline)
	for i := range 2 {
		c.deadline = time.Until(end)
		if c.deadline < 100*time.Millisecond {
			return
		}
		h := w.hosts[(first+i)%len(w.hosts)]
		a := c.send(client, h.front(), prefix, true)
		w.rec.line("%s to %s, answer %v", c.path, h.name, a)
		if a.ok() {
			return
		}
		time.Sleep(min(a.wait, time.Until(end)/3))
	}
}

// poisonOfOneTenant: the request of one tenant crashes servers. Other tenants request the same path, and are
// served.
func poisonOfOneTenant(w *world) error {
	const (
		path    = "/account/overview"
		rounds  = 14
		period  = 3 * time.Second
		callers = 20
	)
	tenants := []tenant{{"tenant-a", "key-a"}, {"tenant-b", "key-b"}, {"tenant-c", "key-c"}, {"tenant-d", "key-d"}}
	w.putConfig(config(1, []route{
		{name: "r-account", host: "shop.example", prefix: "/account/", service: "accounts", safe: true, timeoutMS: 2000, objectiveMS: 400, attempts: 2},
		{name: "r-book", host: "shop.example", prefix: "/book/", service: "accounts", safe: false, timeoutMS: 2000, objectiveMS: 400, attempts: 2}}, tenants))
	poison := &poisonLog{}
	isPoison := func(r *http.Request) bool { return r.Header.Get("X-Tenant") == "tenant-a" }
	b := behaviour{
		backAfter: 2500 * time.Millisecond,
		crashes:   func(r *http.Request) bool { return w.trouble && isPoison(r) },
		work: func(r *http.Request) time.Duration {
			if r.Method == http.MethodPost {
				return 150 * time.Millisecond
			}
			return 30 * time.Millisecond
		},
		onRun: func(a arrival) {
			if a.tenant == "tenant-a" {
				poison.add(a)
				w.rec.line("server %s runs %s of %s, run %d", a.server, a.id, a.tenant, poison.count())
			}
		},
	}
	if err := w.startServers("accounts", 10, b); err != nil {
		return err
	}
	if err := w.startHosts(4); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	stop := make(chan struct{})
	var others sync.WaitGroup
	var mu sync.Mutex
	served, failed, booked, lost := 0, 0, 0, 0
	otherPath := path
	if w.control {
		otherPath = "/account/settings"
	}
	for i := range callers {
		others.Add(1)
		go func() {
			defer others.Done()
			client, front := newClient(), w.hosts[i%len(w.hosts)].front()
			read := call{host: "shop.example", path: otherPath, key: tenants[1+i%3].key, deadline: 2 * time.Second}
			book := call{host: "shop.example", path: "/book/cottage", key: tenants[1+i%3].key, body: "a booking", deadline: 2 * time.Second}
			for {
				r, b := read.send(client, front, "read", false), book.send(client, front, "booking", true)
				mu.Lock()
				if r.ok() {
					served++
				} else {
					failed++
					w.rec.line("read of another tenant, answer %v", r)
				}
				switch {
				case b.ok():
					booked++
				case b.status != http.StatusServiceUnavailable:
					lost++
					w.rec.line("booking of another tenant without an outcome, answer %v", b)
				}
				mu.Unlock()
				select {
				case <-stop:
					return
				case <-time.After(50*time.Millisecond + rand.N(100*time.Millisecond)):
				}
			}
		}()
	}
	time.Sleep(time.Second)
	for i := range rounds {
		sendTwice(w, call{host: "shop.example", path: path, key: "key-a", deadline: 2 * time.Second}, "poison", i)
		time.Sleep(period)
	}
	close(stop)
	others.Wait()
	w.rec.note("other tenants: %d reads served, %d failed; %d bookings served, %d without an outcome", served, failed, booked, lost)
	return w.checkPoison(poison)
}

// checkPoison checks the rule on requests that crash servers.
func (w *world) checkPoison(poison *poisonLog) error {
	late := poison.late()
	w.rec.note("the request reached servers %d times, %d of them later than %v after the third crash", poison.count(), len(late), stableWindow)
	if w.trouble && len(late) > allowedRetries {
		return fmt.Errorf("%w: BUDGET, %d retries of a request that crashes servers", errBroken, len(late))
	}
	return nil
}
