package main

// This file defines the cases of requests that crash the servers that run them.

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// The figures of the rule: retries sent later than stableWindow after the crash of the third
	// server may reach servers maxRetries times.
	stableWindow = 3 * time.Second
	maxCrashes   = 3
	maxRetries   = 3
	// ordinaryPeriod is the time between two ordinary requests.
	ordinaryPeriod = 50 * time.Millisecond
)

// poison describes a request that comes again and again, at any of the hosts.
type poison struct {
	path     string
	body     string
	sends    int
	period   time.Duration
	deadline time.Duration
	hosts    []*host
}

// startHub starts the service hub, whose servers crash when they run a poison request. They are
// back after three seconds.
func (f *fleet) startHub(servers, hosts int, path string, crashes bool) error {
	f.store.put("op/config", config(1, map[string]any{"prefix": "/up/", "kind": "upload", "service": "hub", "timeout_ms": 2500, "target_latency_ms": 600}))
	err := f.addServers("hub", servers, 2, 300*time.Millisecond, func(s *server) {
		s.downFor = 3 * time.Second
		s.crashes = func(r *http.Request) bool { return crashes && r.URL.Path == path }
	})
	if err != nil {
		return err
	}
	if err := f.addHosts(hosts); err != nil {
		return err
	}
	// Past the stable window of the starts, all hosts are in touch.
	time.Sleep(4 * time.Second)
	return nil
}

// sendOrdinary sends ordinary requests until stop is closed, and returns the number of those that
// a server began to run and whose caller got no answer of that server.
func (f *fleet) sendOrdinary(hosts []*host, stop <-chan struct{}) (sent, lost int) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	failed := map[string]bool{}
	for n := 0; ; n++ {
		select {
		case <-stop:
			wg.Wait()
			began := map[string]bool{}
			for _, r := range f.events("began") {
				began[r.id] = true
			}
			for id := range failed {
				if began[id] {
					lost++
				}
			}
			return n, lost
		case <-time.After(ordinaryPeriod):
		}
		h := hosts[n%len(hosts)]
		wg.Add(1)
		go func() {
			defer wg.Done()
			a := once(h, "POST", "/up/ordinary", 2500*time.Millisecond, "x=1")
			if a.status == 200 {
				return
			}
			f.logf("client: ordinary %s to %s: %s", a.id, h.name, a)
			mu.Lock()
			defer mu.Unlock()
			failed[a.id] = true
		}()
	}
}

// play sends the poison request, and reports whether the rule held.
func (f *fleet) play(p poison) bool {
	stop := make(chan struct{})
	type ordinary struct{ sent, lost int }
	others := make(chan ordinary, 1)
	go func() {
		sent, lost := f.sendOrdinary(p.hosts, stop)
		others <- ordinary{sent, lost}
	}()
	answers := make(chan answer, p.sends)
	for n := range p.sends {
		h := p.hosts[n%len(p.hosts)]
		go func() {
			a := once(h, "POST", p.path, p.deadline, p.body)
			f.logf("client: %s to %s, %s with %d bytes, sent %.3f, after %d ms: %s", a.id, h.name, p.path, len(p.body), a.sentAt.Sub(f.started).Seconds(), a.endedAt.Sub(a.sentAt).Milliseconds(), a)
			answers <- a
		}()
		time.Sleep(p.period)
	}
	sentAt := map[string]time.Time{}
	for range p.sends {
		a := <-answers
		sentAt[a.id] = a.sentAt
	}
	close(stop)
	o := <-others
	crashes := f.events("crashed")
	late := map[string]bool{}
	if len(crashes) >= maxCrashes {
		third := crashes[maxCrashes-1].at
		f.logf("third crash at %.3f", third.Sub(f.started).Seconds())
		for _, r := range f.events("arrived") {
			if at, ok := sentAt[r.id]; ok && at.Sub(third) > stableWindow {
				late[r.id] = true
			}
		}
	}
	f.logf("crashes: %d; retries sent later than %s after the third that reached a server: %d, allowed %d; ordinary requests: %d sent, %d lost at servers that crashed", len(crashes), stableWindow, len(late), maxRetries, o.sent, o.lost)
	fmt.Println("crashes:", len(crashes), "late retries that reached a server:", len(late), "ordinary requests:", o.sent, "lost:", o.lost)
	return len(late) <= maxRetries
}

// poisonUpload plays a caller whose large upload crashes each server that begins to run it, and who
// sends it again every second.
func poisonUpload(f *fleet) (bool, error) {
	const path = "/up/photo-17"
	size := 1500 << 10
	if n, err := strconv.Atoi(os.Getenv("SIZE")); err == nil {
		size = n
	}
	if err := f.startHub(8, 3, path, trouble()); err != nil {
		return false, err
	}
	p := poison{path: path, body: strings.Repeat("0123456789abcdef", size/16), sends: 20, period: time.Second, deadline: 2500 * time.Millisecond, hosts: f.hosts}
	return f.play(p), nil
}

// poisonRemoved plays a caller whose request crashes each server that begins to run it, and who
// sends it again every 0.7 s, while one of four hosts is gone for good.
func poisonRemoved(f *fleet) (bool, error) {
	path := "/up/order-7"
	if p := os.Getenv("POISON"); p != "" {
		path = p
	}
	if err := f.startHub(10, 4, path, true); err != nil {
		return false, err
	}
	gone := f.hosts[3]
	if trouble() {
		gone.signal(syscall.SIGKILL)
		<-gone.exited
	}
	time.Sleep(500 * time.Millisecond)
	p := poison{path: path, body: "x=1", sends: 24, period: 700 * time.Millisecond, deadline: 2500 * time.Millisecond, hosts: f.hosts[:3]}
	return f.play(p), nil
}
