package main

// This file plays servers that fail with 503 after they have run a request.

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func playBusy(w *world) (broken bool, err error) {
	runs := map[string]int{}
	var mu sync.Mutex
	for i := range 4 {
		s := w.newServer(fmt.Sprintf("i-%d", i+1), "booking", []string{"kerr-a", "kerr-b"}[i%2], 4, w.ip(100+i)+":0")
		s.onRun = func(r run) {
			mu.Lock()
			defer mu.Unlock()
			runs[r.id]++
		}
		s.handle = func(s *server, rw http.ResponseWriter, r *http.Request, _ []byte) {
			time.Sleep(100 * time.Millisecond)
			status := http.StatusOK
			if w.trouble {
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
	for n := range 20 {
		id := fmt.Sprintf("p%d", n)
		status, header, _ := exchange(w.hosts[n%2].front, request(id, "POST", "book.example", "/book/"+id, 2*time.Second, "deposit"), 3*time.Second)
		mu.Lock()
		if runs[id] > 0 && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) {
			refused++
		}
		w.log("%s: status %d, signature %q, runs %d", id, status, header.Get("X-Server-Signature"), runs[id])
		mu.Unlock()
	}
	w.say("%d requests were answered 503 and have run", refused)
	return refused > 0, nil
}
