package entry

// This file defines Crashes: how hosts find and refuse requests that crash each target
// that begins to run them.
//
// A connection that broke while a request ran, to a target that refuses connections
// right after, is a death. All hosts tell the deaths of one request to the same host,
// its coordinator, which blocks such requests when three targets died. A request that
// is answered after a death of its like clears it, since the targets died of something
// else.

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"tamaracktiller.example/tamaracktiller/internal/fleet/directory"
	"tamaracktiller.example/tamaracktiller/internal/kernel/group"
	"tamaracktiller.example/tamaracktiller/internal/traffic/crash"
)

const (
	// crashLook is the time between the end of a connection and the look at whether
	// the target is gone: a process that ends takes some milliseconds.
	crashLook = 30 * time.Millisecond
	// crashSettle is the time between the third death and the block, in which answers
	// to requests of the like may clear it. It is below the time from which retries
	// count against the fleet.
	crashSettle = time.Second
	// watchTime is the time for which answers to requests of the like are looked for
	// after a death.
	watchTime = 30 * time.Second
	// maxBlocked bounds the fingerprints that are blocked.
	maxBlocked = 1024
)

// CrashConfig holds the dependencies of Crashes.
type CrashConfig struct {
	Self  string
	Hosts func() map[string]directory.Host
	Send  func(to netip.AddrPort, e crash.Evidence)
	// Refuses reports whether a target refuses connections.
	Refuses func(ctx context.Context, target string) bool
	Log     *logrus.Entry
}

// Crashes is what a host knows of requests that crash targets. It is safe for concurrent
// use.
type Crashes struct {
	cfg CrashConfig
	g   *group.Group
	// began is the start of the clock of deaths, which no step of the time moves.
	began time.Time
	// blocks and watched are the lengths of the maps below, so that most requests
	// need no fingerprint.
	blocks, watched atomic.Int32

	mu      sync.Mutex
	guard   *crash.Guard
	blocked map[uint64]time.Time
	watches map[uint64]time.Time
}

// NewCrashes returns a host's knowledge without evidence. Its goroutines run in g.
func NewCrashes(cfg CrashConfig, g *group.Group) *Crashes {
	return &Crashes{cfg: cfg, g: g, began: time.Now(), guard: crash.NewGuard(), blocked: map[uint64]time.Time{}, watches: map[uint64]time.Time{}}
}

func (c *Crashes) now() time.Time { return c.began.Add(time.Since(c.began)) }

// refuses reports whether a request is refused.
func (c *Crashes) refuses(j *journey) bool {
	if c == nil || c.blocks.Load() == 0 || j.stream {
		return false
	}
	fingerprint := j.fingerprint()
	c.mu.Lock()
	defer c.mu.Unlock()
	at, ok := c.blocked[fingerprint]
	return ok && time.Since(at) < crash.Memory
}

// ended takes in how a send ended.
func (c *Crashes) ended(j *journey, r *result) {
	switch {
	case c == nil || j.stream:
	case r.meaning == answered && c.watched.Load() > 0:
		c.answered(j.fingerprint())
	case r.meaning == lost && r.status == 0:
		fingerprint, target := j.fingerprint(), r.grant.ID
		c.g.Go("look for a crash", func(ctx context.Context) error {
			time.Sleep(crashLook)
			if c.cfg.Refuses(ctx, target) {
				c.cfg.Log.WithFields(logrus.Fields{fieldRequest: j.id, fieldTarget: target, fieldFingerprint: fingerprint}).Info("target died of a request")
				c.watch(fingerprint)
				c.tell(crash.Evidence{Kind: crash.TargetDied, Fingerprint: fingerprint, Target: target})
			}
			return nil
		})
	}
}

// watch looks for answers to requests of the like for some time.
func (c *Crashes) watch(fingerprint uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for old, at := range c.watches {
		if time.Since(at) > watchTime {
			delete(c.watches, old)
		}
	}
	c.watches[fingerprint] = time.Now()
	c.watched.Store(int32(len(c.watches))) //nolint:gosec // A handful of deaths in half a minute.
}

