package dispatcher

// This file defines how dispatchers keep to the rate limits that targets name for all hosts
// together.
//
// Only the first two hosts of a cell's ranking use the limits of its targets: the first one
// in full, the second one in part, for requests of hosts that cannot reach the first. Views of
// the fleet differ for a moment, so a host uses limits in full only after it has been the
// first for rankSettleTime, and in part after it has been one of the first two for so long.
// That time exceeds the age up to which a view counts as up to date: by then the host that
// held the rank before knows of the change, or knows that its view is old and uses only a
// part. So at most one host uses the full limit, and two together stay below the tolerance
// of targets.

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"tamaracktiller.example/tamaracktiller/internal/traffic/queue"
	"tamaracktiller.example/tamaracktiller/internal/traffic/ratelimit"
)

const (
	// rankSettleTime is the time for which a host holds its rank in a cell before it uses
	// the rate limits of targets accordingly.
	rankSettleTime = 2500 * time.Millisecond
	// standbyShare is the share of a limit that a host uses which may not be the only one:
	// the second host of the ranking, and the first one at first and while its view is old.
	standbyShare = 0.4
	// unranked is the rank of a host that is not in the ranking.
	unranked = -1
	// fieldLimit is the log field of a rate limit, in requests a second.
	fieldLimit = "limit-per-second"
	// maxAnnouncedLimits bounds the rate limits in one message, so that it fits in a datagram.
	maxAnnouncedLimits = 12
)

// setRank sets the position of this host in the ranking.
func (c *cell) setRank(now time.Time, rank int) {
	if c.rank == rank {
		return
	}
	if !c.isTop() {
		c.topSince = now
	}
	c.rank, c.rankSince = rank, now
}

// isTop reports whether this host is one of the first two of the ranking.
func (c *cell) isTop() bool { return c.rank == 0 || c.rank == 1 }

// limitShare returns the part of the rate limits of a cell's targets that this host may use.
// The caller holds the mutex.
func (d *Dispatcher) limitShare(now time.Time, c *cell) float64 {
	fresh := d.cfg.Fresh == nil || d.cfg.Fresh(now)
	settledFirst := c.rank == 0 && now.Sub(c.rankSince) >= rankSettleTime
	settledTop := c.isTop() && now.Sub(c.topSince) >= rankSettleTime
	switch {
	case settledFirst && fresh:
		return 1
	case settledFirst, settledTop && fresh:
		return standbyShare
	}
	return 0
}

// updateShares sets this host's shares of the rate limits of a cell's targets. The caller
// holds the mutex.
func (d *Dispatcher) updateShares(now time.Time, c *cell) {
	d.expireColdEvidence(now, c)
	if d.limits.Empty() {
		return
	}
	c.sharesUsed = now
	d.chooser.SetLimitShare(now, c.id.key, d.limitShare(now, c))
}

// capacity returns what the targets of a cell can run. The caller holds the mutex.
func (d *Dispatcher) capacity(now time.Time, c *cell, typicalTime time.Duration) queue.Capacity {
	if d.limits.Empty() {
		return queue.Capacity{Slots: c.slots}
	}
	flow, limited := d.chooser.Flow(now, c.id.key)
	return queue.Capacity{Slots: d.chooser.Slots(now, c.id.key, typicalTime), Limited: limited, Flow: flow}
}

// newRejection returns the rejection of a request for lack of capacity.
func newRejection(c queue.Capacity, reason string, retryAfter time.Duration) *RejectedError {
	if c.Limited {
		reason = "all targets limit their rate"
		if c.Flow.Cold {
			reason = "all targets limit their rate or are cold"
		}
	}
	return &RejectedError{Reason: reason, RetryAfter: retryAfter, Limited: c.Limited}
}

// limitFields returns the log fields of a rejection that are about rate limits.
func limitFields(c queue.Capacity) logrus.Fields {
	if !c.Limited {
		return nil
	}
	return logrus.Fields{fieldLimit: c.Flow.PerSecond, "ready": c.Flow.Ready, "next-ms": c.Flow.Next.Milliseconds()}
}

