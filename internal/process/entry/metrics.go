package entry

// This file defines the metrics of an entry host.

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"tamaracktiller.example/tamaracktiller/internal/account/quota"
	"tamaracktiller.example/tamaracktiller/internal/fleet/directory"
	"tamaracktiller.example/tamaracktiller/internal/intake/resource"
	"tamaracktiller.example/tamaracktiller/internal/process/logs"
	"tamaracktiller.example/tamaracktiller/internal/report/burn"
	"tamaracktiller.example/tamaracktiller/internal/traffic/dispatcher"
	"tamaracktiller.example/tamaracktiller/internal/traffic/entry"
)

type metrics struct {
	registry    *prometheus.Registry
	requests    *prometheus.CounterVec
	attempts    prometheus.Counter
	extra       *prometheus.CounterVec
	latency     *prometheus.HistogramVec
	tunnels     prometheus.Counter
	probes      *prometheus.CounterVec
	storeCalls  *prometheus.CounterVec
	charges     *prometheus.CounterVec
	exceeded    *prometheus.CounterVec
	refunds     prometheus.Counter
	credit      *prometheus.CounterVec
	updateDelay prometheus.Histogram
	burnRate    *burn.Meter
	keyRefusals *prometheus.CounterVec
	// intakeRefused and intakeEnded count what was refused, and whose connections were ended, because
	// clients made the host hold too much.
	intakeRefused *prometheus.CounterVec
	intakeEnded   *prometheus.CounterVec
}

var (
	_ entry.Observer = (*metrics)(nil)
	_ quota.Observer = (*metrics)(nil)
)

// labelService is the label for the name of a service.
const labelService = "service"

// latencyBuckets covers objectives from 100 ms to several seconds, in seconds.
var latencyBuckets = []float64{.02, .05, .1, .2, .3, .4, .6, .8, 1.2, 2, 4, 8}

func newMetrics() *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(), burnRate: burn.NewMeter(),
		requests:      prometheus.NewCounterVec(prometheus.CounterOpts{Name: "tamarack_entry_requests_total", Help: "Client requests by outcome and status."}, []string{labelService, "outcome", "status"}),
		attempts:      prometheus.NewCounter(prometheus.CounterOpts{Name: "tamarack_entry_sends_total", Help: "Attempts to send a request to a target."}),
		extra:         prometheus.NewCounterVec(prometheus.CounterOpts{Name: "tamarack_entry_extra_attempts_total", Help: "Retries and hedges that the retry budget permitted or not."}, []string{labelService, "kind", "permitted"}),
		latency:       prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "tamarack_entry_latency_seconds", Help: "Time to the final response.", Buckets: latencyBuckets}, []string{labelService}),
		tunnels:       prometheus.NewCounter(prometheus.CounterOpts{Name: "tamarack_tunnels_total", Help: "Connections to targets that were opened for other hosts."}),
		probes:        prometheus.NewCounterVec(prometheus.CounterOpts{Name: "tamarack_entry_questions_total", Help: "Load probes sent to targets, by cause."}, []string{labelService, "cause"}),
		keyRefusals:   prometheus.NewCounterVec(prometheus.CounterOpts{Name: "tamarack_entry_key_refusals_total", Help: "Requests refused because of the key of their client account, by reason."}, []string{"reason"}),
		updateDelay:   prometheus.NewHistogram(prometheus.HistogramOpts{Name: "tamarack_view_wait_seconds", Help: "Time that updates from the store waited to be applied.", Buckets: latencyBuckets}),
		storeCalls:    prometheus.NewCounterVec(prometheus.CounterOpts{Name: "tamarack_store_calls_total", Help: "Calls to the metadata store by operation."}, []string{"operation"}),
		intakeRefused: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "tamarack_intake_refused_total", Help: "Reservations, connections and tunnels refused because clients make the host hold too much, by kind."}, []string{"kind"}),
		intakeEnded:   prometheus.NewCounterVec(prometheus.CounterOpts{Name: "tamarack_intake_ended_total", Help: "Connections of clients that were ended because clients make the host hold too much, by phase."}, []string{"phase"}),
		charges:       prometheus.NewCounterVec(prometheus.CounterOpts{Name: "tamarack_quota_charges_total", Help: "Requests that were charged to a client account with a quota, or not, by result."}, []string{"result"}),
		exceeded:      prometheus.NewCounterVec(prometheus.CounterOpts{Name: "tamarack_quota_exceeded_total", Help: "Requests beyond the quota of their client account."}, []string{"account"}),
		refunds:       prometheus.NewCounter(prometheus.CounterOpts{Name: "tamarack_quota_refunds_total", Help: "Charged requests that have not run."}),
		credit:        prometheus.NewCounterVec(prometheus.CounterOpts{Name: "tamarack_quota_messages_total", Help: "Messages on credit from and to other hosts, by direction."}, []string{"direction"}),
	}
	m.registry.MustRegister(m.intakeRefused, m.intakeEnded, m.requests, m.attempts, m.extra, m.latency, m.tunnels, m.probes, m.storeCalls, m.updateDelay, m.charges, m.exceeded, m.refunds, m.credit, m.keyRefusals)
	return m
}

