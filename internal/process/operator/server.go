// Package operator implements the HTTPS API for the operators' commands: intents, plans,
// confirmations, status and reports.
//
// Operators authenticate with a secret; their permissions follow from their partner. Every
// confirmation is logged, and every rejected request except one with an oversized intent.
//
// # Usage
//
//	s := operator.NewServer(cfg)
//	http.Server{Handler: s.Handler(), TLSConfig: ...}
package operator

// This file defines Server, the HTTP handlers for operators.

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"tamaracktiller.example/tamaracktiller/internal/contract/catalog"
	"tamaracktiller.example/tamaracktiller/internal/contract/confirmation"
	"tamaracktiller.example/tamaracktiller/internal/contract/document"
	"tamaracktiller.example/tamaracktiller/internal/fleet/controller"
	"tamaracktiller.example/tamaracktiller/internal/process/settings"
	"tamaracktiller.example/tamaracktiller/internal/report/burn"
)

// Peers collects data from all balancers of the fleet.
type Peers interface {
	// Status returns the status of every host in the view of the fleet.
	Status(ctx context.Context) []HostStatus
	// Report returns the error-budget burn of all hosts, merged.
	Report(ctx context.Context) burn.Report
}

// HostStatus is the status of one balancer.
type HostStatus struct {
	Host     string `json:"host"`
	Domain   string `json:"domain"`
	Revision uint64 `json:"revision"`
	// ActiveSince is the time at which the host activated its configuration, in RFC 3339
	// format. It is empty while the host has no configuration.
	ActiveSince string `json:"in-force-since,omitempty"`
	Ready       bool   `json:"ready"`
	// NotReadyReason is the reason why the host is not ready.
	NotReadyReason string `json:"why,omitempty"`
	// Error is the reason why the status of the host could not be obtained.
	Error string `json:"error,omitempty"`
}

// Status is the response to a status request.
type Status struct {
	Revision uint64                 `json:"revision"`
	Hosts    []HostStatus           `json:"hosts"`
	Services []catalog.Service      `json:"services"`
	Pools    []catalog.Pool         `json:"pools"`
	History  []catalog.Confirmation `json:"history"`
	Draining []string               `json:"draining-targets"`
}

// Failure is the JSON body of an error response.
type Failure struct {
	Kind         string `json:"kind"`
	Error        string `json:"error"`
	FreshPlan    string `json:"fresh-plan,omitempty"`
	RetryAfterMS int64  `json:"retry-after-ms,omitempty"`
}

// Kinds of failures. The command line maps them to exit codes.
const (
	KindInvalid      = "invalid"
	KindForbidden    = "forbidden"
	KindUnknownPlan  = "unknown-plan"
	KindStale        = "stale"
	KindNotShown     = "not-shown"
	KindTooManyPlans = "too-many-plans"
	KindUnavailable  = "unavailable"
	KindUndecided    = "undecided"
)

// Config holds the dependencies of a server.
type Config struct {
	Operators     []settings.Operator
	Confirmations *confirmation.Service
	Snapshot      func() *controller.Snapshot
	Peers         Peers
	Log           *logrus.Entry
}

// Server handles the requests of operators.
type Server struct{ cfg Config }

// NewServer returns a server.
func NewServer(cfg Config) *Server { return &Server{cfg: cfg} }

// operatorKey is the context key of the authenticated confirmation.Operator.
type operatorKey struct{}

// Handler returns the HTTP handler of all routes.
func (s *Server) Handler() http.Handler {
	r := chi.NewRouter()
	r.Use(s.authenticate)
	r.Post("/v1/intents", s.declare)
	r.Get("/v1/plans", s.plans)
	r.Get("/v1/plans/{id}", s.show)
	r.Post("/v1/plans/{id}/shown", s.markShown)
	r.Post("/v1/plans/{id}/confirm", s.confirm)
	r.Get("/v1/status", s.status)
	r.Get("/v1/report", s.report)
	return r
}

// authenticate rejects requests without the credentials of a known operator. It compares
// the digest of the secret with those of all operators in constant time, so the duration
// does not reveal whether the name is known.
func (s *Server) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		name, secret, _ := r.BasicAuth()
		digest := sha256.Sum256([]byte(secret))
		var found *settings.Operator
		for i := range s.cfg.Operators {
			o := &s.cfg.Operators[i]
			digestMatches := subtle.ConstantTimeCompare(o.Digest[:], digest[:]) == 1
			if digestMatches && name == o.Partner+"/"+o.Name {
				found = o
			}
		}
		if found == nil {
			s.cfg.Log.WithFields(logrus.Fields{"operator": name, "from": r.RemoteAddr}).Warn("operator refused")
			writeFailure(w, http.StatusUnauthorized, Failure{Kind: KindForbidden, Error: "unknown operator or wrong secret"})
			return
		}
		op := confirmation.Operator{Partner: catalog.Partner(found.Partner), Name: found.Name}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), operatorKey{}, op)))
	})
}

// operatorOf returns the operator that authenticate stored in the request's context.
func operatorOf(r *http.Request) confirmation.Operator {
	op, _ := r.Context().Value(operatorKey{}).(confirmation.Operator)
	return op
}

func (s *Server) declare(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, catalog.MaxIntentBytes+1))
	if err != nil {
		writeFailure(w, http.StatusRequestEntityTooLarge, Failure{Kind: KindInvalid, Error: "the intent is too large"})
		return
	}
	in, err := catalog.ParseIntent("intent", data)
	if err != nil {
		s.writeError(w, r, "intent refused", err)
		return
	}
	p, err := s.cfg.Confirmations.Declare(r.Context(), operatorOf(r), in)
	if err != nil {
		s.writeError(w, r, "intent refused", err)
		return
	}
	s.log(r).WithField("plan", p.ID).Info("plan made")
	writeJSON(w, p)
}

