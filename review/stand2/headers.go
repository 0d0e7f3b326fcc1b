package main

// This file plays a crowd of clients whose headers have the size that the configuration allows, in many short
// fields.

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	crowdHosts   = 2
	crowdRounds  = 3
	crowdClients = 1500
	// crowdHeader is the length of a header; max_header_bytes is 16384.
	crowdHeader = 16_000
	// crowdTime is the time that a client takes to send its header; header_timeout_ms is 3000.
	crowdTime = 2500 * time.Millisecond
	// memoryLimit is memory_mb of the machines.
	memoryLimit = 284 << 20
)

// manyFields returns a header of n bytes without its last line.
func manyFields(id string, n int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "GET /rooms/x HTTP/1.1\r\nHost: rooms.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 2000\r\n", id)
	for i := 0; b.Len() < n-8; i++ {
		fmt.Fprintf(&b, "%s:\r\n", shortName(i))
	}
	return b.String()
}

// shortName returns the name of a field of one to three letters.
func shortName(i int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz"
	name := string(letters[i%26])
	for i /= 26; i > 0; i /= 26 {
		name += string(letters[i%26])
	}
	return name
}

// resident returns the memory of a process.
func resident(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		var kb int64
		if _, err := fmt.Sscanf(line, "VmRSS: %d kB", &kb); err == nil {
			return kb << 10
		}
	}
	return 0
}

// headersPlay watches the memory of the hosts as the platform does: "A process that exceeds `memory_mb` is
// killed", and is restarted after a short delay.
type headersPlay struct {
	w    *world
	stop chan struct{}

	mu      sync.Mutex
	highest map[string]int64
	killed  map[string]int
	answers map[int]int
	// booked and lost count the ordinary requests that were served, and those that a server has run and
	// whose client got no answer.
	booked, lost int
	ran          map[string]bool
}

func (p *headersPlay) watch(h *host) {
	for {
		select {
		case <-p.stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		now := resident(h.cmd.Process.Pid)
		p.mu.Lock()
		if now > p.highest[h.name] {
			p.highest[h.name] = now
			p.w.log("%s uses %d MB", h.name, now>>20)
		}
		p.mu.Unlock()
		if now <= memoryLimit {
			continue
		}
		p.mu.Lock()
		p.killed[h.name]++
		p.mu.Unlock()
		p.w.log("%s uses %d of %d MB and is killed", h.name, now>>20, memoryLimit>>20)
		_ = h.cmd.Process.Kill()
		<-h.exited
		time.Sleep(500 * time.Millisecond)
		if err := p.w.start(h); err != nil {
			p.w.log("%s does not start: %v", h.name, err)
			return
		}
	}
}

// crowd sends headers of legal size from many clients at once to a host.
func (p *headersPlay) crowd(h *host, round int) {
	var wg sync.WaitGroup
	for c := range crowdClients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			nc, err := net.Dial("tcp", h.front)
			if err != nil {
				return
			}
			defer nc.Close()
			started := time.Now()
			_, _ = io.WriteString(nc, manyFields(fmt.Sprintf("crowd-%d-%d", round, c), crowdHeader))
			time.Sleep(time.Until(started.Add(crowdTime)))
			status, _ := finishRequest(nc)
			p.mu.Lock()
			defer p.mu.Unlock()
			p.answers[status]++
		}()
	}
	wg.Wait()
}

// book sends ordinary requests one after the other.
func (p *headersPlay) book(h *host) {
	for n := 0; ; n++ {
		select {
		case <-p.stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		id := fmt.Sprintf("%s-book-%d", h.name, n)
		status, _, _ := exchange(h.front, request(id, "POST", "rooms.example", "/book/"+id, 2*time.Second, id), 3*time.Second)
		p.mu.Lock()
		switch {
		case status == http.StatusOK:
			p.booked++
		case p.ran[id]:
			p.lost++
		}
		p.w.log("%s: status %d, run: %t", id, status, p.ran[id])
		p.mu.Unlock()
	}
}

func playHeaders(w *world) (broken bool, err error) {
	p := &headersPlay{w: w, stop: make(chan struct{}), highest: map[string]int64{}, killed: map[string]int{}, answers: map[int]int{}, ran: map[string]bool{}}
	for i := range 4 {
		s := w.newServer(fmt.Sprintf("i-%d", i+1), "rooms", "kerr-a", 4, w.ip(100+i)+":0")
		s.onRun = func(r run) {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.ran[r.id] = true
		}
		s.handle = func(s *server, rw http.ResponseWriter, r *http.Request, _ []byte) {
			time.Sleep(100 * time.Millisecond)
			s.answer(rw, http.StatusOK, pattern(r.Header.Get("X-Request-Id"), 400))
		}
		if err := s.start(); err != nil {
			return false, err
		}
	}
	w.configure(1,
		route("rooms", "rooms.example", "/rooms/", "safe", "rooms", 2000, 2),
		route("book", "rooms.example", "/book/", "unsafe", "rooms", 2000, 2), service("rooms"))
	if err := w.addHosts(crowdHosts, nil); err != nil {
		return false, err
	}
	if err := w.awaitReady(); err != nil {
		return false, err
	}
	var watchers sync.WaitGroup
	for _, h := range w.hosts {
		watchers.Add(2)
		go func() {
			defer watchers.Done()
			p.watch(h)
		}()
		go func() {
			defer watchers.Done()
			p.book(h)
		}()
	}
	for round := range crowdRounds {
		time.Sleep(5 * time.Second)
		if !w.trouble {
			continue
		}
		w.log("crowd %d of %d clients comes to each host", round+1, crowdClients)
		var crowds sync.WaitGroup
		for _, h := range w.hosts {
			crowds.Add(1)
			go func() {
				defer crowds.Done()
				p.crowd(h, round)
			}()
		}
		crowds.Wait()
	}
	time.Sleep(time.Second)
	close(p.stop)
	watchers.Wait()
	ends, machines := 0, 0
	for _, h := range w.hosts {
		w.say("%s used up to %d of %d MB and was killed %d times", h.name, p.highest[h.name]>>20, memoryLimit>>20, p.killed[h.name])
		ends += p.killed[h.name]
		if p.killed[h.name] > 0 {
			machines++
		}
	}
	w.say("the crowd's answers by status: %v; %d bookings were served, %d were run and got no answer", p.answers, p.booked, p.lost)
	return machines >= crowdHosts && ends >= crowdRounds, nil
}

// finishRequest sends the last line of a header and returns the status of the answer; 0 if there is none.
func finishRequest(nc net.Conn) (status int, err error) {
	_ = nc.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := io.WriteString(nc, "\r\n"); err != nil {
		return 0, err
	}
	head := make([]byte, len("HTTP/1.1 200"))
	if _, err := io.ReadFull(nc, head); err != nil {
		return 0, err
	}
	_, err = fmt.Sscanf(string(head), "HTTP/1.1 %d", &status)
	return status, err
}