func (m *metrics) registerLogs(a *logs.Async) {
	m.registry.MustRegister(prometheus.NewCounterFunc(
		prometheus.CounterOpts{Name: "tamarack_log_lines_dropped_total", Help: "Log lines dropped because the queue was full."},
		func() float64 { return float64(a.Dropped()) }))
}

// registerDirectory registers gauges for the host's view of the fleet.
func (m *metrics) registerDirectory(snapshot func() *directory.Snapshot, age, soundAge func() time.Duration) {
	gauge := func(name, help string, value func() float64) {
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value))
	}
	gauge("tamarack_config_version", "Version of the active configuration.", func() float64 {
		if t := snapshot().Table; t != nil {
			return float64(t.Config.Version)
		}
		return 0
	})
	gauge("tamarack_config_defects", "Parts of the active configuration that cannot be applied.", func() float64 {
		if t := snapshot().Table; t != nil {
			return float64(len(t.Config.Defects))
		}
		return 0
	})
	gauge("tamarack_config_unreadable", "Whether the store holds a newer configuration that cannot be read.", func() float64 {
		if snapshot().ConfigUnreadable {
			return 1
		}
		return 0
	})
	gauge("tamarack_targets", "Targets that may get new requests.", func() float64 {
		n := 0
		for _, list := range snapshot().Targets {
			n += len(list)
		}
		return float64(n)
	})
	gauge("tamarack_evacuated_domains", "Failure domains that are evacuated, according to this host's view.", func() float64 { return float64(len(snapshot().Evacuated)) })
	gauge("tamarack_hosts", "Hosts with an entry in the store.", func() float64 { return float64(len(snapshot().Hosts)) })
	gauge("tamarack_accounts", "Client accounts of the active configuration.", func() float64 {
		accounts, _ := snapshot().Keys.Len()
		return float64(accounts)
	})
	gauge("tamarack_account_keys", "Keys of the client accounts of the active configuration.", func() float64 {
		_, keys := snapshot().Keys.Len()
		return float64(keys)
	})
	gauge("tamarack_store_sound_age_seconds", "Age of this host's view of the store, with the time in which machines were suspended.", func() float64 { return soundAge().Seconds() })
	gauge("tamarack_store_age_seconds", "Age of this host's view of the store.", func() float64 { return age().Seconds() })
}

// registerCrashes registers the gauge of blocked requests.
func (m *metrics) registerCrashes(blocked func() int) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(
		prometheus.GaugeOpts{Name: "tamarack_blocked_requests", Help: "Kinds of requests that are refused because targets that ran them crashed."},
		func() float64 { return float64(blocked()) }))
}

