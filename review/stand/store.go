package main

// This file defines store, an in-memory stand-in for the platform's metadata store.

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	storeHistory  = 20 * time.Second
	storePage     = 500
	storeMaxWait  = 30 * time.Second
	storeMinLease = time.Second
)

type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created,omitempty"`
	Lease     uint64 `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
	at        time.Time
}

type store struct {
	mu        sync.Mutex
	items     map[string]item
	history   []item
	compacted uint64
	revision  uint64
	lastLease uint64
	leases    map[uint64]*lease
	changed   chan struct{}
	l         net.Listener
	srv       *http.Server
}

type lease struct {
	ttl   time.Duration
	timer *time.Timer
}

func newStore(address string) (*store, error) {
	s := &store{items: map[string]item{}, leases: map[uint64]*lease{}, changed: make(chan struct{}), revision: 10, compacted: 10}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /tamaracktiller/kv-key", s.getKey)
	mux.HandleFunc("GET /tamaracktiller/kv-range", s.getRange)
	mux.HandleFunc("GET /tamaracktiller/kv-watch", s.watch)
	mux.HandleFunc("POST /tamaracktiller/kv-txn", s.txn)
	mux.HandleFunc("POST /tamaracktiller/kv-lease", s.grant)
	mux.HandleFunc("POST /tamaracktiller/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /tamaracktiller/kv-lease-end/{id}", s.endLease)
	s.l, s.srv = l, &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Store-Era", "1")
		w.Header().Set("Content-Type", "application/json")
		mux.ServeHTTP(w, r)
	})}
	go func() { _ = s.srv.Serve(l) }()
	return s, nil
}

func (s *store) address() string { return s.l.Addr().String() }

// put and remove are the writes of the operator and of servers.
func (s *store) put(key string, value any) {
	data, ok := value.([]byte)
	if !ok {
		data, _ = json.Marshal(value)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(item{Key: key, Value: data})
	s.wake()
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; ok {
		s.write(item{Key: key, Tombstone: true})
		s.wake()
	}
}

func (s *store) count(prefix string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			n++
		}
	}
	return n
}

func (s *store) write(it item) {
	s.revision++
	it.Revision, it.at = s.revision, time.Now()
	if it.Tombstone {
		delete(s.items, it.Key)
	} else {
		it.Created = it.Revision
		if old, ok := s.items[it.Key]; ok {
			it.Created = old.Created
		}
		s.items[it.Key] = it
	}
	s.history = append(s.history, it)
	for len(s.history) > 0 && time.Since(s.history[0].at) > storeHistory {
		s.compacted = s.history[0].Revision
		s.history = s.history[1:]
	}
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func reply(w http.ResponseWriter, status int, v any) {
	data, _ := json.Marshal(v)
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *store) getKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.items[r.URL.Query().Get("key")]
	s.mu.Unlock()
	if !ok {
		reply(w, 404, map[string]string{"error": "no such key"})
		return
	}
	reply(w, 200, it)
}

func (s *store) getRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	list := []item{}
	s.mu.Lock()
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			list = append(list, it)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	truncated := len(list) > storePage
	if truncated {
		list = list[:storePage]
	}
	reply(w, 200, map[string]any{"items": list, "truncated": truncated, "store_revision": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("wait_ms"))
	timer := time.NewTimer(min(time.Duration(ms)*time.Millisecond, storeMaxWait))
	defer timer.Stop()
	for ended := false; ; {
		events := []item{}
		s.mu.Lock()
		if after < s.compacted || after > s.revision {
			s.mu.Unlock()
			reply(w, 410, map[string]string{"error": "history is gone"})
			return
		}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, q.Get("prefix")) {
				events = append(events, it)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || ended {
			reply(w, 200, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Precondition []item   `json:"precondition"`
		Writes       []item   `json:"writes"`
		Deletes      []string `json:"deletes"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		reply(w, 400, map[string]string{"error": err.Error()})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	failed := false
	current := []item{}
	for _, c := range t.Precondition {
		it := s.items[c.Key]
		failed = failed || it.Revision != c.Revision
		if it.Revision != 0 {
			current = append(current, it)
		}
	}
	if failed {
		reply(w, 412, map[string]any{"items": current})
		return
	}
	for _, it := range t.Writes {
		if strings.HasPrefix(it.Key, "op/") || strings.HasPrefix(it.Key, "servers/") {
			reply(w, 403, map[string]string{"error": "key is not yours"})
			return
		}
		if it.Lease != 0 && s.leases[it.Lease] == nil {
			reply(w, 404, map[string]string{"error": "no such lease"})
			return
		}
	}
	for _, it := range t.Writes {
		s.write(item{Key: it.Key, Value: it.Value, Lease: it.Lease})
	}
	for _, key := range t.Deletes {
		if _, ok := s.items[key]; ok {
			s.write(item{Key: key, Tombstone: true})
		}
	}
	s.wake()
	reply(w, 200, map[string]uint64{"revision": s.revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL float64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		reply(w, 400, map[string]string{"error": err.Error()})
		return
	}
	ttl := min(max(time.Duration(body.TTL)*time.Millisecond, storeMinLease), 10*time.Minute)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	id := s.lastLease
	s.leases[id] = &lease{ttl: ttl, timer: time.AfterFunc(ttl, func() { s.expire(id) })}
	reply(w, 200, map[string]int64{"lease": int64(id), "ttl_ms": ttl.Milliseconds()})
}

func (s *store) expire(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.leases, id)
	for key, it := range s.items {
		if it.Lease == id {
			s.write(item{Key: key, Tombstone: true})
		}
	}
	s.wake()
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		reply(w, 404, map[string]string{"error": "no such lease"})
		return
	}
	l.timer.Reset(l.ttl)
	reply(w, 200, map[string]int64{"lease": int64(id), "ttl_ms": l.ttl.Milliseconds()})
}

func (s *store) endLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	l := s.leases[id]
	s.mu.Unlock()
	if l == nil {
		reply(w, 404, map[string]string{"error": "no such lease"})
		return
	}
	l.timer.Stop()
	s.expire(id)
	reply(w, 200, map[string]int64{"lease": int64(id)})
}
