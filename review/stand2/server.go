package main

// This file is a small stand-in for a server. It runs requests in slots and rejects what does not fit.

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is what a server did with a request.
type run struct {
	server, id, method, uri string
	at                      time.Time
	body                    int64
}

type server struct {
	id, service, zone string
	slots             int
	address           string
	w                 *world
	// handle responds to a request that runs. It runs without the mutex.
	handle func(s *server, rw http.ResponseWriter, r *http.Request, body []byte)
	// onRun is called when a run begins.
	onRun func(run)

	mu       sync.Mutex
	running  int
	up       bool
	silent   bool
	born     int64
	sequence int
	http     *http.Server
}

func (w *world) newServer(id, service, zone string, slots int, address string) *server {
	return &server{id: id, service: service, zone: zone, slots: slots, address: address, w: w}
}

// start listens and registers the server.
func (s *server) start() error {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.address = l.Addr().String()
	s.up, s.running, s.sequence, s.born = true, 0, 0, time.Now().UnixMilli()
	srv := &http.Server{Handler: s, IdleTimeout: 10 * time.Second}
	s.http = srv
	born := s.born
	s.mu.Unlock()
	go func() { _ = srv.Serve(l) }()
	s.beat()
	go func() {
		for {
			time.Sleep(1500 * time.Millisecond)
			s.mu.Lock()
			current := s.up && s.born == born
			s.mu.Unlock()
			if !current {
				return
			}
			s.beat()
		}
	}()
	return nil
}

// beat writes a heartbeat, unless the server is silent.
func (s *server) beat() {
	s.mu.Lock()
	silent := s.silent
	s.mu.Unlock()
	if !silent {
		s.w.store.put("servers/"+s.id, s.nextEntry())
	}
}

// silence ends the heartbeats.
func (s *server) silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = true
}

// nextEntry returns the next entry of the server.
func (s *server) nextEntry() map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	return map[string]any{
		"address": s.address, "born": s.born,
		"info":   map[string]any{"service": s.service, "version": "v1", "zone": s.zone, "slots": s.slots},
		"status": map[string]any{"state": "ready", "sequence": s.sequence, "cold_remaining_ms": 0},
	}
}

// crash ends the server at once, with all its connections.
func (s *server) crash() {
	s.mu.Lock()
	if !s.up {
		s.mu.Unlock()
		return
	}
	s.up = false
	srv := s.http
	s.mu.Unlock()
	_ = srv.Close()
}

func (s *server) load() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("%d,0,%d,100", s.running, s.slots)
}

func (s *server) begin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running >= s.slots {
		return false
	}
	s.running++
	return true
}

func (s *server) finish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	rw.Header().Set("X-Server-Load", s.load())
	if r.URL.Path == "/healthz" {
		rw.Header().Set("X-Instance-Id", s.id)
		return
	}
	id := r.Header.Get("X-Request-Id")
	rw.Header().Set("X-Request-Id", id)
	if want := r.Header.Get("X-Target-Instance"); want != "" && want != s.id {
		rw.Header().Set("X-Instance-Id", s.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !s.begin() {
		rw.Header().Set("X-Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.finish()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.w.log("server %s runs %s: %s %s, %d bytes", s.id, id, r.Method, r.RequestURI, len(body))
	if s.onRun != nil {
		s.onRun(run{server: s.id, id: id, method: r.Method, uri: r.RequestURI, at: time.Now(), body: int64(len(body))})
	}
	s.handle(s, rw, r, body)
}

// answer sends a complete signed answer.
func (s *server) answer(rw http.ResponseWriter, status int, body string) {
	rw.Header().Set("X-Server-Signature", "signed."+s.id)
	rw.Header().Set("X-Server-Load", s.load())
	rw.Header().Set("Content-Length", strconv.Itoa(len(body)))
	rw.WriteHeader(status)
	_, _ = io.WriteString(rw, body)
}

// pattern returns a body that names its request in each line.
func pattern(id string, n int) string {
	line := "answer to " + id + "\n"
	return strings.Repeat(line, n/len(line)+1)[:n]
}