// registerQuotas registers the gauges of the credit host.
func (m *metrics) registerQuotas(status func() quota.Status) {
	gauge := func(name, help string, value func(quota.Status) float64) {
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, func() float64 { return value(status()) }))
	}
	gauge("tamarack_quota_share", "Part of the quotas of client accounts that this host issues, from 0 to 1.", func(s quota.Status) float64 { return s.Share })
	gauge("tamarack_quota_followers", "Hosts that follow this host as credit host, with itself.", func(s quota.Status) float64 { return float64(s.Followers) })
	gauge("tamarack_quota_following", "Whether this host follows a credit host.", func(s quota.Status) float64 {
		if s.Following {
			return 1
		}
		return 0
	})
}

// Charge implements quota.Observer.
func (m *metrics) Charge(account string, result quota.Result) {
	m.charges.WithLabelValues(string(result)).Inc()
	if result == quota.Exceeded {
		m.exceeded.WithLabelValues(account).Inc()
	}
}

// Refund implements quota.Observer.
func (m *metrics) Refund(string) { m.refunds.Inc() }

// CreditMessage implements quota.Observer.
func (m *metrics) CreditMessage(sent bool) {
	direction := "received"
	if sent {
		direction = "sent"
	}
	m.credit.WithLabelValues(direction).Inc()
}

// registerReachability registers the gauge that tells whether this host has lost its links to
// the targets.
func (m *metrics) registerReachability(cutOff func() bool) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "tamarack_cut_off", Help: "Whether this host reaches targets only through other hosts."}, func() float64 {
		if cutOff() {
			return 1
		}
		return 0
	}))
}

// registerIntake registers gauges for what clients make the host hold.
func (m *metrics) registerIntake(b *resource.Budget) {
	gauge := func(name, help string, value func() float64) {
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value))
	}
	gauge("tamarack_intake_held_bytes", "Bytes that clients and tunnels make the host hold.", func() float64 { return float64(b.Usage().Held) })
	gauge("tamarack_intake_queued_bytes", "Bytes in the buffers of the sockets of clients, as last measured; 0 while they cannot exceed the limit.", func() float64 { return float64(b.Usage().Queued) })
	gauge("tamarack_intake_limit_bytes", "Limit of the bytes that clients and tunnels make the host hold; 0 for none.", func() float64 { return float64(b.Limits().Bytes) })
	gauge("tamarack_intake_connections", "Open connections of clients.", func() float64 { return float64(b.Usage().Connections) })
	gauge("tamarack_intake_connections_limit", "Limit of the open connections of clients; 0 for none.", func() float64 { return float64(b.Limits().Connections) })
	gauge("tamarack_intake_tunnels", "Open tunnels of other hosts.", func() float64 { return float64(b.Usage().Tunnels) })
}

// CountIntakeRefusal counts a refused reservation, connection or tunnel.
func (m *metrics) CountIntakeRefusal(kind string) { m.intakeRefused.WithLabelValues(kind).Inc() }

// CountIntakeEnded counts connections that were ended.
func (m *metrics) CountIntakeEnded(phase string, n int) {
	m.intakeEnded.WithLabelValues(phase).Add(float64(n))
}

// CountTunnel counts a connection to a target that was opened for another host.
func (m *metrics) CountTunnel() { m.tunnels.Inc() }

// targetCollector exports a gauge for each target, or other value of its label, that has a value.
type targetCollector struct {
	values      func() map[string]float64
	description *prometheus.Desc
}

var _ prometheus.Collector = (*targetCollector)(nil)

// registerTargets registers a gauge with a value for some targets.
func (m *metrics) registerTargets(name, help string, values func() map[string]float64) {
	m.registerByLabel(name, help, "target", values)
}

// registerByLabel registers a gauge with a value for some values of a label.
func (m *metrics) registerByLabel(name, help, label string, values func() map[string]float64) {
	m.registry.MustRegister(&targetCollector{values: values, description: prometheus.NewDesc(name, help, []string{label}, nil)})
}