func (s *Server) plans(w http.ResponseWriter, r *http.Request) {
	plans, err := s.cfg.Confirmations.Plans(r.Context(), operatorOf(r))
	if err != nil {
		s.writeError(w, r, "plans refused", err)
		return
	}
	writeJSON(w, plans)
}

func (s *Server) show(w http.ResponseWriter, r *http.Request) {
	p, err := s.cfg.Confirmations.Show(r.Context(), operatorOf(r), chi.URLParam(r, "id"))
	if err != nil {
		s.writeError(w, r, "plan refused", err)
		return
	}
	writeJSON(w, p)
}

func (s *Server) markShown(w http.ResponseWriter, r *http.Request) {
	id := chi.URLParam(r, "id")
	if err := s.cfg.Confirmations.MarkShown(r.Context(), operatorOf(r), id); err != nil {
		s.writeError(w, r, "record refused", err)
		return
	}
	s.log(r).WithField("plan", id).Info("plan shown")
	writeJSON(w, struct{}{})
}

func (s *Server) confirm(w http.ResponseWriter, r *http.Request) {
	id := chi.URLParam(r, "id")
	conf, err := s.cfg.Confirmations.Confirm(r.Context(), operatorOf(r), id)
	if err != nil {
		s.writeError(w, r, "confirmation refused", err)
		return
	}
	s.log(r).WithFields(logrus.Fields{"plan": id, "revision": conf.Revision, "reason": conf.Reason}).Info("plan confirmed")
	writeJSON(w, conf)
}

func (s *Server) status(w http.ResponseWriter, r *http.Request) {
	snapshot := s.cfg.Snapshot()
	status := Status{Revision: snapshot.Head.Revision, Hosts: s.cfg.Peers.Status(r.Context()), History: snapshot.Head.History}
	for _, d := range snapshot.Catalog.Documents() {
		if d.IsPool {
			status.Pools = append(status.Pools, snapshot.Catalog.Pools[d.Name])
		} else {
			status.Services = append(status.Services, snapshot.Catalog.Services[d.Name])
		}
	}
	for target := range snapshot.DrainingTargets {
		status.Draining = append(status.Draining, target)
	}
	writeJSON(w, status)
}

func (s *Server) report(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, s.cfg.Peers.Report(r.Context()))
}

// log returns a log entry with the operator of the request.
func (s *Server) log(r *http.Request) *logrus.Entry {
	op := operatorOf(r)
	return s.cfg.Log.WithFields(logrus.Fields{"partner": op.Partner, "operator": op.Name})
}

// writeError logs err with the message msg and writes an error response.
func (s *Server) writeError(w http.ResponseWriter, r *http.Request, msg string, err error) {
	status, f := failureOf(err)
	s.log(r).WithField("kind", f.Kind).WithError(err).Warn(msg)
	writeFailure(w, status, f)
}

// failureOf maps an error to its HTTP status and Failure.
func failureOf(err error) (int, Failure) {
	f := Failure{Error: err.Error()}
	var (
		stale       *confirmation.StaleError
		notShown    *confirmation.NotShownError
		unavailable *confirmation.UnavailableError
		unknown     *confirmation.OutcomeUnknownError
		field       *catalog.FieldError
		doc         *document.Error
	)
	switch {
	case errors.As(err, &stale):
		f.Kind = KindStale
		if stale.NewPlan != nil {
			f.FreshPlan = stale.NewPlan.ID
		}
		return http.StatusConflict, f
	case errors.As(err, &notShown):
		f.Kind = KindNotShown
		return http.StatusConflict, f
	case errors.As(err, &unavailable):
		f.Kind, f.RetryAfterMS = KindUnavailable, unavailable.RetryAfter.Milliseconds()
		return http.StatusServiceUnavailable, f
	case errors.As(err, &unknown):
		f.Kind = KindUndecided
		return http.StatusGatewayTimeout, f
	case errors.Is(err, confirmation.ErrUnknownPlan):
		f.Kind = KindUnknownPlan
		return http.StatusNotFound, f
	case errors.Is(err, confirmation.ErrForbidden):
		f.Kind = KindForbidden
		return http.StatusForbidden, f
	case errors.Is(err, confirmation.ErrTooManyPlans):
		f.Kind = KindTooManyPlans
		return http.StatusTooManyRequests, f
	case errors.As(err, &field), errors.As(err, &doc):
		f.Kind = KindInvalid
		return http.StatusUnprocessableEntity, f
	}
	f.Kind = KindUnavailable
	return http.StatusInternalServerError, f
}

// writeFailure writes f as an error response.
func writeFailure(w http.ResponseWriter, status int, f Failure) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(f)
}

// writeJSON writes v as a successful response.
func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// StatusOf returns the status of the local host.
func StatusOf(s *controller.Snapshot) HostStatus {
	status := HostStatus{Host: s.Self.Name, Domain: s.Self.Domain, Revision: s.Head.Revision, Ready: s.Ready, NotReadyReason: s.NotReadyReason}
	if !s.ActiveSince.IsZero() {
		status.ActiveSince = s.ActiveSince.UTC().Format(time.RFC3339Nano)
	}
	return status
}

// ParseOperator splits text of the form partner/name.
func ParseOperator(text string) (partner, name string, err error) {
	partner, name, ok := strings.Cut(text, "/")
	if !ok || partner == "" || name == "" {
		return "", "", errors.Errorf("operator: want partner/name, got %q", text)
	}
	return partner, name, nil
}
