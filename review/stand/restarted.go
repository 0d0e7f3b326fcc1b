package main

// This file defines the cases of servers that start again under the id that they had.

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// load sends requests to the hosts until stop is closed, from callers that keep their connections.
// Each caller sends one request every period. It returns how the requests ended.
func (f *fleet) load(path string, callers int, period time.Duration, stop <-chan struct{}) map[string]int {
	var wg sync.WaitGroup
	var mu sync.Mutex
	statuses := map[string]int{}
	for n := range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			h := f.hosts[n%len(f.hosts)]
			time.Sleep(period * time.Duration(n) / time.Duration(callers))
			ticker := time.NewTicker(period)
			defer ticker.Stop()
			var c *clientConn
			for {
				select {
				case <-stop:
					return
				case <-ticker.C:
				}
				a, next := f.keep(c, h, path)
				c = next
				f.logf("client: %s to %s, sent %.3f: %s", a.id, h.name, a.sentAt.Sub(f.started).Seconds(), a)
				mu.Lock()
				statuses[a.String()]++
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	return statuses
}

// keep sends a request on a connection, or on a new one if c is nil, and returns the connection if
// it can be used again.
func (f *fleet) keep(c *clientConn, h *host, path string) (answer, *clientConn) {
	if c == nil {
		var err error
		if c, err = connect(h); err != nil {
			return answer{id: "-", sentAt: time.Now(), problem: "no connection: " + err.Error()}, nil
		}
	}
	a := c.do(context.Background(), "POST", path, 2500*time.Millisecond, "x=1")
	if a.problem != "" || a.close {
		c.close()
		return a, nil
	}
	return a, c
}

// restartedPause restarts the servers of a service one after the other. Later, they turn requests
// away with 503 and a Retry-After, half of them at a time.
func restartedPause(f *fleet) (bool, error) {
	const (
		servers  = 24
		hosts    = 3
		groups   = 2
		gap      = 50 * time.Millisecond
		pause    = 8 * time.Second
		notice   = 500 * time.Millisecond
		maxCount = 2
	)
	f.store.put("op/config", config(1, map[string]any{"prefix": "/book/", "kind": "unsafe", "service": "hub", "timeout_ms": 2500, "target_latency_ms": 600}))
	err := f.addServers("hub", servers, 2, 60*time.Millisecond, func(s *server) { s.sender = f.sender })
	if err != nil {
		return false, err
	}
	if err := f.addHosts(hosts); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	stop, statuses := make(chan struct{}), make(chan map[string]int, 1)
	go func() { statuses <- f.load("/book/a", 24, 250*time.Millisecond, stop) }()
	time.Sleep(2 * time.Second)
	for _, s := range f.servers {
		if trouble() {
			if err := s.restart(gap); err != nil {
				return false, err
			}
		}
	}
	time.Sleep(4 * time.Second)
	for group := range groups {
		set := func(d time.Duration) {
			for i := group; i < servers; i += groups {
				f.servers[i].mu.Lock()
				f.servers[i].pause = d
				f.servers[i].mu.Unlock()
			}
		}
		f.logf("servers %d, %d, ... turn requests away", group+1, group+1+groups)
		set(pause)
		time.Sleep(pause)
		set(0)
		time.Sleep(time.Second)
	}
	close(stop)
	answers := <-statuses
	type pair struct{ machine, server string }
	first, late := map[pair]time.Time{}, map[pair]int{}
	f.mu.Lock()
	for _, r := range f.runs {
		p := pair{r.detail, r.server}
		switch r.what {
		case "turned away":
			if _, ok := first[p]; !ok {
				first[p] = r.at
			}
		case "arrived":
			if at, ok := first[p]; ok && r.at.Sub(at) > notice && r.at.Sub(at) < pause {
				late[p]++
			}
		}
	}
	f.mu.Unlock()
	broken := 0
	for p, n := range late {
		f.logf("%d requests reached %s from %s between 0.5 s after its first 503 with Retry-After and the end of that time", n, p.server, p.machine)
		if n > maxCount {
			broken++
		}
	}
	f.logf("answers: %v; machines and servers with more than %d such requests: %d", answers, maxCount, broken)
	fmt.Println("pauses:", len(first), "broken:", broken, "late:", late, "answers:", answers)
	return broken == 0, nil
}