// registerDispatcher registers the gauges of what targets say of themselves: those that name a
// rate limit, leave, or want no requests of this host.
func (m *metrics) registerDispatcher(d *dispatcher.Dispatcher) {
	m.registerTargets("tamarack_target_limit_per_second", "Requests a second that a target takes from all hosts together.", d.Limits)
	m.registerTargets("tamarack_target_leaving", "1 for each target that has said that it leaves.", func() map[string]float64 {
		leaving := map[string]float64{}
		for _, target := range d.Departures() {
			leaving[target] = 1
		}
		return leaving
	})
	m.registerByLabel("tamarack_targets_withheld", "Targets that get less than usual from this host, by the reason.", "reason", func() map[string]float64 {
		counts := map[string]float64{}
		for reason, n := range d.WithheldTargets() {
			counts[string(reason)] = float64(n)
		}
		return counts
	})
	m.registerTargets("tamarack_target_pause_seconds", "Time for which a target wants no requests of this host.", func() map[string]float64 {
		seconds := map[string]float64{}
		for target, left := range d.Pauses() {
			seconds[target] = left.Seconds()
		}
		return seconds
	})
}

// Describe implements prometheus.Collector.
func (c *targetCollector) Describe(out chan<- *prometheus.Desc) { out <- c.description }

// Collect implements prometheus.Collector.
func (c *targetCollector) Collect(out chan<- prometheus.Metric) {
	for target, value := range c.values() {
		out <- prometheus.MustNewConstMetric(c.description, prometheus.GaugeValue, value, target)
	}
}

// ObserveUpdateDelay records how long an update from the store waited to be applied.
func (m *metrics) ObserveUpdateDelay(wait time.Duration) { m.updateDelay.Observe(wait.Seconds()) }

// CountStoreCall counts a call to the metadata store.
func (m *metrics) CountStoreCall(operation string) { m.storeCalls.WithLabelValues(operation).Inc() }

// Finished implements entry.Observer.
func (m *metrics) Finished(o entry.Observation) {
	m.requests.WithLabelValues(o.Service, string(o.Outcome), strconv.Itoa(o.Status)).Inc()
	m.attempts.Add(float64(o.Attempts))
	if o.KeyRefusal != "" {
		m.keyRefusals.WithLabelValues(string(o.KeyRefusal)).Inc()
	}
	m.latency.WithLabelValues(o.Service).Observe(o.Latency.Seconds())
	if fault, good, counts := classify(o); counts {
		m.burnRate.Add(time.Now(), burn.Sample{Service: o.Service, Weight: 1, Good: good, Fault: fault, Target: o.Target})
	}
}

// ExtraAttempt implements entry.Observer.
func (m *metrics) ExtraAttempt(service string, kind entry.ExtraAttempt, permitted bool) {
	m.extra.WithLabelValues(service, string(kind), strconv.FormatBool(permitted)).Inc()
}

// goodPerThousand is the objective of a service: the share of good requests. The
// platform's configuration has no such objective; this is the share that most
// operators' intents set.
const goodPerThousand = 990

// classify reports whether a request counts towards the error budget, whether it was good,
// and otherwise its fault. Client errors and requests given up by the client don't count.
func classify(o entry.Observation) (fault burn.Fault, good, counts bool) {
	switch o.Outcome {
	case entry.Served:
		if o.MetObjective {
			return "", true, true
		}
		return burn.Slow, false, true
	case entry.TargetFailed:
		return burn.Failed, false, true
	case entry.Refused:
		if o.RateLimited {
			return burn.Limited, false, true
		}
		return burn.Refused, false, true
	case entry.Unknown:
		return burn.Unknown, false, true
	case entry.Denied, entry.ClientDisconnected:
	}
	return "", false, false
}

// serveBurn serves the burn rate report of this host. The report has no latency objective,
// because the routes of a service have different ones.
func (m *metrics) serveBurn(host string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(m.burnRate.Report(time.Now(), host, func(string) (burn.Objective, bool) {
			return burn.Objective{GoodPerThousand: goodPerThousand}, true
		}))
	}
}

// CountProbe counts a load probe sent to a target of the service.
func (m *metrics) CountProbe(service string, cause dispatcher.ProbeCause) {
	m.probes.WithLabelValues(service, string(cause)).Inc()
}
