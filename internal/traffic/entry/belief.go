package entry

// This file defines how a CrashTracker passes on its evidence to a host that has started.

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"tamaracktiller.example/tamaracktiller/internal/fleet/belief"
	"tamaracktiller.example/tamaracktiller/internal/traffic/crash"
)

var _ belief.Belief = (*CrashTracker)(nil)

// Name implements belief.Belief.
func (*CrashTracker) Name() string { return "crash-evidence" }

// Export implements belief.Belief.
func (c *CrashTracker) Export() ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	c.expireBlocks()
	c.expireCleared()
	crashes := c.detector.Crashes()
	list := make([]crash.Evidence, 0, len(c.cleared)+len(crashes)+len(c.blocked))
	for fingerprint, at := range c.cleared {
		list = append(list, crash.Evidence{Kind: crash.Cleared, Fingerprint: fingerprint, Age: now.Sub(at)})
	}
	for _, known := range crashes {
		list = append(list, crash.Evidence{
			Kind: crash.TargetCrashed, Fingerprint: known.Fingerprint, Target: known.Target, Service: c.suspects[known.Fingerprint].service,
			Age: now.Sub(time.UnixMilli(known.UnixMilli)), Ran: time.Duration(known.RanMilli) * time.Millisecond,
		})
	}
	for fingerprint, b := range c.blocked {
		list = append(list, crash.Evidence{Kind: crash.Blocked, Fingerprint: fingerprint, Age: time.Since(b.at)})
	}
	if len(list) == 0 {
		return nil, nil
	}
	data, err := cbor.Marshal(list)
	return data, errors.Wrap(err, "entry: crash evidence")
}

// Import implements belief.Belief.
func (c *CrashTracker) Import(records []byte) error {
	var list []crash.Evidence
	if err := cbor.Unmarshal(records, &list); err != nil {
		return errors.Wrap(err, "entry: crash evidence")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range list {
		age := max(0, e.Age)
		switch e.Kind {
		case crash.TargetCrashed:
			c.addCrash(e)
		case crash.Cleared:
			c.importCleared(e.Fingerprint, c.now().Add(-age))
		case crash.Blocked:
			c.importBlock(e.Fingerprint, time.Now().Add(-age))
		}
	}
	return nil
}

// importCleared records an earlier success of a request. The caller holds c.mu.
func (c *CrashTracker) importCleared(fingerprint uint64, at time.Time) {
	if at.After(c.cleared[fingerprint]) {
		c.cleared[fingerprint] = at
	}
	c.expireCleared()
}

// importBlock records a block that another host knows, unless the request has ended well since. The caller holds c.mu.
func (c *CrashTracker) importBlock(fingerprint uint64, at time.Time) {
	if _, ok := c.blockOf(fingerprint); ok || time.Since(at) >= crash.EvidenceTTL || c.now().Sub(c.cleared[fingerprint]) < time.Since(at) {
		return
	}
	c.block(fingerprint, "another host")
	c.blocked[fingerprint] = block{at: at, announced: time.Now()}
}
