package dispatcher

// This file defines Dispatcher and the handling of this host's requests.

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"tamaracktiller.example/tamaracktiller/internal/account/credit"
	"tamaracktiller.example/tamaracktiller/internal/fleet/directory"
	"tamaracktiller.example/tamaracktiller/internal/kernel/group"
	"tamaracktiller.example/tamaracktiller/internal/traffic/budget"
	"tamaracktiller.example/tamaracktiller/internal/traffic/crash"
	"tamaracktiller.example/tamaracktiller/internal/traffic/eligibility"
	"tamaracktiller.example/tamaracktiller/internal/traffic/placement"
	"tamaracktiller.example/tamaracktiller/internal/traffic/ratelimit"
	"tamaracktiller.example/tamaracktiller/internal/traffic/targets"
)

const (
	// noTargetsRetryAfter is the retry delay of requests for a service without targets.
	noTargetsRetryAfter = 300 * time.Millisecond
	// maxRemoteDispatchers is the number of other hosts that are tried before this host
	// dispatches a request itself.
	maxRemoteDispatchers = 2
	// Log fields: the request ID, the target, its cell, and where a host learned something.
	fieldRequest = "request"
	fieldTarget  = "target"
	fieldCell    = "cell"
	fieldSource  = "source"
)

// Prober probes targets for their load.
type Prober interface {
	Probe(ctx context.Context, id, healthPath string) (targets.ProbeResult, error)
}

// Config holds the dependencies of a dispatcher.
type Config struct {
	// Self is the name of this host.
	Self      string
	Prober    Prober
	Placement placement.Config
	// ProbesPerSecond bounds the probes per target, summed over all hosts.
	ProbesPerSecond float64
	// Send sends a message to another host. If it is nil, the host dispatches all its
	// requests itself.
	Send func(to netip.AddrPort, m Message) error
	Log  *logrus.Entry
	// OnProbe is called for each probe sent to a target of the service.
	OnProbe func(service string, cause ProbeCause)
	// OnEvidence is called with the evidence of crashes that other hosts report. It must not
	// block, and may be nil.
	OnEvidence func(e crash.Evidence)
	// OnCredit is called with the messages of other hosts on the quotas of client accounts. It must
	// not block, and may be nil.
	OnCredit func(from netip.AddrPort, m credit.Message)
	// Fresh reports whether the snapshot is up to date. If it is nil, it always is.
	Fresh func(now time.Time) bool
}

// Dispatcher assigns targets to requests of this host and of other hosts. It is safe for
// concurrent use.
type Dispatcher struct {
	cfg      Config
	g        *group.Group
	draining atomic.Bool
	// cutOff is set while this host reaches targets only through other hosts.
	cutOff atomic.Bool

	// mu guards the fields below.
	mu      sync.Mutex
	rng     *rand.Rand
	chooser *placement.Chooser
	// limits are those of chooser.
	limits   *ratelimit.Limits
	probes   *budget.Probes
	snapshot *directory.Snapshot
	// withheld holds the targets that get no requests although they have an entry, with the
	// reasons; nil if there are none.
	withheld map[string]eligibility.Reason
	// cells holds the cells by key, and services those of the current snapshot by service.
	cells    map[string]*cell
	services map[string][]*cell
	// suspectedUntil holds the time, by host name, until which a host is not sent requests.
	suspectedUntil map[string]time.Time
	// pending holds the channels for responses of other hosts, by request ID.
	pending map[uint64]chan Message
	// remoteRequests holds the requests of other hosts.
	remoteRequests map[remoteKey]*remoteRequest
	// lastReceived is the time of the last message from a host, by its address.
	lastReceived map[netip.AddrPort]time.Time
	// recentGrants is the time at which a grant of another host was received, by request
	// ID. Entries are kept for remoteRetention.
	recentGrants map[uint64]time.Time
	// loggedProfiles holds the last logged profile summary of each service, and
	// profilesChecked the time of the last check for changes.
	loggedProfiles  map[string]profileSummary
	profilesChecked time.Time
	// loggedLimits holds the targets about whose rate limits a line was logged a moment ago.
	loggedLimits map[string]*loggedLimit
	// cold is what is known of cold targets beyond limits.
	cold coldTracker
	// hostPauses holds the times until which targets want no requests of other hosts, by target
	// and host.
	hostPauses map[string]map[string]time.Time
	lastID     uint64
}

