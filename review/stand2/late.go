package main

// This file plays a heartbeat that the store applies late, after its server has left and all hosts were killed.

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	lateServers = 12
	// leavingServers of them leave, lateLeave after the heartbeats whose answers are lost: the store is stable
	// again by then.
	leavingServers = 2
	lateLeave      = 3100 * time.Millisecond
	// lateKill and lateStart are the times at which all hosts are killed and start again, lateApply that at
	// which the store applies the heartbeats, and lateExit that at which the servers exit; all after the lost
	// answers.
	lateKill  = 3200 * time.Millisecond
	lateStart = 3500 * time.Millisecond
	lateApply = 5600 * time.Millisecond
	lateExit  = 9 * time.Second
	// lateSilence is the time without a heartbeat after which the store removes an entry.
	lateSilence = 4500 * time.Millisecond
	drainTime   = 2 * time.Second
)

type latePlay struct {
	w *world

	mu sync.Mutex
	// leaving holds the servers that leave. acknowledged is the time at which the store accepted that.
	leaving      map[string]bool
	acknowledged time.Time
	// inTouch is the time from which all hosts are in touch again.
	inTouch time.Time
	sent    map[string]time.Time
	// late and lost count the requests that reach a leaving server too late, and the bookings among them that
	// end without an outcome.
	late, lost, served int
	lateIDs            map[string]bool
}

func (p *latePlay) onRun(r run) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.leaving[r.server] || p.acknowledged.IsZero() || r.at.Before(p.acknowledged.Add(drainTime)) || p.sent[r.id].Before(p.inTouch) {
		return
	}
	p.late++
	p.lateIDs[r.id] = true
	p.w.log("DRAIN: %s reaches server %s %v after the store has accepted that it has left", r.id, r.server, r.at.Sub(p.acknowledged).Round(time.Millisecond))
}

func (p *latePlay) book(c int, until time.Time) {
	for n := 0; time.Now().Before(until); n++ {
		id := fmt.Sprintf("book-%d-%d", c, n)
		p.mu.Lock()
		p.sent[id] = time.Now()
		p.mu.Unlock()
		status, _, _ := exchange(p.w.hosts[(n+c)%len(p.w.hosts)].front, request(id, "POST", "book.example", "/book/"+id, 2*time.Second, id), 3*time.Second)
		p.mu.Lock()
		switch {
		case status == http.StatusOK:
			p.served++
		case p.lateIDs[id]:
			p.lost++
			p.w.log("booking %s was run by a server that has left, and gets %d", id, status)
		}
		p.mu.Unlock()
		time.Sleep(20 * time.Millisecond)
	}
}

// leave plays the end of the servers that leave.
func (p *latePlay) leave(servers []*server, late, kill bool) error {
	w := p.w
	began := time.Now()
	at := func(d time.Duration) { time.Sleep(time.Until(began.Add(d))) }
	entries := map[string]any{}
	for _, s := range servers {
		entries["servers/"+s.id] = s.nextEntry()
		if !late {
			w.store.put("servers/"+s.id, entries["servers/"+s.id])
			continue
		}
		w.log("the heartbeat of server %s gets no answer", s.id)
	}
	at(lateLeave)
	p.mu.Lock()
	p.acknowledged, p.inTouch = time.Now(), began
	for _, s := range servers {
		p.leaving[s.id] = true
	}
	p.mu.Unlock()
	for _, s := range servers {
		s.silence()
		w.store.remove("servers/" + s.id)
		w.log("the store has accepted that server %s has left", s.id)
	}
	if kill {
		at(lateKill)
		for _, h := range w.hosts {
			w.log("%s is killed", h.name)
			_ = h.cmd.Process.Kill()
		}
		for _, h := range w.hosts {
			<-h.exited
		}
		at(lateStart)
		for _, h := range w.hosts {
			if err := w.start(h); err != nil {
				return err
			}
		}
		p.mu.Lock()
		p.inTouch = time.Now().Add(stableWindow)
		p.mu.Unlock()
	}
	at(lateApply)
	if late {
		for key, entry := range entries {
			w.store.put(key, entry)
			w.log("the store applies the heartbeat %s", key)
		}
	}
	at(lateExit)
	for _, s := range servers {
		w.log("server %s exits", s.id)
		s.crash()
	}
	at(lateApply + lateSilence)
	for key := range entries {
		w.store.remove(key)
	}
	return nil
}

func playLate(w *world) (broken bool, err error) {
	p := &latePlay{w: w, leaving: map[string]bool{}, sent: map[string]time.Time{}, lateIDs: map[string]bool{}}
	var servers []*server
	for i := range lateServers {
		s := w.newServer(fmt.Sprintf("i-%d", i+1), "booking", []string{"kerr-a", "kerr-b"}[i%2], 4, w.ip(100+i)+":0")
		s.onRun = p.onRun
		s.handle = func(s *server, rw http.ResponseWriter, r *http.Request, _ []byte) {
			time.Sleep(160 * time.Millisecond)
			s.answer(rw, http.StatusOK, pattern(r.Header.Get("X-Request-Id"), 400))
		}
		if err := s.start(); err != nil {
			return false, err
		}
		servers = append(servers, s)
	}
	w.configure(1, route("commit", "book.example", "/book/", "unsafe", "booking", 2000, 2), service("booking"))
	if err := w.addHosts(4, nil); err != nil {
		return false, err
	}
	if err := w.awaitReady(); err != nil {
		return false, err
	}
	until := time.Now().Add(13 * time.Second)
	var wg sync.WaitGroup
	for c := range 24 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			p.book(c, until)
		}()
	}
	time.Sleep(time.Second)
	// ONLY=late and ONLY=kill leave out the other disruption.
	only := os.Getenv("ONLY")
	if err := p.leave(servers[:leavingServers], w.trouble && only != "kill", w.trouble && only != "late"); err != nil {
		return false, err
	}
	wg.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	w.say("%d requests reached a server later than %v after the store had accepted that it has left, sent by hosts in touch; %d of these bookings have no outcome; %d bookings were served", p.late, drainTime, p.lost, p.served)
	return p.late > 0, nil
}
