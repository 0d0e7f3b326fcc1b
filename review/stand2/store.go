package main

// This file is a small stand-in for the platform's metadata store. It loses nothing and applies calls at
// once.

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

const maxPageItems = 400

type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created"`
	Lease     uint64 `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type lease struct {
	ttl  time.Duration
	ends time.Time
}

type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	leases   map[uint64]*lease
	changed  chan struct{}
	address  string
}

func startStore(address string) (*store, error) {
	s := &store{revision: 1, items: map[string]item{}, leases: map[uint64]*lease{}, changed: make(chan struct{})}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s.address = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /tamaracktiller/kv-key", s.get)
	mux.HandleFunc("GET /tamaracktiller/kv-range", s.list)
	mux.HandleFunc("GET /tamaracktiller/kv-watch", s.watch)
	mux.HandleFunc("POST /tamaracktiller/kv-txn", s.commit)
	mux.HandleFunc("POST /tamaracktiller/kv-lease", s.grant)
	mux.HandleFunc("POST /tamaracktiller/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /tamaracktiller/kv-lease-end/{id}", s.end)
	go func() { _ = http.Serve(l, mux) }()
	go func() {
		for range time.Tick(100 * time.Millisecond) {
			s.expire(time.Now())
		}
	}()
	return s, nil
}

// apply writes or deletes items at one new revision. The caller holds the mutex.
func (s *store) apply(writes []item, deletes []string) {
	s.revision++
	for _, w := range writes {
		w.Revision, w.Created = s.revision, s.revision
		if old, ok := s.items[w.Key]; ok {
			w.Created = old.Created
		}
		s.items[w.Key] = w
		s.history = append(s.history, w)
	}
	for _, key := range deletes {
		if _, ok := s.items[key]; ok {
			delete(s.items, key)
			s.history = append(s.history, item{Key: key, Revision: s.revision, Tombstone: true})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key as the operator or a server does.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]item{{Key: key, Value: data}}, nil)
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(nil, []string{key})
}

func (s *store) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if now.Before(l.ends) {
			continue
		}
		delete(s.leases, id)
		s.dropLease(id)
	}
}

func (s *store) dropLease(id uint64) {
	var keys []string
	for key, i := range s.items {
		if i.Lease == id {
			keys = append(keys, key)
		}
	}
	if len(keys) > 0 {
		s.apply(nil, keys)
	}
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.URL.Query().Get("key")]
	revision := s.revision
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{"store_revision": revision})
		return
	}
	reply(w, http.StatusOK, struct {
		item
		StoreRevision uint64 `json:"store_revision"`
	}{i, revision})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	items, revision := []item{}, s.revision
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, i)
		}
	}
	s.mu.Unlock()
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	truncated := len(items) > maxPageItems
	items = items[:min(len(items), maxPageItems)]
	reply(w, http.StatusOK, map[string]any{"items": items, "truncated": truncated, "store_revision": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(ms) * time.Millisecond)
	for {
		s.mu.Lock()
		events, revision, changed := []item{}, s.revision, s.changed
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, q.Get("prefix")) {
				events = append(events, i)
			}
		}
		s.mu.Unlock()
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-timeout:
			case <-r.Context().Done():
				return
			}
		}
		reply(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
		return
	}
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var txn struct {
		Precondition []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"precondition"`
		Writes []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"writes"`
		Deletes []string `json:"deletes"`
	}
	if err := json.NewDecoder(r.Body).Decode(&txn); err != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, ok := []item{}, true
	for _, c := range txn.Precondition {
		i := s.items[c.Key]
		ok = ok && i.Revision == c.Revision
		i.Key = c.Key
		current = append(current, i)
	}
	if !ok {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	writes := []item{}
	for _, x := range txn.Writes {
		if x.Lease != 0 && s.leases[x.Lease] == nil {
			reply(w, http.StatusNotFound, map[string]any{})
			return
		}
		writes = append(writes, item{Key: x.Key, Value: x.Value, Lease: x.Lease})
	}
	s.apply(writes, txn.Deletes)
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL int64 `json:"ttl_ms"`
	}
	_ = json.NewDecoder(r.Body).Decode(&body)
	ttl := time.Duration(max(1000, body.TTL)) * time.Millisecond
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.leases[s.revision] = &lease{ttl: ttl, ends: time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]any{"lease": s.revision, "ttl_ms": ttl.Milliseconds()})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		reply(w, http.StatusNotFound, map[string]any{})
		return
	}
	l.ends = time.Now().Add(l.ttl)
	reply(w, http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.leases, id)
	s.dropLease(id)
	reply(w, http.StatusOK, map[string]any{})
}
