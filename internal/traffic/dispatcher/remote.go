package dispatcher

// This file defines how hosts send requests to the dispatchers on other hosts, and how
// these respond.

import (
	"context"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"tamaracktiller.example/tamaracktiller/internal/fleet/directory"
	"tamaracktiller.example/tamaracktiller/internal/traffic/placement"
)

const (
	// firstTimeout is the timeout of the first response of a dispatcher, and repeatTimeout
	// that after the request was repeated, since a datagram may be lost. They cover the
	// round trip and the probes to targets.
	firstTimeout  = 28 * time.Millisecond
	repeatTimeout = 22 * time.Millisecond
	// queuedTimeout is the time after which a queued request is sent again, to detect that
	// its dispatcher has stopped.
	queuedTimeout = 150 * time.Millisecond
	// suspectTime is the time for which a host is not sent requests after it did not
	// respond, and unavailableTime that after it responded that it is unavailable.
	suspectTime     = 800 * time.Millisecond
	unavailableTime = 4 * time.Second
	// remoteRetention is the time for which a request of another host is kept after its
	// deadline, and the ID of a request after a grant for it was received.
	remoteRetention = time.Second
	// hostTimeout is the time without messages from a host after which it may have crashed,
	// and its grants are marked as suspect. Most requests end sooner, and their outcomes are
	// reported.
	hostTimeout = 300 * time.Millisecond
)

// errUnreachable reports that a host does not respond, or does not dispatch the cell.
var errUnreachable = errors.New("dispatcher: host does not respond")

// remoteKey identifies a request of another host.
type remoteKey struct {
	from netip.AddrPort
	id   uint64
}

// remoteRequest is a request of another host.
type remoteRequest struct {
	cell         *cell
	waiter       *waiter
	lastResponse Message
	// grant is nil until a target is assigned.
	grant *Grant
	// expires is the time at which the request is dropped if no outcome was reported.
	expires time.Time
}

// placeRemote waits for another host to assign a target to a request. The error wraps
// errUnreachable if the next host should be tried.
func (d *Dispatcher) placeRemote(ctx context.Context, c *cell, host directory.Host, req Request) (Grant, error) {
	id, responses := d.addPending()
	defer d.removePending(id)
	timer := time.NewTimer(firstTimeout)
	defer timer.Stop()
	if !d.sendRequest(host, c, id, &req) {
		return Grant{}, errors.Wrap(errUnreachable, "the request cannot be sent")
	}
	queued, repeated := false, false
	for {
		select {
		case m := <-responses:
			d.updateLoads(m.Loads)
			d.observeAnnouncements(m.Limits)
			switch m.Kind {
			default:
				return Grant{}, errors.Wrapf(errUnreachable, "unexpected message kind %d", m.Kind)
			case kindGranted:
				d.recordGrant(id)
				return remoteGrant(c, host, id, &m), nil
			case kindRedirect:
				if other := d.cellByKey(m.Cell); other != nil {
					return Grant{}, &redirectError{to: other}
				}
				return Grant{}, errUnreachable
			case kindRejected:
				return Grant{}, &RejectedError{Reason: m.Reason, RetryAfter: m.RetryAfter, Limited: m.RateLimited}
			case kindUnavailable:
				d.suspect(host, unavailableTime, "leaves")
				return Grant{}, errUnreachable
			case kindQueued:
				queued, repeated = true, false
				timer.Reset(queuedTimeout)
			}
		case <-timer.C:
			if repeated {
				d.suspect(host, suspectTime, "does not respond")
				d.sendCancel(host, id)
				return Grant{}, errUnreachable
			}
			repeated = true
			d.sendRequest(host, c, id, &req)
			timer.Reset(repeatTimeout)
		case <-ctx.Done():
			d.sendCancel(host, id)
			if repeated && !queued {
				d.suspect(host, suspectTime, "does not respond")
			}
			return Grant{}, ctx.Err()
		}
	}
}

// sendRequest sends a request to a dispatcher, and reports whether it could.
func (d *Dispatcher) sendRequest(host directory.Host, c *cell, id uint64, req *Request) bool {
	now := time.Now()
	m := req.message(now, id, c.id.key)
	d.mu.Lock()
	m.Limits, m.Departures, m.Pauses = d.announcedLimits(now, c), d.chooser.AnnouncedDepartures(c.id.key, maxAnnouncedDepartures), d.announcedPauses(now, c)
	d.mu.Unlock()
	return d.send(host.PeerAddress, m)
}

// addPending returns a new request ID and the channel for its responses.
func (d *Dispatcher) addPending() (uint64, chan Message) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastID++
	responses := make(chan Message, maxResponses)
	d.pending[d.lastID] = responses
	return d.lastID, responses
}

func (d *Dispatcher) removePending(id uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.pending, id)
}

