package dispatcher

// This file defines how dispatchers and the hosts that ask them keep to what targets say of
// themselves.
//
// A host that learns that a target leaves tells the dispatcher with the outcome of the attempt,
// and the dispatcher tells all hosts that ask it. A pause is between one host and one target, so
// a host names its own with each request. Messages may be lost or come from hosts of an earlier
// version, so each host checks the grants that it gets and returns those that it must not use.

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"tamaracktiller.example/tamaracktiller/internal/fleet/packet"
	"tamaracktiller.example/tamaracktiller/internal/traffic/eligibility"
	"tamaracktiller.example/tamaracktiller/internal/traffic/notice"
	"tamaracktiller.example/tamaracktiller/internal/traffic/placement"
)

const (
	// maxReturned bounds the grants that are returned for one request.
	maxReturned = 4
	// maxAnnouncedDepartures bounds the departures in one message, and maxAnnouncedPauses the
	// pauses, so that it fits in a datagram.
	maxAnnouncedDepartures = 8
	maxAnnouncedPauses     = maxCellTargets
	// pauseSpread is the time over which the clients that are told to come back after a pause
	// are spread.
	pauseSpread = 500 * time.Millisecond
	// reasonLeaving and reasonPaused are the reasons of rejections.
	reasonLeaving = "all targets of the service leave"
	reasonPaused  = "all targets want no requests of this host for some time"
)

// Pause is a target that wants no requests of the sending host for some time from now on.
type Pause struct {
	Target string        `cbor:"1,keyasint"`
	Left   time.Duration `cbor:"2,keyasint"`
}

// ObserveNotice records what a target said of itself in a response to this host.
func (d *Dispatcher) ObserveNotice(n notice.Notice) {
	if n.Pause > 0 && n.Through != "" {
		d.observeHelpedPause(n)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if n.Leaving {
		d.recordLeaving(now, n.Incarnation, "response")
	}
	if n.Pause > 0 && n.Through == "" {
		d.recordPause(now, n.Incarnation, n.Pause, "response")
	}
}

// recordPause records that a target wants no requests of this host for some time. The caller
// holds the mutex.
func (d *Dispatcher) recordPause(now time.Time, i notice.Incarnation, length time.Duration, source string) {
	if d.chooser.RecordPause(now, i, length) {
		d.cfg.Log.WithFields(logrus.Fields{fieldTarget: i.Target, "started": i.Started, "ms": length.Milliseconds(), fieldSource: source}).Info("target wants no requests of this host for some time")
	}
}

// observeDepartures records the targets that leave, as another host says.
func (d *Dispatcher) observeDepartures(list []notice.Incarnation) {
	if len(list) == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, i := range list {
		d.recordLeaving(time.Now(), i, "host")
	}
}

// recordLeaving records that a target leaves. Requests that wait for the targets of a cell all of
// which leave are redirected or rejected. The caller holds the mutex.
func (d *Dispatcher) recordLeaving(now time.Time, i notice.Incarnation, source string) {
	if !d.chooser.RecordLeaving(now, i) {
		return
	}
	d.cfg.Log.WithFields(logrus.Fields{fieldTarget: i.Target, "started": i.Started, fieldSource: source}).Info("target leaves")
	if c := d.cells[d.chooser.Group(i.Target)]; c != nil {
		if c.targets, c.slots = d.chooser.Available(c.id.key); c.targets == 0 {
			d.redirectQueue(c)
		}
	}
}

// placeAllowed places a request, and returns the grants of targets that this host must not
// use, until it gets one that it may use.
func (d *Dispatcher) placeAllowed(ctx context.Context, req Request, place func(ctx context.Context, req Request) (Grant, error)) (Grant, error) {
	for range maxReturned {
		grant, err := place(ctx, req)
		if err != nil {
			return grant, err
		}
		reason := d.barred(grant)
		if reason == "" {
			return grant, nil
		}
		d.cfg.Log.WithFields(logrus.Fields{fieldRequest: req.ID, fieldTarget: grant.ID, "dispatcher": grant.dispatchedBy, "why": reason}).Info("grant is returned")
		d.Done(grant, Outcome{Result: placement.Cancelled})
		req.Avoid = append(append(slices.Clone(req.Avoid), grant.ID), d.evacuatedTargets(req.Service)...)
	}
	return Grant{}, &RejectedError{Reason: "targets that were granted are not to be used", RetryAfter: noTargetsRetryAfter}
}

// barred returns why this host must not use the target of a grant, or "" if it may.
func (d *Dispatcher) barred(g Grant) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	reason := d.chooser.BarredBy(now, g.ID, g.through != "")
	if reason == eligibility.Normal && d.isColdNews(now, g) {
		reason = eligibility.Cold
	}
	return barredTexts[reason]
}