func (c *Crashes) answered(fingerprint uint64) {
	c.mu.Lock()
	at, ok := c.watches[fingerprint]
	delete(c.watches, fingerprint)
	c.watched.Store(int32(len(c.watches))) //nolint:gosec // As above.
	c.mu.Unlock()
	if ok && time.Since(at) <= watchTime {
		c.tell(crash.Evidence{Kind: crash.Cleared, Fingerprint: fingerprint})
	}
}

// coordinator returns the host that decides on requests with a fingerprint.
func (c *Crashes) coordinator(fingerprint uint64) (directory.Host, bool) {
	hosts := c.cfg.Hosts()
	list := make([]directory.Host, 0, len(hosts))
	for _, h := range hosts {
		list = append(list, h)
	}
	if len(list) == 0 {
		return directory.Host{}, false
	}
	score := func(h directory.Host) uint64 { return xxhash.Sum64String(h.Name) ^ fingerprint }
	return slices.MinFunc(list, func(a, b directory.Host) int { return cmp.Compare(score(a), score(b)) }), true
}

// tell tells the coordinator.
func (c *Crashes) tell(e crash.Evidence) {
	host, ok := c.coordinator(e.Fingerprint)
	if !ok || host.Name == c.cfg.Self {
		c.Take(e)
		return
	}
	c.cfg.Send(host.Peers, e)
}

// Take takes in evidence. It does not block.
func (c *Crashes) Take(e crash.Evidence) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch e.Kind {
	case crash.TargetDied:
		c.cfg.Log.WithFields(logrus.Fields{fieldTarget: e.Target, fieldFingerprint: e.Fingerprint}).Info("told of a death")
		before := c.guard.Refuses(c.now(), e.Fingerprint)
		c.guard.Died(c.now(), e.Fingerprint, e.Target)
		settle := crashSettle
		if _, ok := c.blocked[e.Fingerprint]; ok {
			// The host that tells has started since the block and does not know it.
			before, settle = false, 0
		}
		if !before && c.guard.Refuses(c.now(), e.Fingerprint) {
			c.g.Go("block", func(context.Context) error {
				time.Sleep(settle)
				c.decide(e.Fingerprint)
				return nil
			})
		}
	case crash.Cleared:
		c.guard.Clear(e.Fingerprint)
	case crash.Blocked:
		c.block(e.Fingerprint)
	}
}

// decide blocks a request on all hosts, unless it was cleared.
func (c *Crashes) decide(fingerprint uint64) {
	c.mu.Lock()
	refused := c.guard.Refuses(c.now(), fingerprint)
	if refused {
		c.block(fingerprint)
	}
	c.mu.Unlock()
	if !refused {
		return
	}
	for _, h := range c.cfg.Hosts() {
		if h.Name != c.cfg.Self {
			c.cfg.Send(h.Peers, crash.Evidence{Kind: crash.Blocked, Fingerprint: fingerprint})
		}
	}
}

// block refuses requests with a fingerprint from now on. The caller holds the mutex.
func (c *Crashes) block(fingerprint uint64) {
	for old, at := range c.blocked {
		if time.Since(at) > crash.Memory || len(c.blocked) >= maxBlocked {
			delete(c.blocked, old)
		}
	}
	c.blocked[fingerprint] = time.Now()
	c.blocks.Store(int32(len(c.blocked))) //nolint:gosec // At most maxBlocked.
	c.cfg.Log.WithField(fieldFingerprint, fingerprint).Warn("requests that crash targets are refused")
}

// fingerprint tells requests with the same method, name, path and body from others.
func (j *journey) fingerprint() uint64 {
	d := xxhash.New()
	for _, part := range []string{j.r.Method, j.r.Host, j.r.URL.RequestURI()} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(j.body)
	return d.Sum64()
}
