package main

// This file defines server, a stand-in for a server of the platform.

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// run is one event at a server.
type run struct {
	at     time.Time
	server string
	id     string
	what   string
	detail string
}

// server runs up to slots requests and queues as many. Requests take work, or the milliseconds
// in the query parameter work.
type server struct {
	name, service, zone string
	slots               int
	work                time.Duration
	// crashes reports whether a request crashes the server as soon as it begins to run it;
	// downFor is the time after which it is back.
	crashes func(r *http.Request) bool
	// sender names the machine that opened the connection from an address; nil if the case does
	// not need it.
	sender  func(address string) string
	downFor time.Duration
	st      *store
	onRun   func(run)

	mu       sync.Mutex
	id       string
	born     int64
	sequence int
	starts   int
	state    string
	address  string
	running  int
	waiting  int
	free     chan struct{}
	conns    map[net.Conn]bool
	http     *http.Server
	up       bool
	stop     chan struct{}
	senders  map[string]string
	// pause is the time for which the server wants nothing of a machine whose request it turns
	// away; zero while it turns none away.
	pause time.Duration
	// leaving makes the server say in all answers that it leaves.
	leaving bool
}

func (s *server) start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.startAs(fmt.Sprintf("i-%s-%d", s.name, s.starts+1))
}

// restart ends the server as planned and starts it again under its id and at its address. Its entry
// is removed when it has left, and written again after gap.
func (s *server) restart(gap time.Duration) error {
	s.mu.Lock()
	id, h := s.id, s.http
	close(s.stop)
	s.up = false
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	_ = h.Shutdown(ctx)
	_ = h.Close()
	s.st.remove("servers/" + id)
	s.onRun(run{time.Now(), id, "", "left", ""})
	time.Sleep(gap)
	s.mu.Lock()
	defer s.mu.Unlock()
	err := s.startAs(id)
	s.onRun(run{time.Now(), id, "", "started again under its id", ""})
	return err
}

// exit ends the server after it has reported that it leaves. Its entry is removed.
func (s *server) exit() {
	s.mu.Lock()
	id, h := s.id, s.http
	s.up = false
	s.mu.Unlock()
	s.onRun(run{time.Now(), id, "", "left", ""})
	_ = h.Close()
	s.st.remove("servers/" + id)
}

// startAs starts the server under an id. The caller holds the mutex.
func (s *server) startAs(id string) error {
	address := s.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.address = l.Addr().String()
	s.starts++
	s.id = id
	s.born, s.sequence, s.state, s.up = time.Now().UnixMilli(), 0, "ready", true
	s.running, s.waiting, s.free, s.conns, s.stop = 0, 0, make(chan struct{}, s.slots), map[net.Conn]bool{}, make(chan struct{})
	s.senders = map[string]string{}
	for range s.slots {
		s.free <- struct{}{}
	}
	stop := s.stop
	s.http = &http.Server{
		Handler:     http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(id, w, r) }),
		IdleTimeout: 10 * time.Second,
		ConnState: func(c net.Conn, state http.ConnState) {
			s.mu.Lock()
			defer s.mu.Unlock()
			if state == http.StateClosed {
				delete(s.conns, c)
			} else {
				s.conns[c] = true
			}
		},
	}
	go func(h *http.Server) { _ = h.Serve(l) }(s.http)
	go s.beat(id, stop)
	return nil
}

// beat writes the entry of the server every heartbeat.
func (s *server) beat(id string, stop chan struct{}) {
	for {
		s.mu.Lock()
		s.sequence++
		entry := s.entry()
		s.mu.Unlock()
		s.st.put("servers/"+id, entry)
		select {
		case <-time.After(heartbeat):
		case <-stop:
			return
		}
	}
}

func (s *server) entry() map[string]any {
	return map[string]any{
		"address": s.address, "born": s.born,
		"info":   map[string]any{"service": s.service, "zone": s.zone, "version": "1", "slots": s.slots},
		"status": map[string]any{"state": s.state, "sequence": s.sequence, "cold_remaining_ms": 0},
	}
}

