package main

// This file plays lost answers to requests whose path has an encoded slash.

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// lostServers of slashServers servers lose the answers of lostPart of their runs, for lostTime: the dose of
	// answer_lost.
	slashServers = 5
	lostServers  = 3
	lostPart     = 0.4
	lostTime     = 4 * time.Second
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
	for i := range slashServers {
		s := w.newServer(fmt.Sprintf("i-%d", i+1), "booking", []string{"kerr-a", "kerr-b"}[i%2], 4, w.ip(100+i)+":0")
		s.onRun = func(r run) {
			mu.Lock()
			defer mu.Unlock()
			runs[r.id] = append(runs[r.id], r.server)
		}
		s.handle = func(s *server, rw http.ResponseWriter, r *http.Request, _ []byte) {
			time.Sleep(100 * time.Millisecond)
			if w.trouble && i < lostServers && rand.Float64() < lostPart {
				w.log("the answer of server %s to %s is lost", s.id, r.Header.Get("X-Request-Id"))
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
	until := time.Now().Add(lostTime)
	var wg sync.WaitGroup
	for c := range 16 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; time.Now().Before(until); n++ {
				id := fmt.Sprintf("p%d-%d", c, n)
				status, _, _ := exchange(w.hosts[(c+n)%2].front, request(id, "POST", "book.example", "/book/list%2F"+id, 2*time.Second, "deposit"), 3*time.Second)
				w.log("%s: status %d", id, status)
				time.Sleep(50 * time.Millisecond)
			}
		}()
	}
	wg.Wait()
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
