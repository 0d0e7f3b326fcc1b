package main

// This file defines the case of uploads that outlast their route's timeout after a change of the
// configuration.

import (
	"fmt"
	"io"
	"strings"
	"time"
)

// upload sends a request whose body arrives at the rate of a slow uplink, and reads the answer.
func upload(h *host, path string, deadline time.Duration, size, perSecond int) answer {
	const step = 100 * time.Millisecond
	c, err := connect(h)
	if err != nil {
		return answer{id: "-", sentAt: time.Now(), endedAt: time.Now(), problem: "no connection: " + err.Error()}
	}
	defer c.close()
	a := answer{id: newID(), sentAt: time.Now(), deadline: deadline}
	read := make(chan struct{})
	go func() {
		c.read(&a, "POST")
		close(read)
	}()
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n", path, a.id, deadline.Milliseconds(), size)
	_, err = io.WriteString(c.nc, head)
	for sent := 0; sent < size && err == nil; {
		n := min(size-sent, perSecond*int(step)/int(time.Second))
		_, err = io.WriteString(c.nc, strings.Repeat("u", n))
		sent += n
		select {
		case <-read:
			return a
		case <-time.After(step):
		}
	}
	<-read
	return a
}

// slowUploads plays callers with slow uplinks, and an operator who shortens the timeout of their
// route below the time that their uploads take.
func slowUploads(f *fleet) (bool, error) {
	const (
		uploads   = 40
		period    = 250 * time.Millisecond
		size      = 120 << 10
		perSecond = 40 << 10
		deadline  = 8 * time.Second
		long      = 4 * time.Second
		short     = 2 * time.Second
		apply     = 2 * time.Second
		late      = 500 * time.Millisecond
		// allowed is the number of proper requests that may be denied, and maxLate that of requests
		// that may have no answer half a second after their timeout.
		allowed = 5
		maxLate = 7
	)
	route := func(timeout time.Duration) map[string]any {
		return map[string]any{"prefix": "/up/", "kind": "upload", "service": "hub", "timeout_ms": timeout.Milliseconds(), "target_latency_ms": 1200}
	}
	f.store.put("op/config", config(1, route(long)))
	if err := f.addServers("hub", 6, 2, 100*time.Millisecond, nil); err != nil {
		return false, err
	}
	if err := f.addHosts(3); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	if trouble() {
		f.store.put("op/config", config(2, route(short)))
		f.logf("operator: version 2 is acknowledged, timeout_ms %d", short.Milliseconds())
	}
	time.Sleep(apply + time.Second)
	answers := make(chan answer, uploads)
	for n := range uploads {
		h := f.hosts[n%len(f.hosts)]
		go func() {
			a := upload(h, "/up/photo", deadline, size, perSecond)
			f.logf("client: %s to %s, sent %.3f, %d bytes, after %d ms: %s", a.id, h.name, a.sentAt.Sub(f.started).Seconds(), size, a.endedAt.Sub(a.sentAt).Milliseconds(), a)
			answers <- a
		}()
		time.Sleep(period)
	}
	denied, slow, statuses := 0, 0, map[string]int{}
	for range uploads {
		a := <-answers
		statuses[a.String()]++
		if a.status >= 300 && a.status < 500 && a.status != 408 && a.status != 421 && a.status != 429 && !a.signed {
			denied++
		}
		if trouble() && a.endedAt.Sub(a.sentAt) > short+late {
			slow++
		}
	}
	f.logf("answers: %v; proper requests denied: %d, allowed %d; without an answer 0.5 s after the timeout: %d, allowed %d", statuses, denied, allowed, slow, maxLate)
	fmt.Println("answers:", statuses, "denied:", denied, "late:", slow)
	return denied <= allowed, nil
}
