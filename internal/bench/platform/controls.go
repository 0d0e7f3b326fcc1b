// Package platform serves a fake platform over HTTP: the store, and control endpoints for
// injecting faults and changing the list of hosts.
//
// # Usage
//
//	h := platform.Handler(platformtest.New(), platform.Config{HostLag: 5 * time.Second})
//	http.ListenAndServe("127.0.0.1:7500", h)
//
// The control endpoints are PUT /v1/faults with platformtest.Faults, PUT /v1/hosts with
// the list of hosts, GET /v1/hosts for the keys of the hosts, and GET /v1/calls for the
// number of store calls by operation.
package platform

// This file defines Handler, the store with its control endpoints.

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/go-chi/chi/v5"

	"tamaracktiller.example/tamaracktiller/internal/platform/store"
	"tamaracktiller.example/tamaracktiller/platform/platformtest"
)

// Config configures the fake platform.
type Config struct {
	// HostLag is the delay with which a change of the host list appears in the store. The
	// first list appears at once.
	HostLag time.Duration
}

// Handler returns a handler for the store and the control endpoints.
func Handler(s *platformtest.Store, cfg Config) http.Handler {
	r := chi.NewRouter()
	r.Put("/v1/faults", func(w http.ResponseWriter, r *http.Request) {
		var f platformtest.Faults
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.SetFaults(f)
	})
	r.Put("/v1/hosts", func(w http.ResponseWriter, r *http.Request) {
		var hosts []store.Host
		if err := json.NewDecoder(r.Body).Decode(&hosts); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if len(s.Keys(store.HostsPrefix)) == 0 {
			SetHosts(s, hosts)
			return
		}
		time.AfterFunc(cfg.HostLag, func() { SetHosts(s, hosts) })
	})
	r.Get("/v1/hosts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Keys(store.HostsPrefix)) })
	r.Get("/v1/calls", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.AllCalls()) })
	r.Handle("/*", s.Handler())
	return r
}

// SetHosts replaces the list of hosts in the store.
func SetHosts(s *platformtest.Store, hosts []store.Host) {
	keys := make([]string, 0, len(hosts))
	for _, h := range hosts {
		data, err := json.Marshal(h)
		if err != nil {
			panic("platform: cannot encode host: " + err.Error())
		}
		s.Put(store.HostsPrefix+h.Name, data)
		keys = append(keys, store.HostsPrefix+h.Name)
	}
	for _, key := range s.Keys(store.HostsPrefix) {
		if !slices.Contains(keys, key) {
			s.Delete(key)
		}
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
