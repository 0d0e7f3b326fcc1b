package entry

// This file defines CrashTracker, which detects requests that crash the targets that run
// them and blocks them on all hosts.
//
// When a connection breaks while a request runs and the target refuses connections right
// afterwards, the target is taken to have crashed. Every host reports the crashes of one
// request to the same two hosts, its coordinators, so that the evidence survives the loss or the
// restart of any host. When three targets have crashed, the first coordinator blocks the request on
// all hosts; the second one does so if it does not hear of that. If such a request succeeds on a host
// that reported a crash, the evidence is cleared, since the targets crashed for another reason.

import (
	"cmp"
	"context"
	"maps"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"tamaracktiller.example/tamaracktiller/internal/contract/routing"
	"tamaracktiller.example/tamaracktiller/internal/fleet/directory"
	"tamaracktiller.example/tamaracktiller/internal/kernel/group"
	"tamaracktiller.example/tamaracktiller/internal/traffic/crash"
)

const (
	// crashCheckDelay is the time between the loss of a connection and the check whether the
	// target refuses connections. A process takes some milliseconds to exit.
	crashCheckDelay = 30 * time.Millisecond
	// blockDelay is the time between the third crash and the block. A success of the same
	// request during that time clears the evidence. It is shorter than the time after which
	// retries count against the fleet.
	blockDelay = time.Second
	// numCoordinators is the number of hosts that collect the evidence on a request, and standbyDelay the
	// time for which the second one waits for the block of the first.
	numCoordinators = 2
	standbyDelay    = 500 * time.Millisecond
	// watchDuration is the time after a crash during which a success of the same request
	// clears the evidence.
	watchDuration = 30 * time.Second
	// maxBlocked bounds the number of blocked fingerprints.
	maxBlocked = 1024
)

// CrashTrackerConfig holds the dependencies of a CrashTracker.
type CrashTrackerConfig struct {
	Self  string
	Hosts func() map[string]directory.Host
	Send  func(to netip.AddrPort, e crash.Evidence)
	// ConnectionRefused reports whether a target refuses connections.
	ConnectionRefused func(ctx context.Context, target string) bool
	Log               *logrus.Entry
}

// CrashTracker tracks which requests crash targets and which of them are blocked. It is
// safe for concurrent use.
type CrashTracker struct {
	cfg CrashTrackerConfig
	g   *group.Group
	// started is the origin of the times passed to detector. They are derived from the
	// monotonic clock, so steps of the wall clock don't affect them.
	started time.Time
	// numBlocked and numWatched are the sizes of the maps below. While they are zero, no
	// fingerprint needs to be computed.
	numBlocked, numWatched atomic.Int32

	mu       sync.Mutex
	detector *crash.Detector
	blocked  map[uint64]time.Time
	watched  map[uint64]time.Time
}

// NewCrashTracker returns a tracker without evidence. Its goroutines run in g.
func NewCrashTracker(cfg CrashTrackerConfig, g *group.Group) *CrashTracker {
	return &CrashTracker{cfg: cfg, g: g, started: time.Now(), detector: crash.NewDetector(), blocked: map[uint64]time.Time{}, watched: map[uint64]time.Time{}}
}

func (c *CrashTracker) now() time.Time { return c.started.Add(time.Since(c.started)) }

// isBlocked reports whether a request must not be sent to any target.
func (c *CrashTracker) isBlocked(req *clientRequest) bool {
	if c == nil || c.numBlocked.Load() == 0 {
		return false
	}
	fingerprint := req.fingerprint()
	c.mu.Lock()
	defer c.mu.Unlock()
	at, ok := c.blocked[fingerprint]
	return ok && time.Since(at) < crash.EvidenceTTL
}

// attemptEnded checks whether an attempt crashed its target, or, if it succeeded, clears
// earlier evidence against its request.
func (c *CrashTracker) attemptEnded(req *clientRequest, r *attempt) {
	switch {
	case c == nil:
	case r.outcome == succeeded && c.numWatched.Load() > 0:
		c.recordSuccess(req.fingerprint())
	case r.outcome == outcomeUnknown && r.status == 0:
		fingerprint, target, ran, ended := req.fingerprint(), r.grant.ID, r.elapsed, c.now()
		c.g.Go("check for a crashed target", func(ctx context.Context) error {
			time.Sleep(crashCheckDelay)
			if c.cfg.ConnectionRefused(ctx, target) {
				c.cfg.Log.WithFields(logrus.Fields{fieldRequest: req.id, fieldTarget: target, fieldFingerprint: fingerprint, "ran-ms": ran.Milliseconds()}).Info("target died of a request")
				c.watchForSuccess(fingerprint)
				c.report(crash.Evidence{Kind: crash.TargetCrashed, Fingerprint: fingerprint, Target: target, Age: c.now().Sub(ended), Ran: ran})
			}
			return nil
		})
	}
}

// watchForSuccess makes successes of a request clear the evidence for watchDuration.
func (c *CrashTracker) watchForSuccess(fingerprint uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for old, at := range c.watched {
		if time.Since(at) > watchDuration {
			delete(c.watched, old)
		}
	}
	c.watched[fingerprint] = time.Now()
	c.numWatched.Store(int32(len(c.watched))) //nolint:gosec // A handful of crashes in watchDuration.
}

func (c *CrashTracker) recordSuccess(fingerprint uint64) {
	c.mu.Lock()
	at, ok := c.watched[fingerprint]
	delete(c.watched, fingerprint)
	c.numWatched.Store(int32(len(c.watched))) //nolint:gosec // As above.
	c.mu.Unlock()
	if ok && time.Since(at) <= watchDuration {
		c.report(crash.Evidence{Kind: crash.Cleared, Fingerprint: fingerprint})
	}
}

