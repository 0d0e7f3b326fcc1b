package dispatcher

// This file defines how a dispatcher learns of the rate limits of targets.

import (
	"time"

	"github.com/sirupsen/logrus"

	"tamaracktiller.example/tamaracktiller/internal/traffic/ratelimit"
)

// observeLimit records what a response says about the rate limit of its target. The caller
// holds the mutex.
func (d *Dispatcher) observeLimit(now time.Time, id string, o ratelimit.Observation) {
	change := d.limits.Observe(now, id, o)
	if change == ratelimit.Unchanged {
		return
	}
	d.cfg.Log.WithFields(logrus.Fields{
		"target": id, "change": change.String(), "limit-per-second": o.PerSecond, "source": string(o.Source), "age-ms": now.Sub(o.SentAt).Milliseconds(),
	}).Info("rate limit of a target")
}

// Limits returns the rate limits that targets name, in requests a second, by target.
func (d *Dispatcher) Limits() map[string]float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.limits.Named()
}