// New returns a dispatcher without targets. Its goroutines run in g.
func New(cfg Config, g *group.Group) *Dispatcher {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	chooser := placement.NewChooser(cfg.Placement, rng)
	return &Dispatcher{
		cfg: cfg, g: g, rng: rng, chooser: chooser, limits: chooser.Limits(), probes: budget.NewProbes(time.Now(), cfg.ProbesPerSecond),
		snapshot: &directory.Snapshot{}, cells: map[string]*cell{}, services: map[string][]*cell{}, suspectedUntil: map[string]time.Time{},
		pending: map[uint64]chan Message{}, remoteRequests: map[remoteKey]*remoteRequest{}, lastReceived: map[netip.AddrPort]time.Time{}, recentGrants: map[uint64]time.Time{}, loggedProfiles: map[string]profileSummary{}, loggedLimits: map[string]*loggedLimit{}, hostPauses: map[string]map[string]time.Time{}, lastID: rng.Uint64(),
	}
}

// SetProbeRate changes the maximum rate of probes per target and second, over all hosts.
func (d *Dispatcher) SetProbeRate(perSecond float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.probes.SetRate(perSecond)
}

// SetSnapshot applies a new snapshot. restarted lists the targets that restarted under the
// same ID; their state is reset.
func (d *Dispatcher) SetSnapshot(s *directory.Snapshot, restarted []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.dropGoneHosts(now, d.snapshot.Hosts, s.Hosts)
	d.snapshot, d.withheld = s, withheldTargets(s)
	for _, id := range restarted {
		d.chooser.Reset(now, id)
		delete(d.hostPauses, id)
	}
	all := map[string][]placement.Spec{}
	d.services = map[string][]*cell{}
	for service, list := range s.Targets {
		for id, part := range splitCells(service, list, countEvacuated(s.Withheld[service])) {
			c := d.cells[id.key]
			if c == nil {
				c = newCell(id)
				d.cells[id.key] = c
			}
			c.update(now, s, part, d.cfg.Self)
			d.services[service] = append(d.services[service], c)
			all[id.key] = specs(service, part)
		}
		d.setHome(d.services[service])
	}
	d.chooser.SetWithheld(d.withheld)
	d.chooser.SetColdRates(coldRates(s))
	d.chooser.SetTargets(all)
	d.updateCold(now, s)
	d.probes.Retain(d.chooser.Has)
	for key, c := range d.cells {
		if _, ok := all[key]; !ok {
			c.registered = 0
			c.setRank(now, unranked)
		}
		c.targets, c.slots = d.chooser.Available(key)
	}
	for _, c := range d.cells {
		if c.targets == 0 {
			d.redirectQueue(c)
		}
	}
}

// redirectQueue redirects the queued requests of a cell that has no available targets any more to
// another cell of the service, or rejects them if there is none. The caller holds the
// mutex.
func (d *Dispatcher) redirectQueue(c *cell) {
	for r, w := range c.waiters {
		c.queue.Remove(r)
		delete(c.waiters, r)
		w.done = true
		if other := d.otherCell(c); other != nil {
			w.reply(response{redirect: other})
			continue
		}
		w.reply(response{rejected: d.emptyRejection(c)})
	}
}

// Drain makes the dispatcher turn away new requests of other hosts, which then try another
// host or dispatch the requests themselves. Those that wait keep their places until HandOver.
func (d *Dispatcher) Drain() { d.draining.Store(true) }

