package main

// This file defines the case of requests that wait for a target when their host is stopped.

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// queued plays batch callers that always have one request under way, at a service whose servers
// are all busy, and stops one host as planned.
func queued(f *fleet) (bool, error) {
	const (
		callers  = 60
		timeout  = 12 * time.Second
		deadline = 12 * time.Second
		warmUp   = 12 * time.Second
		slack    = 200 * time.Millisecond
	)
	f.store.put("op/config", config(1, map[string]any{"prefix": "/export/", "kind": "unsafe", "service": "archive", "timeout_ms": timeout.Milliseconds(), "target_latency_ms": 10000}))
	if err := f.addServers("archive", 3, 2, time.Second, nil); err != nil {
		return false, err
	}
	if err := f.addHosts(2); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	stopped := f.hosts[0]
	var mu sync.Mutex
	var answers []answer
	from := map[string]*host{}
	var wg sync.WaitGroup
	out := make(chan struct{})
	for n := range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			h := f.hosts[n%2]
			time.Sleep(time.Duration(n) * 100 * time.Millisecond)
			for ctx.Err() == nil {
				select {
				case <-out:
					h = f.hosts[1]
				default:
				}
				c, err := connect(h)
				if err != nil {
					time.Sleep(100 * time.Millisecond)
					continue
				}
				a := c.do(ctx, "POST", fmt.Sprintf("/export/%d?work=1000", n), deadline, "x=1")
				c.close()
				if ctx.Err() != nil {
					return
				}
				f.logf("client: %s to %s, sent %.3f, after %d ms: %s", a.id, h.name, a.sentAt.Sub(f.started).Seconds(), a.endedAt.Sub(a.sentAt).Milliseconds(), a)
				mu.Lock()
				answers = append(answers, a)
				from[a.id] = h
				mu.Unlock()
				if a.status != 200 {
					time.Sleep(300 * time.Millisecond)
				}
			}
		}()
	}
	time.Sleep(warmUp)
	if trouble() {
		// The platform sends no new connections to a host once it has missed two checks.
		time.AfterFunc(2*time.Second, func() { close(out) })
		stopped.terminate()
	} else {
		time.Sleep(graceS * time.Second)
	}
	time.Sleep(2 * time.Second)
	cancel()
	wg.Wait()
	arrived := map[string]bool{}
	for _, r := range f.events("arrived") {
		arrived[r.id] = true
	}
	lost, statuses := 0, map[string]int{}
	mu.Lock()
	defer mu.Unlock()
	for _, a := range answers {
		statuses[a.String()]++
		if took := a.endedAt.Sub(a.sentAt); a.wasCut && !arrived[a.id] && took > slack && took < timeout {
			lost++
			f.logf("LOST: %s to %s was read, reached no server and ended after %d ms: %s", a.id, from[a.id].name, a.endedAt.Sub(a.sentAt).Milliseconds(), a.problem)
		}
	}
	f.logf("answers: %v", statuses)
	f.logf("lost: %d", lost)
	fmt.Println("answers:", statuses, "lost:", lost)
	return lost == 0, nil
}