// barredTexts holds what the log says of the targets of grants that are returned.
var barredTexts = map[eligibility.Reason]string{
	eligibility.Evacuated: "its failure domain is evacuated",
	eligibility.Leaving:   "it leaves",
	eligibility.Paused:    "it wants no requests of this host for some time",
	eligibility.Cold:      "it has just become cold",
}

// refusal returns the response to a request that no target of a cell can serve because of what
// they say of themselves; nil if one may. A request waits for a pause that ends in time for its
// objective, unless it can be sent through another host. The caller holds the mutex.
func (d *Dispatcher) refusal(now time.Time, c *cell, w *waiter) *response {
	if c.targets == 0 {
		if other := d.otherCell(c); other != nil && !w.request.Redirected {
			return &response{redirect: other}
		}
		return &response{rejected: d.emptyRejection(c)}
	}
	until, all := d.chooser.AllPausedUntil(now, c.id.key, w.request.placementRequest())
	if !all || d.sendThroughHelpers(now, w) || !w.request.Hedge && !until.Add(w.request.TypicalTime).After(w.request.Objective) {
		return nil
	}
	d.cfg.Log.WithFields(logrus.Fields{fieldRequest: w.request.ID, fieldCell: c.id.key, "pause-ms": until.Sub(now).Milliseconds()}).Info("all targets pause for too long")
	return &response{rejected: &RejectedError{Reason: reasonPaused, RetryAfter: until.Sub(now) + rand.N(pauseSpread)}}
}

// emptyRejection returns the rejection of a request for a cell without available targets. The
// caller holds the mutex.
func (d *Dispatcher) emptyRejection(c *cell) *RejectedError {
	if c.registered > 0 {
		return &RejectedError{Reason: reasonLeaving, RetryAfter: noTargetsRetryAfter}
	}
	return d.noTargetsLocked(c.id.service)
}

// otherCell returns another cell of the same service that has available targets; nil if there is
// none. The caller holds the mutex.
func (d *Dispatcher) otherCell(c *cell) *cell {
	for _, other := range d.services[c.id.service] {
		if other != c && other.targets > 0 {
			return other
		}
	}
	return nil
}

// announcedPauses returns the pauses of this host at targets of a cell, for its dispatcher. The
// caller holds the mutex.
func (d *Dispatcher) announcedPauses(now time.Time, c *cell) []Pause {
	paused := d.chooser.Paused(now, c.id.key)
	if len(paused) == 0 {
		return nil
	}
	list := make([]Pause, 0, len(paused))
	for id, until := range paused {
		list = append(list, Pause{Target: id, Left: until.Sub(now)})
	}
	return list[:min(len(list), maxAnnouncedPauses)]
}

// pausedTargets returns the pauses of the host that sent a request.
func pausedTargets(now time.Time, list []Pause) map[string]time.Time {
	if len(list) == 0 {
		return nil
	}
	paused := make(map[string]time.Time, len(list))
	for _, p := range list {
		paused[p.Target] = now.Add(min(p.Left, notice.MaxPause))
	}
	return paused
}

// send sends a message to another host, and reports whether it could. A message that does not fit in a
// datagram is sent without what it announces: the other host learns of it by other messages, or by itself. If it
// still does not fit, it is sent without the targets to avoid, one of which may be granted again.
func (d *Dispatcher) send(to netip.AddrPort, m Message) bool {
	err := d.cfg.Send(to, m)
	if errors.Is(err, packet.ErrTooLarge) {
		d.cfg.Log.WithError(err).WithField("to", to.String()).Debug("message is sent without announcements")
		m.Limits, m.Departures, m.Pauses, m.Loads = nil, nil, nil, nil
		err = d.cfg.Send(to, m)
	}
	if errors.Is(err, packet.ErrTooLarge) && len(m.Avoid) > 0 {
		m.Avoid = nil
		err = d.cfg.Send(to, m)
	}
	if err != nil {
		d.cfg.Log.WithError(err).WithField("to", to.String()).Debug("failed to send message")
	}
	return err == nil
}

// Departures returns the targets that leave.
func (d *Dispatcher) Departures() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.chooser.Departures()
}

// Paused reports whether a target wants no requests of this host now.
func (d *Dispatcher) Paused(target string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, ok := d.chooser.PausedUntil(time.Now(), target)
	return ok
}

// Pauses returns the targets that want no requests of this host, with the time left.
func (d *Dispatcher) Pauses() map[string]time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	now, left := time.Now(), map[string]time.Duration{}
	for _, c := range d.cells {
		for id, until := range d.chooser.Paused(now, c.id.key) {
			left[id] = until.Sub(now)
		}
	}
	return left
}
