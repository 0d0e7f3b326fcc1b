package main

// This file defines the case of a stop after the grace period in the settings has changed.

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"
)

// longerGrace plays callers of long requests, while the settings give a longer grace period and one
// host is then stopped.
func longerGrace(f *fleet) (bool, error) {
	const (
		callers  = 30
		work     = 5 * time.Second
		timeout  = 8 * time.Second
		deadline = 12 * time.Second
		newGrace = 12
		slack    = 200 * time.Millisecond
	)
	f.store.put("op/config", config(1, map[string]any{"prefix": "/export/", "kind": "unsafe", "service": "archive", "timeout_ms": timeout.Milliseconds(), "target_latency_ms": 6000}))
	if err := f.addServers("archive", 18, 2, work, nil); err != nil {
		return false, err
	}
	if err := f.addHosts(2); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	stopped := f.hosts[0]
	if trouble() {
		f.graceS = newGrace
		for _, h := range f.hosts {
			if err := h.writeSettings(); err != nil {
				return false, err
			}
			f.logf("host %s: the settings file has grace_s %d", h.name, newGrace)
			h.signal(syscall.SIGHUP)
		}
	}
	var mu sync.Mutex
	var answers []answer
	var wg sync.WaitGroup
	out := make(chan struct{})
	for n := range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			h := f.hosts[n%2]
			time.Sleep(time.Duration(n) * work / callers)
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
				a := c.do(ctx, "POST", fmt.Sprintf("/export/%d", n), deadline, "x=1")
				c.close()
				if ctx.Err() != nil {
					return
				}
				f.logf("client: %s to %s, sent %.3f, after %d ms: %s", a.id, h.name, a.sentAt.Sub(f.started).Seconds(), a.endedAt.Sub(a.sentAt).Milliseconds(), a)
				mu.Lock()
				answers = append(answers, a)
				mu.Unlock()
			}
		}()
	}
	time.Sleep(14 * time.Second)
	at := time.Now()
	if trouble() {
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
	lastSixth := time.Duration(f.graceS) * time.Second * 5 / 6
	for _, a := range answers {
		statuses[a.String()]++
		if took := a.endedAt.Sub(a.sentAt); a.wasCut && arrived[a.id] && took > slack && took < timeout && a.endedAt.Sub(at) < lastSixth {
			lost++
			f.logf("LOST: %s was passed on and cut %.1f s after the SIGTERM, before the last sixth of the grace period, after %d ms: %s", a.id, a.endedAt.Sub(at).Seconds(), took.Milliseconds(), a.problem)
		}
	}
	f.logf("answers: %v; lost: %d", statuses, lost)
	fmt.Println("answers:", statuses, "lost:", lost)
	return lost == 0, nil
}
