package dispatcher

// This file defines how dispatchers treat cold targets: those that have just started and take few
// requests a second. The rates are shared like rate limits (limit.go), so that a host which is not one
// of the first two of a cell's ranking sends nothing to cold targets.
//
// All hosts learn from the view which targets may be cold. The first host of the ranking probes those
// of which it is not known whether they are, as soon as it learns of them, since they count as cold
// until they have responded. An entry host returns the grant of a target that has just said that it is
// cold if the dispatcher does not know that yet.

import (
	"context"
	"maps"
	"time"

	"github.com/sirupsen/logrus"

	"tamaracktiller.example/tamaracktiller/internal/contract/routing"
	"tamaracktiller.example/tamaracktiller/internal/fleet/directory"
	"tamaracktiller.example/tamaracktiller/internal/fleet/roster"
	"tamaracktiller.example/tamaracktiller/internal/traffic/eligibility"
	"tamaracktiller.example/tamaracktiller/internal/traffic/placement"
	"tamaracktiller.example/tamaracktiller/internal/traffic/queue"
	"tamaracktiller.example/tamaracktiller/internal/traffic/ratelimit"
)

const (
	// maxEarlyProbes bounds the probes that a host sends at a time, without a request, to targets of
	// which it is not known whether they are cold. With the period of Tick these are 120 a second,
	// which is a quarter of what the smallest hosts can do.
	maxEarlyProbes = 12
	// coldNewsTime is the time for which an entry host that has learned that a target is cold trusts
	// that more than the grant of a dispatcher. After that the dispatcher knows the same, or better.
	coldNewsTime = 2 * time.Second
	// coldLogPeriod is the minimum time between two log lines about the cold time of a target.
	coldLogPeriod = time.Second
)

// coldNotice is the part of a message about cold targets.
type coldNotice struct {
	// Cold is what the response of an attempt says of the target, in the report of its outcome.
	Cold ratelimit.Cold `cbor:"1,keyasint,omitzero"`
	// Restricted is set in a grant that took a token of a target with a restricted rate.
	Restricted bool `cbor:"2,keyasint,omitempty"`
}

// entryMark is what the view said last of the cold time of a target.
type entryMark struct {
	appliedAt, unknownSince time.Time
}

// coldLog is the last log line about the cold time of a target.
type coldLog struct {
	at   time.Time
	cold bool
}

// coldTracker is the state of a dispatcher for cold targets. The zero value is empty.
type coldTracker struct {
	// marks holds what the view said last, by target, and rates the rates of cold targets by service.
	marks  map[string]entryMark
	rates  map[string]float64
	logged map[string]coldLog
}

// serviceConfig returns the configuration of a service; the zero value if it is not known.
func serviceConfig(s *directory.Snapshot, name string) routing.Service {
	if s.Table == nil {
		return routing.Service{}
	}
	return s.Table.Config.Services[name]
}

// coldRates returns the rates of cold targets by service; nil if there are none.
func coldRates(s *directory.Snapshot) map[string]placement.ColdRate {
	var rates map[string]placement.ColdRate
	for service := range s.Targets {
		config := serviceConfig(s, service)
		if config.ColdPerSecond <= 0 {
			continue
		}
		if rates == nil {
			rates = map[string]placement.ColdRate{}
		}
		rates[service] = placement.ColdRate{PerSecond: config.ColdPerSecond, Time: config.ColdTime}
	}
	return rates
}

// updateCold applies what a snapshot says of cold targets. The caller holds the mutex.
func (d *Dispatcher) updateCold(now time.Time, s *directory.Snapshot) {
	count := 0
	for service, list := range s.Targets {
		config := serviceConfig(s, service)
		if rate := max(0, config.ColdPerSecond); d.cold.rates[service] != rate {
			d.setColdRate(now, service, rate, list)
		}
		if config.ColdPerSecond > 0 {
			count += len(list)
			d.updateColdService(now, config, list)
		}
	}
	if len(d.cold.marks) > count {
		// A target that is not in the snapshot has a new mark when it is back.
		maps.DeleteFunc(d.cold.marks, func(id string, _ entryMark) bool { return !d.chooser.LimitsCold(id) })
	}
}

// setColdRate applies a changed rate of the cold targets of a service.
func (d *Dispatcher) setColdRate(now time.Time, service string, perSecond float64, list []roster.ActiveTarget) {
	if d.cold.rates == nil {
		d.cold.rates, d.cold.marks = map[string]float64{}, map[string]entryMark{}
	}
	d.cold.rates[service] = perSecond
	for _, t := range list {
		d.limits.SetColdRate(now, t.ID, perSecond)
	}
}

