package main

// This file plays lost answers to requests whose path has an encoded slash.

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// exchange sends a request on a new connection and returns the answer; status 0 means that there was none.
func exchange(address, text string, timeout time.Duration) (status int, header http.Header, body string) {
	nc, err := net.Dial("tcp", address)
	if err != nil {
		return 0, nil, ""
	}
	defer nc.Close()
	_ = nc.SetDeadline(time.Now().Add(timeout))
	_, _ = io.WriteString(nc, text)
	res, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil {
		return 0, nil, ""
	}
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, nil, ""
	}
	return res.StatusCode, res.Header, string(data)
}

func playSlash(w *world) (broken bool, err error) {
	runs := map[string][]string{}
	var mu sync.Mutex
	for i := range 4 {
		s := w.newServer(fmt.Sprintf("i-%d", i+1), "booking", []string{"kerr-a", "kerr-b"}[i%2], 4, w.ip(100+i)+":0")
		s.onRun = func(r run) {
			mu.Lock()
			defer mu.Unlock()
			runs[r.id] = append(runs[r.id], r.server)
		}
		s.handle = func(s *server, rw http.ResponseWriter, r *http.Request, _ []byte) {
			time.Sleep(100 * time.Millisecond)
			if w.trouble {
				// The answer is lost.
				panic(http.ErrAbortHandler)
			}
			s.answer(rw, http.StatusOK, pattern(r.Header.Get("X-Request-Id"), 400))
		}
		if err := s.start(); err != nil {
			return false, err
		}
	}
	w.configure(1,
		route("commit", "book.example", "/book/", "unsafe", "booking", 2000, 2),
		route("list", "book.example", "/book/list/", "safe", "booking", 2000, 2), service("booking"))
	if err := w.addHosts(2, nil); err != nil {
		return false, err
	}
	if err := w.awaitReady(); err != nil {
		return false, err
	}
	for n := range 30 {
		id := fmt.Sprintf("p%d", n)
		status, _, _ := exchange(w.hosts[n%2].front, request(id, "POST", "book.example", "/book/list%2F"+id, 2*time.Second, "deposit"), 3*time.Second)
		w.log("%s: status %d", id, status)
		time.Sleep(200 * time.Millisecond)
	}
	time.Sleep(time.Second)
	twice := 0
	for id, servers := range runs {
		if len(servers) > 1 {
			twice++
			w.log("TWICE: %s was run by %v", id, servers)
		}
	}
	w.say("%d of %d requests ran more than once", twice, len(runs))
	return twice > 0, nil
}
