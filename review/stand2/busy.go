package main

// This file plays servers that fail with 503 after they have run a request.

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// busyServers and busyPart are the dose of srv_grey: one of busyServers servers fails busyPart of its
	// requests, for busyTime.
	busyServers = 8
	busyPart    = 0.4
	busyTime    = 6 * time.Second
)

func playBusy(w *world) (broken bool, err error) {
	runs := map[string]int{}
	var mu sync.Mutex
	for i := range busyServers {
		s := w.newServer(fmt.Sprintf("i-%d", i+1), "booking", []string{"kerr-a", "kerr-b"}[i%2], 4, w.ip(100+i)+":0")
		s.onRun = func(r run) {
			mu.Lock()
			defer mu.Unlock()
			runs[r.id]++
		}
		s.handle = func(s *server, rw http.ResponseWriter, r *http.Request, _ []byte) {
			time.Sleep(100 * time.Millisecond)
			status := http.StatusOK
			if w.trouble && i == 0 && rand.Float64() < busyPart {
				status = http.StatusServiceUnavailable
			}
			s.answer(rw, status, pattern(r.Header.Get("X-Request-Id"), 400))
		}
		if err := s.start(); err != nil {
			return false, err
		}
	}
	w.configure(1, route("commit", "book.example", "/book/", "unsafe", "booking", 2000, 2), service("booking"))
	if err := w.addHosts(2, nil); err != nil {
		return false, err
	}
	if err := w.awaitReady(); err != nil {
		return false, err
	}
	refused := 0
	until := time.Now().Add(busyTime)
	var wg sync.WaitGroup
	for c := range 26 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; time.Now().Before(until); n++ {
				id := fmt.Sprintf("p%d-%d", c, n)
				status, header, _ := exchange(w.hosts[(c+n)%2].front, request(id, "POST", "book.example", "/book/"+id, 2*time.Second, "deposit"), 3*time.Second)
				mu.Lock()
				if runs[id] > 0 && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) {
					refused++
				}
				w.log("%s: status %d, signature %q, runs %d", id, status, header.Get("X-Server-Signature"), runs[id])
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	w.say("%d requests were answered 503 and have run", refused)
	return refused > 0, nil
}