// HandOver turns away the requests of other hosts that still wait. It is called some time after
// Drain: until then the next dispatcher learns from the new requests how long others wait.
func (d *Dispatcher) HandOver() {
	if n := d.turnAwayWaiting(); n > 0 {
		d.cfg.Log.WithField("waiting", n).Info("waiting requests of other hosts are handed over")
	}
}

// SetCutOff tells whether this host reaches targets only through other hosts. Meanwhile it
// turns away the requests of other hosts, including those that wait, and lets other hosts
// dispatch its own, since it cannot judge targets by its own links.
func (d *Dispatcher) SetCutOff(cutOff bool) {
	d.cutOff.Store(cutOff)
	if cutOff {
		d.turnAwayWaiting()
	}
}

// turnAwayWaiting tells the hosts whose requests wait here to ask another one, and returns the
// number of requests.
func (d *Dispatcher) turnAwayWaiting() int {
	n := 0
	d.mu.Lock()
	defer d.mu.Unlock()
	for key, r := range d.remoteRequests {
		if r.grant != nil || r.waiter.done {
			continue
		}
		r.waiter.done = true
		if r.waiter.queued != nil {
			r.cell.queue.Remove(r.waiter.queued)
			delete(r.cell.waiters, r.waiter.queued)
		}
		delete(d.remoteRequests, key)
		d.send(key.from, Message{Kind: kindUnavailable, ID: key.id})
		n++
	}
	return n
}

// turnsAway reports whether this host does not dispatch for other hosts.
func (d *Dispatcher) turnsAway() bool { return d.draining.Load() || d.cutOff.Load() }

// Place waits for a target for a request. The error is a *RejectedError or that of ctx.
func (d *Dispatcher) Place(ctx context.Context, req Request) (Grant, error) {
	return d.placeAllowed(ctx, req, d.place)
}

// place waits for a target that a dispatcher grants to a request.
func (d *Dispatcher) place(ctx context.Context, req Request) (Grant, error) {
	c := d.selectCell(req)
	if c == nil {
		return Grant{}, d.noTargets(req.Service)
	}
	for range maxRedirects {
		grant, err := d.placeInCell(ctx, c, req)
		var redirect *redirectError
		if !errors.As(err, &redirect) {
			return grant, err
		}
		c, req.Redirected = redirect.to, true
	}
	return Grant{}, d.noTargets(req.Service)
}

// maxRedirects bounds the cells that a request is sent to. One redirect is for lack of capacity; the
// others are for cells that lose all their targets while the request waits there.
const maxRedirects = 4

// redirectError reports that a request should go to another cell, which has more capacity.
type redirectError struct{ to *cell }

// Error implements error.
func (e *redirectError) Error() string {
	return "dispatcher: cell " + e.to.id.key + " has more capacity"
}

// placeInCell waits for a target in a cell. It may return a *redirectError.
func (d *Dispatcher) placeInCell(ctx context.Context, c *cell, req Request) (Grant, error) {
	for _, host := range d.remoteDispatchers(c) {
		grant, err := d.placeRemote(ctx, c, host, req)
		if !errors.Is(err, errUnreachable) {
			return grant, err
		}
	}
	return d.placeLocal(ctx, c, req)
}

func (d *Dispatcher) selectCell(req Request) *cell {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.bestCell(time.Now(), req)
}

