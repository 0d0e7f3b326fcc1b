package entry

// This file defines CrashTracker, which collects the evidence on requests that crash the targets that run
// them. What is decided by it is in block.go.
//
// When a connection breaks while a request runs and the target refuses connections right afterwards, the
// target is taken to have crashed. The host that had the request tells all others, so that each of them can
// decide by itself, and none is needed for that: hosts that go take no evidence with them, and one that starts
// gets it from another. If such a request ends well at any host, its evidence is cleared at all.

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"tamaracktiller.example/tamaracktiller/internal/fleet/directory"
	"tamaracktiller.example/tamaracktiller/internal/kernel/group"
	"tamaracktiller.example/tamaracktiller/internal/traffic/crash"
)

const (
	// crashCheckDelay is the time between the loss of a connection and the check whether the
	// target refuses connections. A process takes some milliseconds to exit.
	crashCheckDelay = 30 * time.Millisecond
	// reportRate and reportBurst limit the evidence that a host sends to all others, in messages for each host.
	// Beyond that only the coordinators of a request get it: when most requests crash their targets, none is
	// blocked anyway.
	reportRate  = 2
	reportBurst = 20
)

// CrashTrackerConfig holds the dependencies of a CrashTracker.
type CrashTrackerConfig struct {
	Self  string
	Hosts func() map[string]directory.Host
	Send  func(to []netip.AddrPort, e crash.Evidence)
	// ConnectionRefused reports whether a target refuses connections.
	ConnectionRefused func(ctx context.Context, target string) bool
	// Store keeps the blocks; nil to keep them in memory only.
	Store BlockStore
	Log   *logrus.Entry
}

// CrashTracker tracks which requests crash targets and which of them are blocked. It is
// safe for concurrent use.
type CrashTracker struct {
	cfg CrashTrackerConfig
	g   *group.Group
	// started is the origin of the times passed to detector. They are derived from the
	// monotonic clock, so steps of the wall clock don't affect them.
	started time.Time
	// numBlocked and numSuspects are the sizes of the maps below. While they are zero, no
	// fingerprint needs to be computed.
	numBlocked, numSuspects atomic.Int32
	// served counts the attempts that ended well, by service.
	served counters

	mu       sync.Mutex
	detector *crash.Detector
	// suspects holds the requests with evidence against them, and blocked those that are rejected.
	suspects map[uint64]suspect
	blocked  map[uint64]block
	// cleared holds the times of the last successes that cleared evidence.
	cleared map[uint64]time.Time
	// stored is what the store holds, as of the last snapshot. storing is set while this host writes to it, and
	// written holds the times of its last writes.
	stored  storedBlocks
	storing bool
	written map[uint64]time.Time
	reports reportBudget
}

// suspect is a request with evidence against it.
type suspect struct {
	service string
	// servedBefore is the number of attempts of the service that had ended well when the first crash became
	// known.
	servedBefore int64
	// deciding is set while the host waits before it decides.
	deciding bool
}

// NewCrashTracker returns a tracker without evidence. Its goroutines run in g.
func NewCrashTracker(cfg CrashTrackerConfig, g *group.Group) *CrashTracker {
	c := &CrashTracker{cfg: cfg, g: g, started: time.Now(), detector: crash.NewDetector(), suspects: map[uint64]suspect{}, blocked: map[uint64]block{}, cleared: map[uint64]time.Time{}, written: map[uint64]time.Time{}}
	c.reports = reportBudget{left: reportBurst, at: c.started}
	return c
}

func (c *CrashTracker) now() time.Time { return c.started.Add(time.Since(c.started)) }

// attemptEnded checks whether an attempt crashed its target, or, if it ended well, clears
// earlier evidence against its request.
func (c *CrashTracker) attemptEnded(req *clientRequest, r *attempt) {
	switch {
	case c == nil:
	case r.outcome == succeeded, r.outcome == targetError && r.info.Signed:
		c.served.add(req.service.Name)
		if c.numSuspects.Load() > 0 {
			c.recordSuccess(req.fingerprint())
		}
	case r.brokeOff():
		ended := c.now()
		e := crash.Evidence{Kind: crash.TargetCrashed, Fingerprint: req.fingerprint(), Target: r.grant.ID, Service: req.service.Name, Ran: r.elapsed}
		c.g.Go("check for a crashed target", func(ctx context.Context) error {
			time.Sleep(crashCheckDelay)
			if c.cfg.ConnectionRefused(ctx, e.Target) {
				e.Age = c.now().Sub(ended)
				c.cfg.Log.WithFields(logrus.Fields{fieldRequest: req.id, fieldTarget: e.Target, fieldFingerprint: e.Fingerprint, "ran-ms": e.Ran.Milliseconds()}).Info("target died of a request")
				c.report(e)
			}
			return nil
		})
	}
}

// brokeOff reports whether the connection of an attempt broke before the end of the response.
func (r *attempt) brokeOff() bool {
	return r.outcome == outcomeUnknown && !errors.Is(r.cause, errNotFromTarget) && !errors.Is(r.cause, errResponseTooLarge)
}