// remoteGrant returns the grant in a message of another host.
func remoteGrant(c *cell, host directory.Host, id uint64, m *Message) Grant {
	return Grant{
		Choice: placement.Choice{
			ID: m.Target, ServiceTime: m.ServiceTime, QueueTime: m.QueueTime, Cost: m.ServiceTime + m.QueueTime, Load: m.Load, LoadKnown: m.LoadKnown, Age: m.Age, HasCapacity: true,
			Concurrency: m.Concurrency, Slots: m.Slots, UncontendedTime: m.UncontendedTime, Cold: m.Cold, Restricted: m.ColdNotice.Restricted,
		},
		at: time.Now(), cell: c.id.key, dispatchedBy: host.Name, id: id, through: m.Through,
	}
}

func (d *Dispatcher) updateLoads(loads []CellLoad) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, l := range loads {
		d.updateLoad(time.Now(), l)
	}
}

func (d *Dispatcher) cellByKey(key string) *cell {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cells[key]
}

// suspect stops sending requests to a host for a time.
func (d *Dispatcher) suspect(host directory.Host, length time.Duration, why string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.suspectedUntil[host.Name] = time.Now().Add(length)
	d.cfg.Log.WithField("host", host.Name).WithField("why", why).Info("dispatcher is passed over")
}

func (d *Dispatcher) sendCancel(host directory.Host, id uint64) {
	d.send(host.PeerAddress, Message{Kind: kindDone, ID: id, Cancelled: true, Result: placement.Cancelled})
}

// sendDone reports the outcome of an attempt to the host that made the grant.
func (d *Dispatcher) sendDone(g Grant, o Outcome) {
	d.mu.Lock()
	host, ok := d.snapshot.Hosts[g.dispatchedBy]
	departures := d.chooser.AnnouncedDepartures(g.cell, maxAnnouncedDepartures)
	d.mu.Unlock()
	if !ok {
		return
	}
	d.send(host.PeerAddress, Message{
		Kind: kindDone, ID: g.id, Target: g.ID, Result: o.Result, Gone: o.Gone, Load: o.Load, LoadKnown: o.LoadKnown, Limit: o.Limit, Pause: o.Pause, Departures: departures, ColdNotice: coldNotice{Cold: o.Cold},
	})
}

// Receive handles a message from another host. It does not block.
func (d *Dispatcher) Receive(from netip.AddrPort, m Message) {
	d.mu.Lock()
	d.lastReceived[from] = time.Now()
	d.mu.Unlock()
	d.observeDepartures(m.Departures)
	switch m.Kind {
	case kindRequest:
		d.handleRequest(from, &m)
	case kindDone:
		d.handleDone(from, &m)
	case kindLoad:
		d.updateLoads(m.Loads)
	case kindPauses:
		d.observeOwnPauses(m.Pauses)
	case kindEvidence:
		if m.Evidence != nil && d.cfg.OnEvidence != nil {
			d.cfg.OnEvidence(*m.Evidence)
		}
	case kindCredit:
		if m.Credit != nil && d.cfg.OnCredit != nil {
			d.cfg.OnCredit(from, *m.Credit)
		}
	case kindQueued, kindGranted, kindRejected, kindUnavailable, kindRedirect:
		d.deliver(from, m)
	}
}

// recordGrant records that the grant for a request was received, so that a repeated
// response is not mistaken for a grant without a waiting request and released.
func (d *Dispatcher) recordGrant(id uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recentGrants[id] = time.Now()
}

// deliver passes a response to the waiting request. A grant for which no request waits is
// released.
func (d *Dispatcher) deliver(from netip.AddrPort, m Message) {
	d.mu.Lock()
	responses := d.pending[m.ID]
	_, granted := d.recentGrants[m.ID]
	d.mu.Unlock()
	if granted {
		return
	}
	if responses != nil {
		select {
		case responses <- m:
			return
		default:
		}
	}
	if m.Kind == kindGranted {
		d.send(from, Message{Kind: kindDone, ID: m.ID, Cancelled: true, Result: placement.Cancelled})
	}
}

// handleRequest handles a request of another host. The response to a repeated request is
// the last one, if there was one.
func (d *Dispatcher) handleRequest(from netip.AddrPort, m *Message) {
	now := time.Now()
	key := remoteKey{from: from, id: m.ID}
	d.observeAnnouncements(m.Limits)
	d.mu.Lock()
	if len(m.Pauses) > 0 {
		d.recordHostPauses(now, d.hostName(from), m.Pauses)
	}
	if old := d.remoteRequests[key]; old != nil {
		last := old.lastResponse
		d.mu.Unlock()
		if last.Kind != 0 {
			d.send(from, last)
		}
		return
	}
	if !d.turnsAway() && d.redirectEvacuated(from, m) {
		d.mu.Unlock()
		return
	}
	c := d.cells[m.Cell]
	if c == nil || c.registered == 0 || d.turnsAway() {
		d.mu.Unlock()
		d.send(from, Message{Kind: kindUnavailable, ID: m.ID})
		return
	}
	r := &remoteRequest{cell: c, expires: now.Add(m.DeadlineLeft + remoteRetention)}
	r.waiter = &waiter{request: m.request(now), from: d.hostName(from), address: from, reply: func(res response) { d.reply(from, m.ID, r, res) }}
	d.remoteRequests[key] = r
	d.mu.Unlock()
	d.g.Go("serve", func(ctx context.Context) error {
		d.admit(ctx, c, r.waiter)
		return nil
	})
}

