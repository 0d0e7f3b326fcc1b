package dispatcher

// This file defines cell: its queue, and the probes to its targets.

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"tamaracktiller.example/tamaracktiller/internal/fleet/directory"
	"tamaracktiller.example/tamaracktiller/internal/fleet/roster"
	"tamaracktiller.example/tamaracktiller/internal/kernel/timer"
	"tamaracktiller.example/tamaracktiller/internal/traffic/placement"
	"tamaracktiller.example/tamaracktiller/internal/traffic/queue"
	"tamaracktiller.example/tamaracktiller/internal/traffic/ratelimit"
	"tamaracktiller.example/tamaracktiller/internal/traffic/targets"
)

const (
	// probeWait bounds the wait for responses to probes before an attempt. It covers a round
	// trip to another domain and the opening of a connection.
	probeWait = 14 * time.Millisecond
	// pollPeriod is the pause between two rounds of probes while requests wait.
	pollPeriod = 12 * time.Millisecond
	// lastSendMargin is the time between the expected end of a request and its deadline
	// below which it is sent even to a target without capacity.
	lastSendMargin = 50 * time.Millisecond
	// dispatcherProbeShare is the share of a cell's probe budget for the first host of its
	// ranking. The rest is divided among the hosts, for times when they dispatch their own
	// requests.
	dispatcherProbeShare = 0.8
)

// cell is this host's state of one cell: a part of a service's targets.
type cell struct {
	id         cellID
	healthPath string
	// registered is the number of targets, and targets that of those which do not leave, with
	// their slots.
	registered     int
	targets, slots int
	// ranked holds the first hosts of the cell's ranking, computed at host change count
	// rankedAt of the snapshot.
	ranked   []directory.Host
	rankedAt int
	// probeDivisor is the number by which the probe budget is divided to get the share of
	// this host.
	probeDivisor float64
	// limitsCold is set if the rate of cold targets of the service is limited.
	limitsCold bool
	// home is set for the cell of the service that this host prefers.
	home bool
	// rank is the position of this host in the ranking since rankSince. It is one of the first
	// two since topSince.
	rank                int
	rankSince, topSince time.Time
	// sharesUsed is the time at which this host last assigned a request, while targets had
	// limited rates.
	sharesUsed time.Time
	queue      *queue.Queue
	waiters    map[*queue.Request]*waiter
	// polling is set while a goroutine probes targets for the queued requests.
	polling bool
	// utilization is the share of slots in use, and waiting the number of queued requests,
	// as measured or reported at loadTime.
	utilization float64
	waiting     int
	loadTime    time.Time
}

func newCell(id cellID) *cell {
	return &cell{id: id, queue: queue.New(), waiters: map[*queue.Request]*waiter{}, rank: unranked}
}

func (c *cell) update(now time.Time, s *directory.Snapshot, part []roster.ActiveTarget, self string) {
	c.registered = len(part)
	if c.rankedAt != s.HostChanges {
		// In a large fleet, most snapshots do not change the hosts.
		c.ranked, c.rankedAt = rankHosts(c.id, s.Hosts), s.HostChanges
	}
	c.setRank(now, slices.IndexFunc(c.ranked, func(h directory.Host) bool { return h.Name == self }))
	c.probeDivisor = float64(max(1, s.MaxHosts)) / (1 - dispatcherProbeShare)
	if c.dispatchedBy(self) {
		c.probeDivisor = 1 / dispatcherProbeShare
	}
	if s.Table != nil {
		service := s.Table.Config.Services[c.id.service]
		c.healthPath, c.limitsCold = service.HealthPath, service.ColdPerSecond > 0
	}
}

func specs(service string, list []roster.ActiveTarget) []placement.Spec {
	out := make([]placement.Spec, 0, len(list))
	for _, t := range list {
		out = append(out, placement.Spec{ID: t.ID, Service: service, Domain: t.Domain, Slots: t.Slots, ColdUntil: t.ColdUntil, Started: t.Started, Lapsed: t.Lapsed})
	}
	return out
}

// response is a response to a request: an optional notice that it is queued, then a grant,
// a rejection or a redirect.
type response struct {
	queued   bool
	grant    Grant
	rejected *RejectedError
	// redirect is a cell with more capacity, to which the request should go instead.
	redirect *cell
}

// waiter is a request with its callback. reply must not block.
type waiter struct {
	request Request
	// from is the host that sent the request, and through is set if it is sent through another
	// host.
	from    string
	through bool
	// address is that of the host; not valid for this host.
	address netip.AddrPort
	// queued is the request's entry in the queue; nil if it was not queued.
	queued *queue.Request
	reply  func(response)
	// done is set when the request needs no further response.
	done bool
}