// recordSuccess clears the evidence against a request on all hosts, if there is any.
func (c *CrashTracker) recordSuccess(fingerprint uint64) {
	c.mu.Lock()
	known := c.detector.Has(fingerprint) && c.reports.take(c.now())
	c.mu.Unlock()
	if known {
		e := crash.Evidence{Kind: crash.Cleared, Fingerprint: fingerprint}
		c.HandleEvidence(e)
		c.tellAll(e)
	}
}

// report sends evidence to all hosts, or to the coordinators only if there is too much.
func (c *CrashTracker) report(e crash.Evidence) {
	c.mu.Lock()
	all := c.reports.take(c.now())
	c.mu.Unlock()
	c.HandleEvidence(e)
	if all {
		c.tellAll(e)
		return
	}
	c.cfg.Log.WithField(fieldFingerprint, e.Fingerprint).Info("many crashes: only the coordinators are told")
	c.tell(c.coordinators(e.Fingerprint), e)
}

// tellAll sends evidence to all other hosts.
func (c *CrashTracker) tellAll(e crash.Evidence) {
	c.tell(slices.Collect(maps.Values(c.cfg.Hosts())), e)
}

// tell sends evidence to other hosts.
func (c *CrashTracker) tell(hosts []directory.Host, e crash.Evidence) {
	to := make([]netip.AddrPort, 0, len(hosts))
	for _, h := range hosts {
		if h.Name != c.cfg.Self {
			to = append(to, h.PeerAddress)
		}
	}
	if len(to) > 0 {
		c.cfg.Send(to, e)
	}
}

// HandleEvidence handles evidence from this or another host. It does not block.
func (c *CrashTracker) HandleEvidence(e crash.Evidence) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch e.Kind {
	case crash.TargetCrashed:
		c.addCrash(e)
	case crash.Cleared:
		c.clear(e.Fingerprint)
	case crash.Blocked:
		c.handleBlock(e.Fingerprint)
	}
}

// addCrash adds the crash of a target. The caller holds c.mu.
func (c *CrashTracker) addCrash(e crash.Evidence) {
	now := c.now()
	at := now.Add(-max(0, e.Age))
	if at.Before(c.cleared[e.Fingerprint]) {
		// The request has ended well since.
		return
	}
	isNew := c.detector.Add(now, crash.Crash{Fingerprint: e.Fingerprint, Target: e.Target, UnixMilli: at.UnixMilli(), RanMilli: max(0, e.Ran).Milliseconds()})
	if s, ok := c.suspects[e.Fingerprint]; !ok || s.service == "" && e.Service != "" {
		s.service, s.servedBefore = e.Service, c.served.of(e.Service)
		c.suspects[e.Fingerprint] = s
	}
	c.expireSuspects()
	c.cfg.Log.WithFields(logrus.Fields{fieldTarget: e.Target, fieldFingerprint: e.Fingerprint, "age-ms": e.Age.Milliseconds(), "ran-ms": e.Ran.Milliseconds(), "new": isNew}).Info("told of a death")
	if isNew {
		c.considerBlock(e.Fingerprint, at)
	}
}

// expireSuspects forgets the requests against which there is no evidence any more. The caller holds c.mu.
func (c *CrashTracker) expireSuspects() {
	for fingerprint := range c.suspects {
		if !c.detector.Has(fingerprint) {
			delete(c.suspects, fingerprint)
		}
	}
	c.numSuspects.Store(int32(len(c.suspects))) //nolint:gosec // The detector bounds them.
}

// clear drops the evidence against a request that ended well, and lifts its block. The caller holds c.mu.
func (c *CrashTracker) clear(fingerprint uint64) {
	_, isBlocked := c.blocked[fingerprint]
	if !c.detector.Has(fingerprint) && !isBlocked {
		return
	}
	c.detector.Clear(fingerprint)
	c.expireSuspects()
	c.cleared[fingerprint] = c.now()
	c.expireCleared()
	c.cfg.Log.WithFields(logrus.Fields{fieldFingerprint: fingerprint, "blocked": isBlocked}).Info("request ended well: evidence is cleared")
	if isBlocked {
		c.unblock(fingerprint)
	}
}

// isPoison reports whether a request crashes targets, by what this host knows. The caller holds c.mu.
func (c *CrashTracker) isPoison(fingerprint uint64) bool {
	s := c.suspects[fingerprint]
	return c.detector.IsPoison(c.now(), fingerprint, int(c.served.of(s.service)-s.servedBefore))
}

// reportBudget limits the evidence that this host sends to all others.
type reportBudget struct {
	left float64
	at   time.Time
}

// take takes one report from the budget, and reports whether there was one left.
func (b *reportBudget) take(now time.Time) bool {
	b.left, b.at = min(reportBurst, b.left+reportRate*now.Sub(b.at).Seconds()), now
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}

// counters counts events by name. It is safe for concurrent use.
type counters struct{ byName sync.Map }

func (c *counters) counter(name string) *atomic.Int64 {
	n, ok := c.byName.Load(name)
	if !ok {
		n, _ = c.byName.LoadOrStore(name, new(atomic.Int64))
	}
	counter, _ := n.(*atomic.Int64)
	return counter
}

func (c *counters) add(name string) { c.counter(name).Add(1) }

func (c *counters) of(name string) int64 { return c.counter(name).Load() }