// reply sends a response to a request of another host. The caller holds the mutex.
func (d *Dispatcher) reply(to netip.AddrPort, id uint64, r *remoteRequest, res response) {
	now := time.Now()
	d.measure(now, r.cell)
	m := Message{ID: id, Loads: d.leastLoaded(now, r.cell.id.service), Limits: d.announcedLimits(now, r.cell), Departures: d.chooser.AnnouncedDepartures(r.cell.id.key, maxAnnouncedDepartures)}
	switch {
	case res.redirect != nil:
		m.Kind, m.Cell = kindRedirect, res.redirect.id.key
	case res.queued:
		m.Kind = kindQueued
	case res.rejected != nil:
		m.Kind, m.Reason, m.RetryAfter, m.RateLimited = kindRejected, res.rejected.Reason, res.rejected.RetryAfter, res.rejected.Limited
	default:
		grant := res.grant
		r.grant = &grant
		m.Kind, m.Target, m.Through, m.ServiceTime, m.QueueTime = kindGranted, grant.ID, grant.through, grant.ServiceTime, grant.QueueTime
		m.Load, m.LoadKnown, m.Age = grant.Load, grant.LoadKnown, grant.Age
		m.Concurrency, m.Slots, m.UncontendedTime, m.Cold = grant.Concurrency, grant.Slots, grant.UncontendedTime, grant.Cold
		m.ColdNotice.Restricted = grant.Restricted && r.cell.limitsCold
	}
	r.lastResponse = m
	d.send(to, m)
}

// handleDone handles the outcome or the cancellation of a request of another host.
func (d *Dispatcher) handleDone(from netip.AddrPort, m *Message) {
	now := time.Now()
	key := remoteKey{from: from, id: m.ID}
	d.mu.Lock()
	r := d.remoteRequests[key]
	delete(d.remoteRequests, key)
	d.mu.Unlock()
	if r == nil {
		return
	}
	if r.grant == nil {
		d.withdraw(r.cell, r.waiter)
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if m.Pause > 0 && r.grant.through == "" {
		d.recordHostPauses(now, r.waiter.from, []Pause{{Target: r.grant.ID, Left: m.Pause}})
	}
	o := Outcome{Result: m.Result, Gone: m.Gone, Load: m.Load, LoadKnown: m.LoadKnown, Limit: m.Limit, Pause: m.Pause, Cold: m.ColdNotice.Cold}
	d.endAttempt(now, from.String(), *r.grant, o)
	d.recordOutcome(now, *r.grant, o)
	d.dispatchQueue(now, r.cell)
}

// Tick drops expired state, marks the grants of unresponsive hosts as suspect, and logs
// changed profiles. It must be called periodically.
func (d *Dispatcher) Tick(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.logProfiles(now)
	d.checkLimits(now)
	d.checkCold(now)
	d.chooser.ExpireNotices(now)
	d.expireHostPauses(now)
	for id, at := range d.recentGrants {
		if now.Sub(at) > remoteRetention {
			delete(d.recentGrants, id)
		}
	}
	for key, r := range d.remoteRequests {
		switch {
		case now.After(r.expires):
			d.dropRemote(now, key)
		case r.grant != nil && now.Sub(d.lastReceived[key.from]) > hostTimeout && now.Sub(r.grant.at) > hostTimeout:
			d.chooser.MarkSuspect(r.grant.at, r.grant.ID)
		}
	}
}

// dropRemote drops a request of another host whose outcome will not be reported. The caller
// holds the mutex.
func (d *Dispatcher) dropRemote(now time.Time, key remoteKey) {
	r := d.remoteRequests[key]
	delete(d.remoteRequests, key)
	if r.grant != nil {
		d.chooser.Done(now, r.grant.at, r.grant.ID, placement.Lost)
	}
}

// dropGoneHosts drops the granted requests of hosts that left the fleet or restarted. The
// caller holds the mutex.
func (d *Dispatcher) dropGoneHosts(now time.Time, before, after map[string]directory.Host) {
	gone := map[netip.AddrPort]string{}
	for name, h := range before {
		if next, ok := after[name]; !ok || next.Incarnation != h.Incarnation {
			gone[h.PeerAddress] = name
			delete(d.lastReceived, h.PeerAddress)
		}
	}
	if len(gone) == 0 {
		return
	}
	for key, r := range d.remoteRequests {
		host, ok := gone[key.from]
		if !ok || r.grant == nil {
			continue
		}
		d.cfg.Log.WithFields(logrus.Fields{
			fieldRequest: r.waiter.request.ID, "host": host, fieldTarget: r.grant.ID, "ms": now.Sub(r.grant.at).Milliseconds(),
		}).Info("request was placed for a host that is gone")
		d.dropRemote(now, key)
	}
}
