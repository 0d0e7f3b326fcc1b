package balancer

// This file defines the metrics of a balancer and the observer that updates them.

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"tamaracktiller.example/tamaracktiller/internal/fleet/controller"
	"tamaracktiller.example/tamaracktiller/internal/report/burn"
	"tamaracktiller.example/tamaracktiller/internal/traffic/call"
	"tamaracktiller.example/tamaracktiller/internal/traffic/gateway"
	"tamaracktiller.example/tamaracktiller/internal/traffic/job"
	"tamaracktiller.example/tamaracktiller/internal/traffic/ledger"
)

// metrics holds the Prometheus collectors of a balancer.
type metrics struct {
	registry     *prometheus.Registry
	calls        *prometheus.CounterVec
	latency      *prometheus.HistogramVec
	storeCalls   *prometheus.CounterVec
	linkBytes    *prometheus.CounterVec
	linkMessages *prometheus.CounterVec
	revision     prometheus.Gauge
	offers       prometheus.Counter
}

func newMetrics() *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tamarack_calls_total", Help: "Finished calls by service, kind and outcome.",
		}, []string{"service", "kind", "outcome"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "tamarack_call_seconds", Help: "Time from the request to the response header.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 16),
		}, []string{"service"}),
		storeCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tamarack_store_calls_total", Help: "Calls to the platform's store by operation.",
		}, []string{"operation"}),
		linkBytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tamarack_link_bytes_total", Help: "Size of the frames on links, in bytes, by direction.",
		}, []string{"direction"}),
		linkMessages: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tamarack_link_messages_total", Help: "Frames on links by direction.",
		}, []string{"direction"}),
		revision: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "tamarack_revision", Help: "Revision of the active configuration.",
		}),
	}
	m.offers = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "tamarack_offers_total", Help: "Messages that offer free slots to other cells.",
	})
	m.registry.MustRegister(m.offers, m.calls, m.latency, m.storeCalls, m.linkBytes, m.linkMessages, m.revision,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

// registerLedger registers gauges for the keys and responses that the ledger holds.
func (m *metrics) registerLedger(s *ledger.Service) {
	m.registry.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "tamarack_ledger_keys", Help: "Idempotency keys held as owner or witness.",
		}, func() float64 {
			keys, _ := s.Usage()
			return float64(keys)
		}),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "tamarack_ledger_answer_bytes", Help: "Size of the responses kept for repeated requests, in bytes.",
		}, func() float64 {
			_, responseBytes := s.Usage()
			return float64(responseBytes)
		}),
	)
}

// registerJobs registers gauges for the backlog of deferrable work.
func (m *metrics) registerJobs(s *job.Service) {
	states := map[string]func(job.Backlog) int{
		"waiting": func(b job.Backlog) int { return b.Waiting },
		"overdue": func(b job.Backlog) int { return b.Overdue },
		"failing": func(b job.Backlog) int { return b.Failing },
	}
	for state, count := range states {
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "tamarack_jobs", Help: "Deferrable jobs by state, as seen by the hosts that watch the store.",
			ConstLabels: prometheus.Labels{"state": state},
		}, func() float64 { return float64(count(s.Backlog())) }))
	}
}

// observer records finished calls in the metrics and in the burn meter.
type observer struct {
	metrics  *metrics
	meter    *burn.Meter
	snapshot func() *controller.Snapshot
}

// Finished implements gateway.Observer.
func (o *observer) Finished(c gateway.Observation) {
	o.metrics.calls.WithLabelValues(c.Service, c.Kind, string(c.Outcome)).Inc()
	o.metrics.latency.WithLabelValues(c.Service).Observe(c.Latency.Seconds())
	objective := o.snapshot().Catalog.Services[c.Service].Objective
	s := burn.Sample{Service: c.Service, Partner: c.Partner, Weight: c.Weight, Target: c.Target, Domain: c.Domain}
	s.Fault, s.Good = classify(c, objective.Latency.Std())
	o.meter.Add(time.Now(), s)
}

// classify returns whether a call met the service's objective and, if not, the kind of fault.
func classify(c gateway.Observation, latency time.Duration) (burn.Fault, bool) {
	switch {
	case c.Outcome == call.OutcomeNotRun:
		return burn.Refused, false
	case c.Outcome == call.OutcomeUnknown:
		return burn.Unknown, false
	case c.Status >= http.StatusInternalServerError:
		return burn.Failed, false
	case c.Latency > latency:
		return burn.Slow, false
	}
	return "", true
}