// crash ends the server at once: its port refuses connections and the open ones are reset. Its
// entry is removed after three heartbeats of silence, and it is back after downFor.
func (s *server) crash() {
	s.mu.Lock()
	if !s.up {
		s.mu.Unlock()
		return
	}
	s.up = false
	close(s.stop)
	h, id, down := s.http, s.id, s.downFor
	conns := slices.Collect(maps.Keys(s.conns))
	s.mu.Unlock()
	_ = h.Close()
	for _, c := range conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	s.onRun(run{time.Now(), id, "", "crashed", ""})
	time.AfterFunc(3*heartbeat, func() { s.st.remove("servers/" + id) })
	if down > 0 {
		time.AfterFunc(down, func() {
			if err := s.start(); err == nil {
				s.onRun(run{time.Now(), s.id, "", "started", ""})
			}
		})
	}
}

// from returns the name of the machine that opened the connection from an address.
func (s *server) from(address string) string {
	if s.sender == nil {
		return ""
	}
	s.mu.Lock()
	name, ok := s.senders[address]
	s.mu.Unlock()
	if ok {
		return name
	}
	name = s.sender(address)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.senders[address] = name
	return name
}

func (s *server) load() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d,100", s.running, s.waiting, s.slots)
}

func (s *server) reject(w http.ResponseWriter, status int, why string) {
	w.Header().Set("X-Not-Executed", "1")
	w.Header().Set("X-Server-Load", s.load())
	reply(w, status, map[string]string{"error": why})
}

func (s *server) serve(id string, w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == healthPath {
		w.Header().Set("X-Instance-Id", id)
		w.Header().Set("X-Server-Load", s.load())
		w.WriteHeader(200)
		return
	}
	request := r.Header.Get("X-Request-Id")
	if request == "" {
		s.reject(w, 400, "no id")
		return
	}
	w.Header().Set("X-Request-Id", request)
	if want := r.Header.Get("X-Target-Instance"); want != "" && want != id {
		s.reject(w, 421, "another server")
		return
	}
	deadline := 30 * time.Second
	if ms, err := strconv.ParseFloat(r.Header.Get("X-Deadline-Ms"), 64); err == nil {
		deadline = time.Duration(ms) * time.Millisecond
	}
	end := time.NewTimer(deadline)
	defer end.Stop()
	from := s.from(r.RemoteAddr)
	s.mu.Lock()
	pause, leaving := s.pause, s.leaving
	s.mu.Unlock()
	s.onRun(run{time.Now(), id, request, "arrived", from})
	if leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	if pause > 0 {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Retry-After", strconv.FormatFloat(pause.Seconds(), 'f', -1, 64))
		s.onRun(run{time.Now(), id, request, "turned away", from})
		s.reject(w, 503, "come back later")
		return
	}
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if !s.take(r.Context(), end) {
		s.onRun(run{time.Now(), id, request, "rejected", ""})
		s.reject(w, 503, "full")
		return
	}
	defer s.give()
	s.onRun(run{time.Now(), id, request, "began", r.URL.Path})
	if s.crashes != nil && s.crashes(r) {
		s.crash()
		panic(http.ErrAbortHandler)
	}
	work := s.work
	if ms, err := strconv.Atoi(r.URL.Query().Get("work")); err == nil {
		work = time.Duration(ms) * time.Millisecond
	}
	select {
	case <-time.After(work):
	case <-end.C:
		w.Header().Set("X-Server-Signature", "sig-"+id)
		reply(w, 504, map[string]string{"error": "deadline"})
		return
	case <-r.Context().Done():
		s.onRun(run{time.Now(), id, request, "dropped", ""})
		panic(http.ErrAbortHandler)
	}
	s.onRun(run{time.Now(), id, request, "ran", ""})
	w.Header().Set("X-Server-Signature", "sig-"+id)
	w.Header().Set("X-Server-Load", s.load())
	body := fmt.Sprintf("%s ran %s with %d bytes", id, request, n)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body)
}

// take waits for a slot. A server queues as many requests as it has slots.
func (s *server) take(ctx context.Context, end *time.Timer) bool {
	s.mu.Lock()
	free := s.free
	select {
	case <-free:
		s.running++
		s.mu.Unlock()
		return true
	default:
	}
	if s.waiting >= s.slots {
		s.mu.Unlock()
		return false
	}
	s.waiting++
	s.mu.Unlock()
	ok := false
	select {
	case <-free:
		ok = true
	case <-end.C:
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting--
	if ok {
		s.running++
	}
	return ok
}

func (s *server) give() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running > 0 {
		s.running--
	}
	select {
	case s.free <- struct{}{}:
	default:
	}
}