// coordinators returns the hosts that decide whether a fingerprint is blocked, the first one first.
func (c *CrashTracker) coordinators(fingerprint uint64) []directory.Host {
	score := func(h directory.Host) uint64 { return xxhash.Sum64String(h.Name) ^ fingerprint }
	list := slices.SortedFunc(maps.Values(c.cfg.Hosts()), func(a, b directory.Host) int { return cmp.Compare(score(a), score(b)) })
	return list[:min(len(list), numCoordinators)]
}

// report sends evidence to the coordinators.
func (c *CrashTracker) report(e crash.Evidence) {
	list := c.coordinators(e.Fingerprint)
	if len(list) == 0 {
		c.HandleEvidence(e)
	}
	for _, host := range list {
		if host.Name == c.cfg.Self {
			c.HandleEvidence(e)
			continue
		}
		c.cfg.Send(host.PeerAddress, e)
	}
}

// isStandby reports whether another host comes before this one in deciding on a fingerprint.
func (c *CrashTracker) isStandby(fingerprint uint64) bool {
	list := c.coordinators(fingerprint)
	return len(list) > 1 && list[1].Name == c.cfg.Self
}

// HandleEvidence handles evidence from this or another host. It does not block.
func (c *CrashTracker) HandleEvidence(e crash.Evidence) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch e.Kind {
	case crash.TargetCrashed:
		c.cfg.Log.WithFields(logrus.Fields{fieldTarget: e.Target, fieldFingerprint: e.Fingerprint}).Info("told of a death")
		now := c.now()
		wasPoison := c.detector.IsPoison(now, e.Fingerprint, 0)
		c.detector.Add(now, crash.Crash{Fingerprint: e.Fingerprint, Target: e.Target, UnixMilli: now.Add(-max(0, e.Age)).UnixMilli(), RanMilli: max(0, e.Ran).Milliseconds()})
		delay := blockDelay
		if _, ok := c.blocked[e.Fingerprint]; ok {
			// The reporting host started after the block and does not know of it: the
			// block is sent again without delay.
			wasPoison, delay = false, 0
		}
		if !wasPoison && c.detector.IsPoison(now, e.Fingerprint, 0) {
			c.blockAfter(e.Fingerprint, delay)
		}
	case crash.Cleared:
		c.detector.Clear(e.Fingerprint)
	case crash.Blocked:
		c.block(e.Fingerprint)
	}
}

// blockAfter blocks a fingerprint on all hosts after a delay, unless its evidence is cleared, or the
// coordinator before this one blocks it until then.
func (c *CrashTracker) blockAfter(fingerprint uint64, delay time.Duration) {
	decided, standby := time.Now(), c.isStandby(fingerprint)
	if standby {
		delay += standbyDelay
	}
	c.g.Go("block", func(context.Context) error {
		time.Sleep(delay)
		c.blockUnlessCleared(fingerprint, func(at time.Time) bool { return standby && !at.Before(decided) })
		return nil
	})
}

// blockUnlessCleared blocks a fingerprint on all hosts unless its evidence was cleared. done reports
// whether a block of which this host learned at a time makes that unnecessary.
func (c *CrashTracker) blockUnlessCleared(fingerprint uint64, done func(at time.Time) bool) {
	c.mu.Lock()
	at, ok := c.blocked[fingerprint]
	isDone := ok && done(at)
	shouldBlock := !isDone && c.detector.IsPoison(c.now(), fingerprint, 0)
	if shouldBlock {
		c.block(fingerprint)
	}
	c.mu.Unlock()
	if !shouldBlock {
		return
	}
	for _, h := range c.cfg.Hosts() {
		if h.Name != c.cfg.Self {
			c.cfg.Send(h.PeerAddress, crash.Evidence{Kind: crash.Blocked, Fingerprint: fingerprint})
		}
	}
}

// block blocks a fingerprint on this host. The caller holds c.mu.
func (c *CrashTracker) block(fingerprint uint64) {
	for old, at := range c.blocked {
		if time.Since(at) > crash.EvidenceTTL || len(c.blocked) >= maxBlocked {
			delete(c.blocked, old)
		}
	}
	c.blocked[fingerprint] = time.Now()
	c.numBlocked.Store(int32(len(c.blocked))) //nolint:gosec // At most maxBlocked.
	c.cfg.Log.WithField(fieldFingerprint, fingerprint).Warn("requests that crash targets are refused")
}

// fingerprint returns a hash of the client account, the method, the host, the path and the body of the
// request. A target gets the name of the account with the request, so requests of different accounts
// differ: one may crash targets while the others succeed. Of a body that is streamed, the length and the
// beginning count: more is not known before it is sent, nor when a target has crashed in the middle of
// it. Uploads that differ only behind that are taken for one.
func (req *clientRequest) fingerprint() uint64 {
	d := xxhash.New()
	if req.account != nil {
		// No method begins with a zero byte, so requests without an account have other fingerprints.
		_, _ = d.WriteString("\x00" + req.account.Name + "\x00")
	}
	for _, part := range []string{req.incoming.Method, routing.HostName(req.incoming.Host), req.incoming.URL.RequestURI()} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(req.body)
	if req.streamed {
		_, _ = d.WriteString(strconv.FormatUint(req.prefixHash, 16) + " " + strconv.FormatInt(req.incoming.ContentLength, 10))
	}
	return d.Sum64()
}
