//go:build review3

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// arrival is a request that a server got.
type arrival struct {
	at     time.Time
	id     string
	path   string
	tenant string
	// credential is the key that was passed on.
	credential string
	server     string
	from       string
}

// behaviour is what a request makes a server do; nil serves it in the usual time.
type behaviour struct {
	// work is the time that a request takes.
	work func(r *http.Request) time.Duration
	// crashes reports whether a request crashes the server that begins to run it.
	crashes func(r *http.Request) bool
	// onRun is called when a request begins to run, and onEnd when its work ends; completed is false if
	// its connection was closed before.
	onRun func(a arrival)
	onEnd func(a arrival, completed bool)
	// backAfter is the time after which a crashed server is back.
	backAfter time.Duration
}

const (
	slots      = 4
	queueLimit = 4
)

// server is a server of a service. Each start is a new incarnation with a new id, at the same address.
type server struct {
	w       *world
	service string
	zone    string
	address string
	b       behaviour

	mu       sync.Mutex
	id       string
	starts   int
	up       bool
	listener net.Listener
	http     *http.Server
	ended    chan struct{}
	running  atomic.Int32
	waiting  atomic.Int32
	slot     chan struct{}
}

// startServers starts n servers of a service.
func (w *world) startServers(service string, n int, b behaviour) error {
	for i := range n {
		s := &server{w: w, service: service, zone: fmt.Sprintf("zone-%d", i%2), address: fmt.Sprintf("%s.%d:8080", w.net, 100+len(w.servers)), b: b}
		if err := s.start(); err != nil {
			return err
		}
		w.mu.Lock()
		w.servers = append(w.servers, s)
		w.mu.Unlock()
	}
	return nil
}

func (s *server) start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.starts++
	s.id = fmt.Sprintf("i-%s-%s-%d", s.service, s.address[len(s.w.net)+1:len(s.address)-5], s.starts)
	s.listener, s.up, s.ended = l, true, make(chan struct{})
	s.slot = make(chan struct{}, slots)
	s.running.Store(0)
	s.waiting.Store(0)
	id, ended, slot := s.id, s.ended, s.slot
	s.http = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, id, slot, ended) }), ReadHeaderTimeout: time.Minute, IdleTimeout: 10 * time.Second}
	h := s.http
	go func() { _ = h.Serve(l) }()
	go s.beat(id, ended)
	s.w.rec.line("server %s starts at %s", id, s.address)
	return nil
}

// beat writes the entry of the server, and removes it after three intervals of silence.
func (s *server) beat(id string, ended chan struct{}) {
	key := "servers/" + id
	for sequence := 1; ; sequence++ {
		entry, _ := json.Marshal(map[string]any{
			"address": s.address, "info": map[string]any{"service": s.service, "version": "v1", "zone": s.zone, "slots": slots},
			"status": map[string]any{"state": "ready", "sequence": sequence, "cold_remaining_ms": 0},
		})
		s.w.store.Put(key, entry)
		select {
		case <-ended:
			time.Sleep(3 * heartbeat)
			s.w.store.Delete(key)
			return
		case <-time.After(heartbeat):
		}
	}
}

// crash ends the process of the server: its listener and all its connections close.
func (s *server) crash() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.up {
		return false
	}
	s.up = false
	close(s.ended)
	_ = s.listener.Close()
	_ = s.http.Close()
	return true
}

func (s *server) crashAndReturn() {
	id := s.currentID()
	if !s.crash() {
		return
	}
	s.w.rec.line("server %s crashes", id)
	time.AfterFunc(s.b.backAfter, func() {
		s.w.mu.Lock()
		closed := s.w.closed
		s.w.mu.Unlock()
		if !closed {
			if err := s.start(); err != nil {
				s.w.rec.note("server at %s does not start: %v", s.address, err)
			}
		}
	})
}

func (s *server) currentID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.id
}

func (s *server) setLoad(w http.ResponseWriter) {
	w.Header().Set("X-Server-Load", fmt.Sprintf("%d,%d,%d,100", s.running.Load(), s.waiting.Load(), slots))
}

func (s *server) serve(w http.ResponseWriter, r *http.Request, id string, slot chan struct{}, ended chan struct{}) {
	if r.URL.Path == "/healthz" {
		w.Header().Set("X-Instance-Id", id)
		s.setLoad(w)
		return
	}
	request := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", request)
	if want := r.Header.Get("X-Target-Instance"); want != "" && want != id {
		w.Header().Set("X-Instance-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if s.waiting.Add(1) > slots+queueLimit {
		s.waiting.Add(-1)
		s.setLoad(w)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case slot <- struct{}{}:
		s.waiting.Add(-1)
	case <-r.Context().Done():
		s.waiting.Add(-1)
		return
	}
	s.running.Add(1)
	defer func() {
		s.running.Add(-1)
		<-slot
	}()
	a := arrival{at: time.Now(), id: request, path: r.URL.Path, tenant: r.Header.Get("X-Tenant"), credential: r.Header.Get("X-Credential"), server: id, from: r.RemoteAddr}
	if s.b.onRun != nil {
		s.b.onRun(a)
	}
	if s.b.crashes != nil && s.b.crashes(r) {
		s.crashAndReturn()
		return
	}
	work := 30 * time.Millisecond
	if s.b.work != nil {
		work = s.b.work(r)
	}
	limit := time.Hour
	if ms, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms")); err == nil {
		limit = time.Duration(ms) * time.Millisecond
	}
	completed := false
	defer func() {
		if s.b.onEnd != nil {
			s.b.onEnd(a, completed)
		}
	}()
	select {
	case <-time.After(min(work, limit)):
	case <-r.Context().Done():
		return
	case <-ended:
		return
	}
	completed = true
	w.Header().Set("X-Server-Signature", "signed-by-"+id)
	s.setLoad(w)
	if work > limit {
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	fmt.Fprintf(w, "%s %s %s %d", id, request, r.URL.Path, len(body))
}