// remoteDispatchers returns the other hosts to try for dispatching a request in a cell,
// best first. The result is empty if this host should dispatch the request.
func (d *Dispatcher) remoteDispatchers(c *cell) []directory.Host {
	if d.cfg.Send == nil {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	var hosts []directory.Host
	for _, h := range c.ranked {
		if h.Name == d.cfg.Self && d.cutOff.Load() {
			continue
		}
		if h.Name == d.cfg.Self || len(hosts) == maxRemoteDispatchers {
			break
		}
		if now.After(d.suspectedUntil[h.Name]) {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// placeLocal dispatches a request of this host on this host.
func (d *Dispatcher) placeLocal(ctx context.Context, c *cell, req Request) (Grant, error) {
	responses := make(chan response, maxResponses)
	d.mu.Lock()
	req.Paused = d.chooser.Paused(time.Now(), c.id.key)
	d.mu.Unlock()
	w := &waiter{request: req, from: d.cfg.Self, reply: func(res response) { responses <- res }}
	d.admit(ctx, c, w)
	for {
		select {
		case res := <-responses:
			switch {
			case res.redirect != nil:
				return Grant{}, &redirectError{to: res.redirect}
			case res.rejected != nil:
				return Grant{}, res.rejected
			case !res.queued:
				return res.grant, nil
			}
		case <-ctx.Done():
			d.withdraw(c, w)
			select {
			case res := <-responses:
				if res.rejected == nil && res.redirect == nil && !res.queued {
					d.Done(res.grant, Outcome{Result: placement.Cancelled})
				}
			default:
			}
			return Grant{}, ctx.Err()
		}
	}
}

// maxResponses is the maximum number of responses to one request: queued, then a grant, a
// rejection or a redirect.
const maxResponses = 2

// Done records the outcome of the attempt for which a grant was made.
func (d *Dispatcher) Done(g Grant, o Outcome) {
	now := time.Now()
	if g.dispatchedBy != "" {
		d.sendDone(g, o)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.cells[g.cell]
	if c == nil {
		return
	}
	if g.dispatchedBy == "" {
		d.endAttempt(now, placement.ThisHost, g, o)
	} else {
		d.chooser.RecordRun(now, g.Choice, now.Sub(g.at), o.Result)
	}
	d.recordOutcome(now, g, o)
	d.dispatchQueue(now, c)
}

// endAttempt records the end of an attempt of a host for which this host made the grant.
func (d *Dispatcher) endAttempt(now time.Time, host string, g Grant, o Outcome) {
	d.chargeAccount(now, g, o)
	if g.through != "" && o.Result == placement.Lost {
		d.recordHostPauses(now, g.through, []Pause{{Target: g.ID, Left: helperRetryTime}})
	}
	if o.Result == placement.Rejected && o.Pause > 0 {
		d.chooser.TurnedAwayBy(now, host, g.at, g.ID, o.Pause)
		return
	}
	d.chooser.DoneBy(now, host, g.at, g.ID, o.Result)
}

// chargeAccount records what a request took for the share of its account.
func (d *Dispatcher) chargeAccount(now time.Time, g Grant, o Outcome) {
	c := d.cells[g.cell]
	switch {
	case c == nil:
	case o.Result == placement.Rejected:
		c.queue.RecordNotRun(g.account, g.typicalTime)
	case o.Result == placement.Served && g.ServiceTime > 0:
		took := float64(now.Sub(g.at)-g.QueueTime) * float64(g.typicalTime) / float64(g.ServiceTime)
		c.queue.RecordEnd(g.account, g.typicalTime, time.Duration(max(0, took)))
	}
}

// recordOutcome records what the outcome of an attempt says about the target.
func (d *Dispatcher) recordOutcome(now time.Time, g Grant, o Outcome) {
	id := g.ID
	if o.Gone {
		d.chooser.MarkGone(now, id)
	}
	d.observeLimit(now, id, ratelimit.Observation{Report: o.Limit, SentAt: g.at, Source: ratelimit.Response})
	d.observeCold(now, id, o.Cold, g.at, ratelimit.Response)
	if o.Result == placement.Unreachable {
		d.chooser.RecordUnreachable(now, id)
	}
	if o.Result == placement.Served {
		d.chooser.RecordResponse(id, o.LoadKnown)
	}
	if o.LoadKnown {
		d.chooser.RecordLoad(now, id, o.Load)
	}
}
