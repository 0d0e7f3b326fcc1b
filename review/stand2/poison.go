package main

// This file plays two requests that crash the servers which run them, and whose callers send them again.

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	poisonHosts   = 4
	poisonServers = 16
	// poisonBack is the time after which a crashed server is back.
	poisonBack = 3 * time.Second
	// poisonEvery is the time after which a caller sends its request again.
	poisonEvery  = 800 * time.Millisecond
	poisonLength = 40 * time.Second
	// stableWindow is stable_window_ms, and maxPoisonRetries the number of later arrivals that the rule allows.
	stableWindow     = 3 * time.Second
	maxPoisonRetries = 3
)

// poisonNames are the two requests. Among four hosts, these two have the same coordinators, as one pair in
// five has; without trouble, the second one crashes nothing.
var poisonNames = [2]string{"record-7", "record-8"}

type poisonPlay struct {
	w *world

	mu      sync.Mutex
	next    int
	crashes map[string][]time.Time
	arrived map[string][]time.Time
	lost    int
	served  int
}

// poisonName returns the name of a request that crashes servers; empty for others.
func (p *poisonPlay) poisonName(path string) string {
	name := strings.TrimPrefix(path, "/rooms/")
	switch {
	case name == poisonNames[0], name == poisonNames[1] && p.w.trouble:
		return name
	}
	return ""
}

func (p *poisonPlay) addServer(address, zone string) error {
	p.mu.Lock()
	p.next++
	s := p.w.newServer(fmt.Sprintf("i-%d", p.next), "rooms", zone, 2, address)
	p.mu.Unlock()
	s.handle = func(s *server, rw http.ResponseWriter, r *http.Request, _ []byte) {
		name := p.poisonName(r.URL.Path)
		if name == "" {
			time.Sleep(120 * time.Millisecond)
			s.answer(rw, http.StatusOK, pattern(r.Header.Get("X-Request-Id"), 400))
			return
		}
		p.mu.Lock()
		now := time.Now()
		p.arrived[name], p.crashes[name] = append(p.arrived[name], now), append(p.crashes[name], now)
		p.mu.Unlock()
		p.w.log("%s crashes server %s", name, s.id)
		go func() {
			s.crash()
			time.Sleep(poisonBack)
			if err := p.addServer(s.address, s.zone); err != nil {
				p.w.log("server at %s is not back: %v", s.address, err)
			}
		}()
		<-r.Context().Done()
	}
	return s.start()
}

func playPoison(w *world) (broken bool, err error) {
	p := &poisonPlay{w: w, crashes: map[string][]time.Time{}, arrived: map[string][]time.Time{}}
	for i := range poisonServers {
		if err := p.addServer(w.ip(100+i)+":9000", []string{"kerr-a", "kerr-b"}[i%2]); err != nil {
			return false, err
		}
	}
	w.configure(1,
		route("rooms", "rooms.example", "/rooms/", "safe", "rooms", 2000, 2),
		route("book", "rooms.example", "/book/", "unsafe", "rooms", 2000, 2), service("rooms"))
	if err := w.addHosts(poisonHosts, nil); err != nil {
		return false, err
	}
	if err := w.awaitReady(); err != nil {
		return false, err
	}
	until := time.Now().Add(poisonLength)
	var wg sync.WaitGroup
	for c := range 2 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; time.Now().Before(until); n++ {
				id := fmt.Sprintf("%s-%d", poisonNames[c], n)
				status, _, _ := exchange(w.hosts[(n+c)%poisonHosts].front, request(id, "GET", "rooms.example", "/rooms/"+poisonNames[c], 2*time.Second, ""), 3*time.Second)
				w.log("%s: status %d", id, status)
				time.Sleep(poisonEvery)
			}
		}()
	}
	for c := range 6 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; time.Now().Before(until); n++ {
				id := fmt.Sprintf("book-%d-%d", c, n)
				status, _, _ := exchange(w.hosts[(n+c)%poisonHosts].front, request(id, "POST", "rooms.example", "/book/"+id, 2*time.Second, id), 3*time.Second)
				p.mu.Lock()
				switch status {
				case http.StatusOK:
					p.served++
				case 0, http.StatusBadGateway, http.StatusGatewayTimeout:
					p.lost++
					w.log("booking %s has run or not: status %d", id, status)
				}
				p.mu.Unlock()
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}
	wg.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, at := range p.crashes {
		late := 0
		if len(at) >= 3 {
			for _, t := range p.arrived[name] {
				if t.After(at[2].Add(stableWindow)) {
					late++
				}
			}
		}
		w.say("%s has crashed %d servers; it reached %d of them later than %v after the third crash", name, len(at), late, stableWindow)
		broken = broken || late > maxPoisonRetries
	}
	w.say("%d bookings were served, %d have an unknown outcome", p.served, p.lost)
	return broken, nil
}
