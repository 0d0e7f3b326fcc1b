// Package platform serves the stand-in of the platform: its key-value service
// and its list of hosts, over HTTP, with switches for failures.
//
// # Usage
//
//	s := platform.New(table.New(), platform.Config{HostLag: 5 * time.Second})
//	http.ListenAndServe("127.0.0.1:7400", s.Handler())
//
// The switches: PUT /v1/faults with table.Faults, POST /v1/release, PUT
// /v1/hosts with the list, GET /v1/calls. A value written with ?lease=ID ends with
// the lease; the balancers use none.
package platform

// This file defines Server, the HTTP face of a table.

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/pkg/errors"

	"tamaracktiller.example/tamaracktiller/internal/platform/store"
	"tamaracktiller.example/tamaracktiller/internal/platform/table"
)

// maxWatch is the longest wait of a watch.
const maxWatch = time.Minute

// Config holds the settings of the stand-in.
type Config struct {
	// HostLag is the time after which a change of the host list is shown.
	HostLag time.Duration
}

// Server serves a table.
type Server struct {
	table *table.Table
	cfg   Config
}

// New returns a server of t.
func New(t *table.Table, cfg Config) *Server {
	return &Server{table: t, cfg: cfg}
}

// Handler returns the HTTP routes.
func (s *Server) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/v1/kv/*", s.get)
	r.Put("/v1/kv/*", s.put)
	r.Delete("/v1/kv/*", s.remove)
	r.Get("/v1/watch/*", s.watch)
	r.Get("/v1/list", s.list)
	r.Post("/v1/leases", s.grant)
	r.Put("/v1/leases/{id}", s.renew)
	r.Get("/v1/hosts", s.hosts)
	r.Put("/v1/hosts", s.setHosts)
	r.Put("/v1/faults", s.setFaults)
	r.Post("/v1/release", s.release)
	r.Get("/v1/calls", s.calls)
	return r
}

func (s *Server) delay() {
	if ms := s.table.Faults().LatencyMillis; ms > 0 {
		time.Sleep(time.Duration(ms) * time.Millisecond)
	}
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	s.delay()
	v, err := s.table.Get(r.Context(), chi.URLParam(r, "*"))
	writeValue(w, v, err)
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := time.ParseDuration(r.URL.Query().Get("wait"))
	v, err := s.table.Watch(r.Context(), chi.URLParam(r, "*"), store.Version(after), min(wait, maxWatch))
	writeValue(w, v, err)
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	s.delay()
	data, err := io.ReadAll(io.LimitReader(r.Body, store.MaxValueBytes+1))
	if err != nil || len(data) > store.MaxValueBytes {
		http.Error(w, "value too large", http.StatusRequestEntityTooLarge)
		return
	}
	key := chi.URLParam(r, "*")
	version, err := s.table.Swap(r.Context(), key, expected(r), data)
	if id, perr := strconv.ParseUint(r.URL.Query().Get("lease"), 10, 64); perr == nil && err == nil {
		err = s.table.Attach(key, id)
	}
	writeVersion(w, version, err)
}

func (s *Server) grant(w http.ResponseWriter, r *http.Request) {
	ttl, err := time.ParseDuration(r.URL.Query().Get("ttl"))
	if err != nil || ttl <= 0 {
		http.Error(w, "want a ttl such as 10s", http.StatusBadRequest)
		return
	}
	id, err := s.table.Grant(ttl)
	writeJSON(w, id, err)
}

func (s *Server) renew(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(chi.URLParam(r, "id"), 10, 64)
	writeJSON(w, id, s.table.Renew(id))
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	s.delay()
	err := s.table.Delete(r.Context(), chi.URLParam(r, "*"), expected(r))
	writeVersion(w, 0, err)
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	s.delay()
	values, err := s.table.List(r.Context(), r.URL.Query().Get("prefix"))
	writeJSON(w, values, err)
}

func (s *Server) hosts(w http.ResponseWriter, r *http.Request) {
	s.delay()
	hosts, err := s.table.Hosts(r.Context())
	writeJSON(w, hosts, err)
}

// setHosts shows the new list after the lag, as the platform does.
func (s *Server) setHosts(w http.ResponseWriter, r *http.Request) {
	var hosts []store.Host
	if err := json.NewDecoder(r.Body).Decode(&hosts); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	current, err := s.table.Hosts(r.Context())
	if err == nil && len(current) == 0 {
		s.table.SetHosts(hosts)
		return
	}
	time.AfterFunc(s.cfg.HostLag, func() { s.table.SetHosts(hosts) })
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var f table.Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.table.SetFaults(f)
}

func (s *Server) release(http.ResponseWriter, *http.Request) { s.table.Release() }

func (s *Server) calls(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.table.Calls(), nil)
}

func expected(r *http.Request) store.Version {
	n, _ := strconv.ParseUint(r.Header.Get("If-Match"), 10, 64)
	return store.Version(n)
}

func writeValue(w http.ResponseWriter, v store.Value, err error) {
	if err != nil {
		w.WriteHeader(status(err))
		return
	}
	w.Header().Set("ETag", strconv.FormatUint(uint64(v.Version), 10))
	_, _ = w.Write(v.Data)
}

func writeVersion(w http.ResponseWriter, version store.Version, err error) {
	if errors.Is(err, store.ErrUnclear) {
		panic(http.ErrAbortHandler)
	}
	if err != nil {
		w.WriteHeader(status(err))
		return
	}
	w.Header().Set("ETag", strconv.FormatUint(uint64(version), 10))
}

func writeJSON(w http.ResponseWriter, v any, err error) {
	if err != nil {
		w.WriteHeader(status(err))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func status(err error) int {
	switch {
	case errors.Is(err, store.ErrNotFound):
		return http.StatusNotFound
	case errors.Is(err, store.ErrConflict):
		return http.StatusPreconditionFailed
	case errors.Is(err, store.ErrUnchanged):
		return http.StatusNotModified
	}
	return http.StatusServiceUnavailable
}
