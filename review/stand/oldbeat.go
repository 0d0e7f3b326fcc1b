package main

// This file defines the case of a heartbeat that the store applies late.

import (
	"fmt"
	"time"
)

// report writes the entry of the server, delayed by the store if delay is set.
func (s *server) report(delay time.Duration) {
	s.mu.Lock()
	s.sequence++
	id, entry, sequence, state := s.id, s.entry(), s.sequence, s.state
	s.mu.Unlock()
	if delay == 0 {
		s.st.put("servers/"+id, entry)
		s.onRun(run{time.Now(), id, "", "wrote its entry", fmt.Sprintf("%s, sequence %d", state, sequence)})
		return
	}
	s.onRun(run{time.Now(), id, "", "got no answer to a write", fmt.Sprintf("%s, sequence %d", state, sequence)})
	time.AfterFunc(delay, func() {
		s.st.put("servers/"+id, entry)
		s.onRun(run{time.Now(), id, "", "its late write was done", fmt.Sprintf("%s, sequence %d", state, sequence)})
	})
}

// oldBeat plays servers that leave after the store has lost answers: a write of each of them is done
// late, after the server has reported that it leaves.
func oldBeat(f *fleet) (bool, error) {
	const (
		leave = 2
		late  = 5200 * time.Millisecond
		drain = 2 * time.Second
		// longer is the time for which a server serves beyond drain.
		longer = 700 * time.Millisecond
	)
	f.store.put("op/config", config(1, map[string]any{"prefix": "/book/", "kind": "unsafe", "service": "hub", "timeout_ms": 2500, "target_latency_ms": 600}))
	if err := f.addServers("hub", 12, 2, 200*time.Millisecond, nil); err != nil {
		return false, err
	}
	if err := f.addHosts(3); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	stop, statuses := make(chan struct{}), make(chan map[string]int, 1)
	go func() { statuses <- f.load("/book/a", 24, 250*time.Millisecond, stop) }()
	time.Sleep(2 * time.Second)
	acked := make(chan time.Time, leave)
	for _, s := range f.servers[:leave] {
		go func() {
			// The heartbeats of the server from here on; the first one falls into the last moments in
			// which the store loses answers.
			s.mu.Lock()
			close(s.stop)
			s.mu.Unlock()
			begin := time.Now()
			wait := func(at time.Duration) { time.Sleep(time.Until(begin.Add(at))) }
			if trouble() {
				s.report(late)
			} else {
				s.report(0)
			}
			wait(heartbeat)
			s.report(0)
			wait(2 * heartbeat)
			s.report(0)
			// The store has been well for over three seconds.
			wait(3150 * time.Millisecond)
			s.mu.Lock()
			s.state = "draining"
			s.mu.Unlock()
			s.report(0)
			ack := time.Now()
			acked <- ack
			wait(3 * heartbeat)
			s.report(0)
			time.Sleep(time.Until(ack.Add(drain + longer)))
			s.exit()
		}()
	}
	at := <-acked
	<-acked
	time.Sleep(8 * time.Second)
	close(stop)
	answers := <-statuses
	n, lost := 0, len(f.events("dropped"))
	for _, r := range f.events("arrived") {
		for _, s := range f.servers[:leave] {
			if r.server == s.id && r.at.Sub(at) > drain {
				n++
				f.logf("DRAIN: %s reached %s %.2f s after the acknowledgement that it is draining", r.id, r.server, r.at.Sub(at).Seconds())
			}
		}
	}
	f.logf("answers: %v; requests at draining servers later than drain_ms: %d; requests that ran when a server ended: %d", answers, n, lost)
	fmt.Println("answers:", answers, "at draining servers:", n, "running at their end:", lost)
	return n == 0, nil
}