// observeLimit records what a response says about the rate limit of its target. The caller
// holds the mutex.
func (d *Dispatcher) observeLimit(now time.Time, id string, o ratelimit.Observation) {
	if !d.chooser.Has(id) {
		return
	}
	change := d.limits.Observe(now, id, o)
	d.logLimit(now, id, change, logrus.Fields{fieldLimit: o.PerSecond, fieldSource: string(o.Source), "age-ms": now.Sub(o.SentAt).Milliseconds()})
}

// observeAnnouncements records the rate limits that another host announced.
func (d *Dispatcher) observeAnnouncements(list []ratelimit.Announcement) {
	if len(list) == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	for _, a := range list {
		if d.chooser.Has(a.Target) {
			change := d.limits.ObserveAnnouncement(now, a)
			d.logLimit(now, a.Target, change, logrus.Fields{fieldLimit: a.PerSecond, fieldSource: string(ratelimit.Host), "age-ms": a.Age.Milliseconds()})
		}
	}
}

// limitLogPeriod is the minimum time between two log lines about the rate limit of a target,
// which may name another limit in each response.
const limitLogPeriod = time.Second

// loggedLimit is what was last logged of a target's rate limit. pending holds the fields of
// a later change; nil if there was none.
type loggedLimit struct {
	at      time.Time
	pending logrus.Fields
}

// logLimit logs a change of the rate limit of a target, at once or when limitLogPeriod has
// passed since the last line about the target. The caller holds the mutex.
func (d *Dispatcher) logLimit(now time.Time, id string, change ratelimit.Change, fields logrus.Fields) {
	if change == ratelimit.Unchanged {
		return
	}
	logged := d.loggedLimits[id]
	if logged == nil {
		logged = &loggedLimit{}
		d.loggedLimits[id] = logged
	}
	fields[fieldTarget], fields["change"] = id, change.String()
	logged.pending = fields
	d.logPendingLimit(now, logged)
}

func (d *Dispatcher) logPendingLimit(now time.Time, logged *loggedLimit) {
	if logged.pending != nil && now.Sub(logged.at) >= limitLogPeriod {
		d.cfg.Log.WithFields(logged.pending).Info("rate limit of a target")
		logged.at, logged.pending = now, nil
	}
}

// logPendingLimits logs the changes that were held back.
func (d *Dispatcher) logPendingLimits(now time.Time) {
	for id, logged := range d.loggedLimits {
		d.logPendingLimit(now, logged)
		if now.Sub(logged.at) > limitLogPeriod {
			delete(d.loggedLimits, id)
		}
	}
}

// announcedLimits returns the rate limits of targets of a cell to announce them to another
// host. The caller holds the mutex.
func (d *Dispatcher) announcedLimits(now time.Time, c *cell) []ratelimit.Announcement {
	if d.limits.Empty() {
		return nil
	}
	return d.chooser.AnnouncedLimits(now, c.id.key, maxAnnouncedLimits)
}

// checkLimits probes the limited targets whose limits were not heard again for some time:
// those of the cells that this host dispatches, and as the second host of the ranking those
// of cells in which it has just assigned requests. The caller holds the mutex.
func (d *Dispatcher) checkLimits(now time.Time) {
	d.limits.Expire(now)
	d.logPendingLimits(now)
	for id := range d.limits.Named() {
		c := d.cells[d.chooser.Group(id)]
		if c == nil {
			continue
		}
		d.limits.SetShare(now, id, d.limitShare(now, c))
		if c.rank != 0 && now.Sub(c.sharesUsed) > standbyCheckTime {
			continue
		}
		if d.limits.CheckDue(now, id) && len(d.withinProbeBudget(c, ForLimit, []string{id})) > 0 {
			d.g.Go("check limit", func(ctx context.Context) error {
				d.probe(ctx, c, []string{id}, func() bool { return true })
				return nil
			})
		}
	}
}

// standbyCheckTime is the time after a request for which the second host of the ranking
// checks the rate limits of targets.
const standbyCheckTime = time.Second

// Limits returns the rate limits that targets name, in requests a second, by target.
func (d *Dispatcher) Limits() map[string]float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.limits.Named()
}

// Limited reports whether a target is known to name a rate limit, or counts as cold.
func (d *Dispatcher) Limited(target string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, ok := d.limits.Rate(time.Now(), target)
	return ok
}