// updateColdService applies the entries of the targets of a service.
func (d *Dispatcher) updateColdService(now time.Time, config routing.Service, list []roster.ActiveTarget) {
	unknown := 0
	for _, t := range list {
		old, mark := d.cold.marks[t.ID], entryMark{appliedAt: t.AppliedAt(), unknownSince: t.UnknownSince}
		if old == mark {
			continue
		}
		d.cold.marks[t.ID] = mark
		d.chooser.ObserveColdEntry(now, t.ID, ratelimit.ColdEntry{
			PerSecond: config.ColdPerSecond, ColdTime: config.ColdTime, Left: t.ColdTime, AppliedAt: t.AppliedAt(),
			UnknownSince: t.UnknownSince, Renewed: !old.unknownSince.Equal(t.UnknownSince),
		})
		if d.limits.ColdUnknown(now, t.ID) {
			unknown++
		}
		d.logCold(now, t.ID, "entry")
	}
	if unknown > 0 {
		d.cfg.Log.WithFields(logrus.Fields{"service": config.Name, "targets": unknown, "rate-per-second": config.ColdPerSecond}).Info("targets count as cold until they say otherwise")
	}
}

// observeCold applies what a response to a request that was sent at a time says of the cold time of its
// target. The caller holds the mutex.
func (d *Dispatcher) observeCold(now time.Time, id string, o ratelimit.Cold, sentAt time.Time, source ratelimit.Source) {
	if !o.Known {
		return
	}
	d.chooser.ObserveCold(now, id, o, sentAt)
	d.logCold(now, id, string(source))
}

// logCold logs that a target has become cold, or is not cold any more. The caller holds the mutex.
func (d *Dispatcher) logCold(now time.Time, id, source string) {
	perSecond, known, isCold := d.limits.Cold(now, id)
	isCold = isCold && known
	last := d.cold.logged[id]
	if last.cold == isCold || now.Sub(last.at) < coldLogPeriod {
		return
	}
	if d.cold.logged == nil {
		d.cold.logged = map[string]coldLog{}
	}
	d.cold.logged[id] = coldLog{at: now, cold: isCold}
	fields := logrus.Fields{fieldTarget: id, fieldSource: source}
	if isCold {
		fields["rate-per-second"] = perSecond
		d.cfg.Log.WithFields(fields).Info("target is cold")
		return
	}
	delete(d.cold.logged, id)
	d.cfg.Log.WithFields(fields).Info("target is not cold any more")
}

// checkCold probes targets of which it is not known whether they are cold, in the cells that this host
// dispatches, and logs the ends of cold times. The caller holds the mutex.
func (d *Dispatcher) checkCold(now time.Time) {
	if len(d.cold.marks) == 0 {
		return
	}
	for id := range d.cold.logged {
		d.logCold(now, id, "time")
	}
	left := maxEarlyProbes
	for _, c := range d.cells {
		if !c.limitsCold || c.targets == 0 || !c.dispatchedBy(d.cfg.Self) {
			continue
		}
		oldView := d.expireColdEvidence(now, c)
		if !d.limits.Empty() {
			// Without a share the cell would seem to be fully used, and get no requests that renew it.
			d.chooser.SetLimitShare(now, c.id.key, d.limitShare(now, c))
		}
		ids := d.withinProbeBudget(c, ForCold, d.chooser.ColdCandidates(now, c.id.key, left, oldView))
		left -= len(ids)
		if len(ids) > 0 {
			d.g.Go("probe cold targets", func(ctx context.Context) error {
				d.probe(ctx, c, ids, func() bool { return false })
				d.mu.Lock()
				defer d.mu.Unlock()
				d.dispatchQueue(time.Now(), c)
				return nil
			})
		}
	}
}

// coldRetryAfter returns the retry delay of a rejected request. It is short if this host may not use cold
// targets at all, since another host may.
func coldRetryAfter(c queue.Capacity, retryAfter time.Duration) time.Duration {
	if c.Flow.Cold && c.Flow.PerSecond <= 0 {
		return min(retryAfter, noTargetsRetryAfter)
	}
	return retryAfter
}

// expireColdEvidence makes the targets of a cell that have not been heard for some time count as cold
// while the view is old, and reports whether it is. The caller holds the mutex.
func (d *Dispatcher) expireColdEvidence(now time.Time, c *cell) (oldView bool) {
	if !c.limitsCold || d.cfg.Fresh == nil || d.cfg.Fresh(now) {
		return false
	}
	d.chooser.ExpireColdEvidence(now, c.id.key)
	return true
}

// isColdNews reports whether this host has just learned that the target of a grant is cold, and the
// dispatcher that made the grant does not know that. The caller holds the mutex.
func (d *Dispatcher) isColdNews(now time.Time, g Grant) bool {
	if g.dispatchedBy == "" || g.Restricted || d.limits.Empty() {
		return false
	}
	heardAt, ok := d.limits.ColdHeardAt(now, g.ID)
	return ok && now.Sub(heardAt) < coldNewsTime
}

// isSilent reports whether nothing was heard for a while from the host that sent a request. It may be
// frozen, and would send the requests that it is granted all at once when it goes on. The caller holds
// the mutex.
func (d *Dispatcher) isSilent(now time.Time, w *waiter) bool {
	return w.address.IsValid() && now.Sub(d.lastReceived[w.address]) > hostTimeout
}

// WithheldTargets returns the number of targets that get less than usual from this host, by reason.
func (d *Dispatcher) WithheldTargets() map[eligibility.Reason]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.chooser.Verdicts(time.Now())
}