// placementRequest returns a queued request in the form that placement takes.
// The caller holds the mutex.
func (d *Dispatcher) placementRequest(now time.Time, c *cell, w *waiter) placement.Request {
	r := w.request.placementRequest()
	r.Backlogged, r.SpareCold = c.backlogged(), c.limitsCold && d.isSilent(now, w)
	return r
}

// backlogged reports whether many requests wait.
func (c *cell) backlogged() bool { return float64(c.queue.Len()) > backlogRatio*float64(c.targets) }

// backlogRatio is the number of queued requests per target above which slow targets are
// used as well.
const backlogRatio = 0.25

// admit responds to a new request: it assigns a target at once, redirects the request to
// another cell, queues it or rejects it.
func (d *Dispatcher) admit(ctx context.Context, c *cell, w *waiter) {
	if d.refuse(c, w) {
		return
	}
	for _, n := range probeStages {
		d.mu.Lock()
		ids := d.probeCandidates(c, &w.request, n)
		d.mu.Unlock()
		// One good target is enough: the responses that are still missing may be those of
		// distant targets.
		if d.probe(ctx, c, ids, func() bool { return d.tryGrant(c, w, probeStages[0]) }) || d.tryGrant(c, w, n) {
			return
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if w.done {
		return
	}
	now := time.Now()
	if w.request.Hedge {
		w.reply(response{rejected: &RejectedError{Reason: "no place beside the first send"}})
		return
	}
	if other, ok := d.redirectCell(now, c); ok && !w.request.Redirected {
		w.reply(response{redirect: other})
		return
	}
	d.enqueue(now, c, w)
}

// refuse responds to a request that no target of a cell can serve because of what they say of
// themselves, and reports whether it did.
func (d *Dispatcher) refuse(c *cell, w *waiter) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	res := d.refusal(time.Now(), c, w)
	if res == nil || w.done {
		return w.done
	}
	w.done = true
	w.reply(*res)
	return true
}

// probeStages holds the number of targets to probe in each stage. A later stage runs only
// if no good target was found before, which is rare, so that few probes suffice.
var probeStages = []int{3, 6}

// tryGrant assigns a target to a request if the queue is empty and a good target is known,
// and reports whether the request is done. After the last stage, any target with capacity
// is good enough. Hedged requests do not require an empty queue.
func (d *Dispatcher) tryGrant(c *cell, w *waiter, probed int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if w.done {
		return true
	}
	if c.queue.Len() > 0 && !w.request.Hedge {
		return false
	}
	now := time.Now()
	d.updateShares(now, c)
	choice, ok := d.chooser.Best(now, c.id.key, w.request.placementRequest())
	if !ok || !choice.HasCapacity {
		return false
	}
	if probed == probeStages[0] && float64(choice.ServiceTime) > goodTimeRatio*float64(w.request.TypicalTime) {
		return false
	}
	if w.request.Hedge && !placement.WorthHedging(now, w.request.Objective, w.request.Deadline, choice) {
		return false
	}
	d.grant(now, c, w, choice)
	return true
}

// goodTimeRatio is the ratio of expected to typical service time up to which a target is
// good.
const goodTimeRatio = 1.25

func (d *Dispatcher) enqueue(now time.Time, c *cell, w *waiter) {
	w.queued = w.request.queueRequest()
	d.updateShares(now, c)
	capacity := d.capacity(now, c, w.request.TypicalTime)
	retryAfter, ok := c.queue.Add(now, w.queued, capacity)
	retryAfter = coldRetryAfter(capacity, retryAfter)
	fields := logrus.Fields{fieldRequest: w.request.ID, fieldCell: c.id.key, "waiting": c.queue.Len(), "usual-ms": w.request.TypicalTime.Milliseconds(), "deadline-ms": w.request.Deadline.Sub(now).Milliseconds()}
	if !ok {
		d.cfg.Log.WithFields(fields).WithFields(limitFields(capacity)).WithFields(accountFields(w)).WithField("retry-after-ms", retryAfter.Milliseconds()).Info("no place in time")
		w.reply(response{rejected: newRejection(capacity, "no target will have room in time", retryAfter)})
		return
	}
	d.cfg.Log.WithFields(fields).Debug("request queued")
	c.waiters[w.queued] = w
	w.reply(response{queued: true})
	d.dispatchQueue(now, c)
	if !c.polling && c.queue.Len() > 0 {
		c.polling = true
		d.g.Go("poll", func(ctx context.Context) error {
			d.poll(ctx, c)
			return nil
		})
	}
}

func (d *Dispatcher) grant(now time.Time, c *cell, w *waiter, choice placement.Choice) {
	d.chooser.RecordAttempt(now, choice)
	c.queue.RecordStart(now, w.request.queueRequest())
	w.done = true
	grant := Grant{Choice: choice, at: now, cell: c.id.key, account: w.request.Account, typicalTime: w.request.TypicalTime}
	if w.through {
		grant.through = d.helper(now, choice.ID, w.from)
	}
	w.reply(response{grant: grant})
}

// withdraw removes a request from the queue and marks it as done.
func (d *Dispatcher) withdraw(c *cell, w *waiter) {
	d.mu.Lock()
	defer d.mu.Unlock()
	w.done = true
	if w.queued != nil {
		if c.queue.Remove(w.queued) {
			c.queue.RecordTurnedAway(time.Now(), w.queued)
		}
		delete(c.waiters, w.queued)
	}
}

// dispatchQueue assigns targets to the queued requests in their order, and rejects those
// that cannot start in time. A target that is too slow for one request may be good enough
// for the next. The caller holds the mutex.
func (d *Dispatcher) dispatchQueue(now time.Time, c *cell) {
	if c.queue.Len() == 0 {
		return
	}
	d.updateShares(now, c)
	if c.backlogged() {
		d.dispatchInTime(now, c)
	}
	d.dispatchOrdered(now, c)
	capacity := d.capacity(now, c, 0)
	for _, r := range c.queue.Unservable(now, capacity) {
		w := c.waiters[r]
		c.queue.Remove(r)
		delete(c.waiters, r)
		w.done = true
		c.queue.RecordTurnedAway(now, r)
		retryAfter := c.queue.UnservableRetryAfter(now, r)
		if capacity.Limited {
			retryAfter = coldRetryAfter(capacity, c.queue.RetryAfter(now, capacity))
		}
		d.cfg.Log.WithFields(logrus.Fields{fieldRequest: w.request.ID, fieldCell: c.id.key, "waiting": c.queue.Len(), "retry-after-ms": retryAfter.Milliseconds()}).WithFields(limitFields(capacity)).WithFields(accountFields(w)).Info("wait has become hopeless")
		w.reply(response{rejected: newRejection(capacity, "no target has room in time any more", retryAfter)})
	}
}

// accountFields returns the log fields of a rejection that are about the client account.
func accountFields(w *waiter) logrus.Fields {
	if w.request.Account == "" {
		return nil
	}
	return logrus.Fields{"account": w.request.Account, "priority": w.request.Priority}
}

// dispatchOrdered assigns targets to the queued requests in their order. The caller holds the mutex.
func (d *Dispatcher) dispatchOrdered(now time.Time, c *cell) {
	if !d.chooser.HasFreeSlot(now, c.id.key) {
		return
	}
	for _, r := range c.queue.Ordered(now) {
		if !d.chooser.HasFreeSlot(now, c.id.key) {
			return
		}
		w := c.waiters[r]
		choice, ok := d.chooser.Best(now, c.id.key, d.placementRequest(now, c, w))
		if ok && (choice.HasCapacity || mustSendNow(now, choice, r)) {
			d.grantQueued(now, c, w, choice)
		}
	}
}

// dispatchInTime assigns targets to the queued requests that will meet their objectives there. The
// caller holds the mutex.
func (d *Dispatcher) dispatchInTime(now time.Time, c *cell) {
	if !d.chooser.HasFreeSlot(now, c.id.key) {
		return
	}
	for _, r := range c.queue.InTime(now) {
		if !d.chooser.HasFreeSlot(now, c.id.key) {
			return
		}
		w := c.waiters[r]
		pr := w.request.placementRequest()
		pr.SpareCold = c.limitsCold && d.isSilent(now, w)
		if choice, ok := d.chooser.Best(now, c.id.key, pr); ok && choice.HasCapacity {
			d.grantQueued(now, c, w, choice)
		}
	}
}

// grantQueued takes a request from the queue and grants it a target.
func (d *Dispatcher) grantQueued(now time.Time, c *cell, w *waiter, choice placement.Choice) {
	c.queue.Remove(w.queued)
	delete(c.waiters, w.queued)
	d.grant(now, c, w, choice)
}

// mustSendNow reports whether a request can meet its deadline only if it is sent now,
// although the target has no capacity. A target with all slots in use does not qualify:
// another request would only slow down all the others.
func mustSendNow(now time.Time, c placement.Choice, r *queue.Request) bool {
	end := now.Add(c.ServiceTime + c.QueueTime)
	return !c.Full && end.Before(r.Deadline) && end.Add(lastSendMargin).After(r.Deadline)
}

// poll probes targets and dispatches the queue until it is empty.
func (d *Dispatcher) poll(ctx context.Context, c *cell) {
	for ctx.Err() == nil {
		d.mu.Lock()
		d.dispatchQueue(time.Now(), c)
		if c.queue.Len() == 0 {
			c.polling = false
			d.mu.Unlock()
			return
		}
		ids := d.withinProbeBudget(c, ForQueue, d.chooser.PollCandidates(time.Now(), c.id.key, targetsPerPoll))
		d.mu.Unlock()
		d.probe(ctx, c, ids, func() bool { return false })
		timer.Sleep(ctx, pollPeriod)
	}
}

// targetsPerPoll bounds the targets probed in one round while requests wait.
const targetsPerPoll = 6

// ProbeCause is the reason for a load probe.
type ProbeCause string

// Causes of load probes.
const (
	// ForRequest: a request has arrived.
	ForRequest ProbeCause = "request"
	// ForSearch: no good target was found for a request.
	ForSearch ProbeCause = "search"
	// ForQueue: requests wait.
	ForQueue ProbeCause = "queue"
	// ForLimit: a target names a rate limit.
	ForLimit ProbeCause = "limit"
	// ForConnection: a request that is not idempotent needs a connection that responds.
	ForConnection ProbeCause = "connection"
	// ForCold: it is not known whether a target is cold.
	ForCold ProbeCause = "cold"
)

// probeCandidates returns up to n targets to probe for a request, within the probe budget.
// The caller holds the mutex.
func (d *Dispatcher) probeCandidates(c *cell, req *Request, n int) []string {
	cause := ForSearch
	if n == probeStages[0] {
		cause = ForRequest
	}
	return d.withinProbeBudget(c, cause, d.chooser.ProbeCandidates(time.Now(), c.id.key, req.placementRequest(), n))
}

// withinProbeBudget returns the targets that the probe budget permits to probe, and spends
// the budget for them. The caller holds the mutex.
func (d *Dispatcher) withinProbeBudget(c *cell, cause ProbeCause, ids []string) []string {
	now := time.Now()
	return slices.DeleteFunc(ids, func(id string) bool {
		if !d.probes.Spend(now, id, c.probeDivisor) {
			return true
		}
		d.limits.RecordProbe(now, id)
		d.cfg.OnProbe(c.id.service, cause)
		return false
	})
}

// SpendProbe reports whether a target may be probed before a request that was granted it, and
// spends the probe budget for that. Targets that do not report their load respond to a probe only
// when they have a free slot.
func (d *Dispatcher) SpendProbe(target string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.cells[d.chooser.Group(target)]
	return c != nil && d.chooser.MayProbe(time.Now(), target) && len(d.withinProbeBudget(c, ForConnection, []string{target})) > 0
}

// probe probes targets for their load. It returns when all have responded, when enough
// returns true after a response, or after probeWait, and reports whether enough did.
// Responses that arrive later are still recorded.
func (d *Dispatcher) probe(ctx context.Context, c *cell, ids []string, enough func() bool) bool {
	if len(ids) == 0 {
		return false
	}
	d.mu.Lock()
	healthPath := c.healthPath
	d.mu.Unlock()
	responded := make(chan struct{}, len(ids))
	for _, id := range ids {
		d.g.Go("ask", func(ctx context.Context) error {
			sent := time.Now()
			report, err := d.cfg.Prober.Probe(ctx, id, healthPath)
			d.recordProbe(id, sent, report, err)
			responded <- struct{}{}
			return nil
		})
	}
	timer := time.NewTimer(probeWait)
	defer timer.Stop()
	for range ids {
		select {
		case <-responded:
			if enough() {
				return true
			}
		case <-timer.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
	return false
}

func (d *Dispatcher) recordProbe(id string, sent time.Time, r targets.ProbeResult, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if err == nil {
		d.observeLimit(now, id, ratelimit.Observation{Report: r.Limit, SentAt: sent, Source: ratelimit.Probe})
		d.observeCold(now, id, r.Cold, sent, ratelimit.Probe)
	} else {
		d.chooser.RecordUnreachable(now, id)
	}
	switch {
	case errors.Is(err, targets.ErrGone):
		d.chooser.MarkGone(now, id)
	case err != nil:
		d.chooser.MarkUnresponsive(id)
	case r.Full:
		d.chooser.MarkFull(now, id)
	default:
		d.chooser.SetHealthy(id, r.Healthy)
		d.chooser.RecordProbed(now, id, r.LoadKnown)
		if r.LoadKnown {
			d.chooser.RecordLoad(now, id, r.Load)
		}
	}
}
