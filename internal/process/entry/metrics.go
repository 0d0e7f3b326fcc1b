package entry

// This file defines the metrics of an entry host.

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"tamaracktiller.example/tamaracktiller/internal/fleet/directory"
	"tamaracktiller.example/tamaracktiller/internal/process/logs"
	"tamaracktiller.example/tamaracktiller/internal/report/burn"
	"tamaracktiller.example/tamaracktiller/internal/traffic/entry"
)

type metrics struct {
	registry *prometheus.Registry
	requests *prometheus.CounterVec
	sends    prometheus.Counter
	latency  *prometheus.HistogramVec
	asked    *prometheus.CounterVec
	store    *prometheus.CounterVec
	waited   prometheus.Histogram
	burn     *burn.Meter
}

var _ entry.Observer = (*metrics)(nil)

// labelService is the label with the name of a service.
const labelService = "service"

// latencyBuckets covers objectives from 100 ms to several seconds, in seconds.
var latencyBuckets = []float64{.02, .05, .1, .2, .3, .4, .6, .8, 1.2, 2, 4, 8}

func newMetrics() *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(), burn: burn.NewMeter(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "tamarack_entry_requests_total", Help: "Client requests by outcome and status."}, []string{labelService, "outcome", "status"}),
		sends:    prometheus.NewCounter(prometheus.CounterOpts{Name: "tamarack_entry_sends_total", Help: "Sends to targets."}),
		latency:  prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "tamarack_entry_latency_seconds", Help: "Time to the final answer.", Buckets: latencyBuckets}, []string{labelService}),
		asked:    prometheus.NewCounterVec(prometheus.CounterOpts{Name: "tamarack_entry_questions_total", Help: "Questions to targets for their load."}, []string{labelService}),
		waited:   prometheus.NewHistogram(prometheus.HistogramOpts{Name: "tamarack_view_wait_seconds", Help: "Time that news of the store waited to be taken in.", Buckets: latencyBuckets}),
		store:    prometheus.NewCounterVec(prometheus.CounterOpts{Name: "tamarack_store_calls_total", Help: "Calls of the metadata store by operation."}, []string{"operation"}),
	}
	m.registry.MustRegister(m.requests, m.sends, m.latency, m.asked, m.store, m.waited)
	return m
}

func (m *metrics) watchLogs(a *logs.Async) {
	m.registry.MustRegister(prometheus.NewCounterFunc(
		prometheus.CounterOpts{Name: "tamarack_log_lines_dropped_total", Help: "Log lines that found the queue full."},
		func() float64 { return float64(a.Dropped()) }))
}

// watchDirectory shows what the host believes of the fleet.
func (m *metrics) watchDirectory(snapshot func() *directory.Snapshot, age func() time.Duration) {
	gauge := func(name, help string, value func() float64) {
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value))
	}
	gauge("tamarack_config_version", "Version of the configuration in force.", func() float64 {
		if t := snapshot().Table; t != nil {
			return float64(t.Config.Version)
		}
		return 0
	})
	gauge("tamarack_targets", "Targets that may get new work.", func() float64 {
		n := 0
		for _, list := range snapshot().Targets {
			n += len(list)
		}
		return float64(n)
	})
	gauge("tamarack_hosts", "Hosts with an entry in the store.", func() float64 { return float64(len(snapshot().Hosts)) })
	gauge("tamarack_store_age_seconds", "Time since the store was last heard, directly or through others.", func() float64 { return age().Seconds() })
}

// ViewWaited notes how long news of the store waited to be taken in.
func (m *metrics) ViewWaited(wait time.Duration) { m.waited.Observe(wait.Seconds()) }

// StoreCalled counts a call of the metadata store.
func (m *metrics) StoreCalled(operation string) { m.store.WithLabelValues(operation).Inc() }

// Finished implements entry.Observer.
func (m *metrics) Finished(o entry.Observation) {
	m.requests.WithLabelValues(o.Service, string(o.Outcome), strconv.Itoa(o.Status)).Inc()
	m.sends.Add(float64(o.Sends))
	m.latency.WithLabelValues(o.Service).Observe(o.Latency.Seconds())
	if fault, good, counts := rate(o); counts {
		m.burn.Add(time.Now(), burn.Sample{Service: o.Service, Weight: 1, Good: good, Fault: fault, Target: o.Target})
	}
}

// goodPerThousand is the share of good requests that a service promises. The
// platform's configuration names none; this is the share that operators' intents
// mostly name.
const goodPerThousand = 990

// rate tells whether a request counts for the burn, whether it was good, and what was
// wrong with it. What clients did wrong or gave up does not count.
func rate(o entry.Observation) (fault burn.Fault, good, counts bool) {
	switch o.Outcome {
	case entry.Served:
		if o.InTime {
			return "", true, true
		}
		return burn.Slow, false, true
	case entry.TargetFailed:
		return burn.Failed, false, true
	case entry.Refused:
		return burn.Refused, false, true
	case entry.Unknown:
		return burn.Unknown, false, true
	case entry.Denied, entry.ClientLeft:
	}
	return "", false, false
}

// serveBurn tells the burn of this host. The objectives of a service's routes differ,
// so that the report names no latency.
func (m *metrics) serveBurn(host string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(m.burn.Report(time.Now(), host, func(string) (burn.Objective, bool) {
			return burn.Objective{GoodPerThousand: goodPerThousand}, true
		}))
	}
}

// Asked implements entry.Observer.
func (m *metrics) Asked(service string) { m.asked.WithLabelValues(service).Inc() }
