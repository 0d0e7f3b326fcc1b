package entry

// This file defines how a CrashTracker decides which requests are blocked, and how all hosts learn of it.
//
// Each host that has the evidence decides by itself. The first coordinator of the request announces the block, so
// that hosts which lack some evidence have it, too; the second one and then the others do so if they don't hear of
// that. The block is also kept in the store for as long as it counts: a host that starts knows it from its first
// read, also if all hosts were replaced at once.

import (
	"cmp"
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"tamaracktiller.example/tamaracktiller/internal/fleet/directory"
	"tamaracktiller.example/tamaracktiller/internal/traffic/crash"
)

const (
	// blockDelay is the time between the third crash and the block. A success of the same
	// request during that time clears the evidence. It is shorter than the time after which
	// retries count against the fleet.
	blockDelay = time.Second
	// minBlockDelay is the shortest time that a host waits if it learns of the third crash late. Further evidence
	// from others arrives in that time.
	minBlockDelay = 100 * time.Millisecond
	// numCoordinators is the number of hosts that always get the evidence on a request, and standbyDelay the time
	// for which the second one waits for the announcement of the first. The others wait twice as long, and up to
	// standbyDelay more.
	numCoordinators = 2
	standbyDelay    = 500 * time.Millisecond
	// maxBlocked bounds the number of blocked fingerprints, maxStoredBlocks those in the store, and maxCleared the
	// number of successes that are remembered.
	maxBlocked      = 1024
	maxStoredBlocks = 64
	maxCleared      = 1024
	// BlockKeepPeriod is the interval at which KeepBlocks should be called.
	BlockKeepPeriod = time.Second
	// storeStep is the time after which the next host in the ranking writes a block that the store still lacks, and
	// storeRanks the number of hosts that do.
	storeStep  = 3 * time.Second
	storeRanks = 5
)

// BlockStore keeps blocks in the store.
type BlockStore interface {
	// PutBlock writes a block that lasts for ttl. It does nothing if there is one already.
	PutBlock(ctx context.Context, fingerprint uint64, ttl time.Duration) error
	// DeleteBlock deletes a block.
	DeleteBlock(ctx context.Context, fingerprint uint64) error
}

// block is a request that is rejected.
type block struct {
	// at is the time of the block, and announced that of its last announcement by any host; zero for none.
	at, announced time.Time
	// fromStore is set if this host knows of the block only from the store.
	fromStore bool
}

// storedBlocks is what the store holds.
type storedBlocks struct {
	// seen maps fingerprints to the times at which this host found them there.
	seen map[uint64]time.Time
	// era is the era of the store, and changes the value of directory.Snapshot.BlockedChanges.
	era     uint64
	changes int
}

// isBlocked reports whether a request must not be sent to any target.
func (c *CrashTracker) isBlocked(req *clientRequest) bool {
	if c == nil || c.numBlocked.Load() == 0 {
		return false
	}
	fingerprint := req.fingerprint()
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.blockOf(fingerprint)
	return ok
}

// Blocked returns the number of requests that are blocked.
func (c *CrashTracker) Blocked() int { return int(c.numBlocked.Load()) }

// blockOf returns the block of a request that is in force. The caller holds c.mu.
func (c *CrashTracker) blockOf(fingerprint uint64) (block, bool) {
	b, ok := c.blocked[fingerprint]
	return b, ok && (b.fromStore || time.Since(b.at) < crash.EvidenceTTL)
}

// ranking returns the hosts in the order in which they act on a fingerprint.
func (c *CrashTracker) ranking(fingerprint uint64) []directory.Host {
	score := func(h directory.Host) uint64 { return xxhash.Sum64String(h.Name) ^ fingerprint }
	return slices.SortedFunc(maps.Values(c.cfg.Hosts()), func(a, b directory.Host) int { return cmp.Compare(score(a), score(b)) })
}

// coordinators returns the hosts that always get the evidence on a request, the first one first.
func (c *CrashTracker) coordinators(fingerprint uint64) []directory.Host {
	list := c.ranking(fingerprint)
	return list[:min(len(list), numCoordinators)]
}

// rank returns the place of this host in the ranking for a fingerprint. A host that is not listed comes last.
func (c *CrashTracker) rank(fingerprint uint64) int {
	list := c.ranking(fingerprint)
	if i := slices.IndexFunc(list, func(h directory.Host) bool { return h.Name == c.cfg.Self }); i >= 0 {
		return i
	}
	return len(list)
}

// considerBlock begins to decide on a request if its last known crash, which was at crashed, makes the evidence complete.
// A request that is blocked already was reported by a host that does not know of it. The caller holds c.mu.
func (c *CrashTracker) considerBlock(fingerprint uint64, crashed time.Time) {
	if _, ok := c.blockOf(fingerprint); ok {
		c.announceUnlessDone(fingerprint, time.Now(), numCoordinators)
		return
	}
	s := c.suspects[fingerprint]
	if s.deciding || !c.isPoison(fingerprint) {
		return
	}
	s.deciding = true
	c.suspects[fingerprint] = s
	delay := max(minBlockDelay, blockDelay-c.now().Sub(crashed))
	c.g.Go("block", func(context.Context) error {
		time.Sleep(delay)
		c.decide(fingerprint)
		return nil
	})
}

// decide blocks a request unless its evidence was cleared or is explained by others.
func (c *CrashTracker) decide(fingerprint uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s, ok := c.suspects[fingerprint]; ok {
		s.deciding = false
		c.suspects[fingerprint] = s
	}
	if _, ok := c.blockOf(fingerprint); ok || !c.isPoison(fingerprint) {
		return
	}
	c.block(fingerprint, "crashes")
	c.announceUnlessDone(fingerprint, time.Now(), len(c.cfg.Hosts())+1)
}

// announceUnlessDone announces a block to all hosts, if this one is among the first of the ranking and no other one
// does so after since. The caller holds c.mu.
func (c *CrashTracker) announceUnlessDone(fingerprint uint64, since time.Time, ranks int) {
	rank := c.rank(fingerprint)
	if rank >= ranks && rank > 0 {
		return
	}
	delay := time.Duration(min(rank, numCoordinators)) * standbyDelay
	if rank >= numCoordinators {
		delay += rand.N(standbyDelay)
	}
	c.g.Go("announce a block", func(context.Context) error {
		time.Sleep(delay)
		c.mu.Lock()
		b, ok := c.blockOf(fingerprint)
		due := ok && b.announced.Before(since)
		if due {
			b.announced = time.Now()
			c.blocked[fingerprint] = b
		}
		c.mu.Unlock()
		if due {
			c.tellAll(crash.Evidence{Kind: crash.Blocked, Fingerprint: fingerprint})
		}
		return nil
	})
}

// handleBlock handles the announcement of a block. One that crosses the message of a success does not count. The
// caller holds c.mu.
func (c *CrashTracker) handleBlock(fingerprint uint64) {
	if at, ok := c.cleared[fingerprint]; ok && c.now().Sub(at) < blockDelay {
		return
	}
	c.block(fingerprint, "another host")
	b := c.blocked[fingerprint]
	b.announced = time.Now()
	c.blocked[fingerprint] = b
}

// block blocks a request on this host. The caller holds c.mu.
func (c *CrashTracker) block(fingerprint uint64, reason string) {
	c.expireBlocks()
	b, ok := c.blocked[fingerprint]
	if !ok && len(c.blocked) >= maxBlocked {
		c.dropOldestBlock()
	}
	b.at, b.fromStore = time.Now(), false
	c.blocked[fingerprint] = b
	c.numBlocked.Store(int32(len(c.blocked))) //nolint:gosec // At most maxBlocked.
	if !ok {
		c.cfg.Log.WithFields(logrus.Fields{fieldFingerprint: fingerprint, "reason": reason}).Warn("requests that crash targets are refused")
	}
}

// unblock lifts a block on this host. The caller holds c.mu.
func (c *CrashTracker) unblock(fingerprint uint64) {
	delete(c.blocked, fingerprint)
	c.numBlocked.Store(int32(len(c.blocked))) //nolint:gosec // At most maxBlocked.
	c.cfg.Log.WithField(fieldFingerprint, fingerprint).Warn("requests are not refused any more")
}

// expireBlocks lifts the blocks whose time has passed. The caller holds c.mu.
func (c *CrashTracker) expireBlocks() {
	for fingerprint := range c.blocked {
		if _, ok := c.blockOf(fingerprint); !ok {
			c.unblock(fingerprint)
		}
	}
}

// dropOldestBlock lifts the oldest block. The caller holds c.mu.
func (c *CrashTracker) dropOldestBlock() {
	var oldest uint64
	var at time.Time
	for fingerprint, b := range c.blocked {
		if at.IsZero() || b.at.Before(at) {
			oldest, at = fingerprint, b.at
		}
	}
	c.unblock(oldest)
}

// SetSnapshot applies the blocks that the store holds. A block that this host knows only from there ends with its
// key, but not if the store has come back from a copy without it.
func (c *CrashTracker) SetSnapshot(s *directory.Snapshot) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.BlockedChanges == c.stored.changes && s.Revision.Era == c.stored.era {
		return
	}
	restored := s.Revision.Era != c.stored.era
	seen := make(map[uint64]time.Time, len(s.Blocked))
	for fingerprint := range s.Blocked {
		at, ok := c.stored.seen[fingerprint]
		if !ok {
			at = c.now()
		}
		seen[fingerprint] = at
		if _, known := c.blockOf(fingerprint); !known && !c.cleared[fingerprint].After(at) {
			c.block(fingerprint, "store")
			c.blocked[fingerprint] = block{at: time.Now(), announced: time.Now(), fromStore: true}
		}
	}
	for fingerprint, b := range c.blocked {
		if _, ok := seen[fingerprint]; ok || !b.fromStore {
			continue
		}
		if !restored {
			c.unblock(fingerprint)
			continue
		}
		b.fromStore = false
		c.blocked[fingerprint] = b
	}
	c.stored = storedBlocks{seen: seen, era: s.Revision.Era, changes: s.BlockedChanges}
}

// KeepBlocks writes the blocks to the store that it lacks, and deletes those that were lifted. It should be called
// every BlockKeepPeriod.
func (c *CrashTracker) KeepBlocks(time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cfg.Store == nil || c.storing || len(c.blocked)+len(c.stored.seen) == 0 {
		return
	}
	c.expireBlocks()
	c.expireCleared()
	if fingerprint, ok := c.missingBlock(); ok {
		c.store("write a block", fingerprint, func(ctx context.Context) error {
			return c.cfg.Store.PutBlock(ctx, fingerprint, crash.EvidenceTTL)
		})
	} else if fingerprint, ok := c.liftedBlock(); ok {
		c.store("delete a block", fingerprint, func(ctx context.Context) error { return c.cfg.Store.DeleteBlock(ctx, fingerprint) })
	}
}

// missingBlock returns a block that this host should write to the store. The caller holds c.mu.
func (c *CrashTracker) missingBlock() (uint64, bool) {
	if len(c.stored.seen) >= maxStoredBlocks {
		return 0, false
	}
	for fingerprint, b := range c.blocked {
		if _, ok := c.stored.seen[fingerprint]; !ok && !b.fromStore && c.isTurn(fingerprint, time.Since(b.at)) {
			return fingerprint, true
		}
	}
	return 0, false
}

// liftedBlock returns a block in the store that was lifted and that this host should delete. The caller holds c.mu.
func (c *CrashTracker) liftedBlock() (uint64, bool) {
	for fingerprint, at := range c.stored.seen {
		cleared := c.cleared[fingerprint]
		if _, ok := c.blockOf(fingerprint); !ok && cleared.After(at) && c.isTurn(fingerprint, c.now().Sub(cleared)) {
			return fingerprint, true
		}
	}
	return 0, false
}

// isTurn reports whether this host should write to the store what has been due for a time. A write shows in the view
// after a while. The caller holds c.mu.
func (c *CrashTracker) isTurn(fingerprint uint64, due time.Duration) bool {
	if at, ok := c.written[fingerprint]; ok && time.Since(at) < storeStep {
		return false
	}
	rank := c.rank(fingerprint)
	return rank < storeRanks && due >= time.Duration(rank)*storeStep
}

// store writes to the store in the background. The caller holds c.mu.
func (c *CrashTracker) store(text string, fingerprint uint64, write func(ctx context.Context) error) {
	maps.DeleteFunc(c.written, func(_ uint64, at time.Time) bool { return time.Since(at) >= storeStep })
	c.storing, c.written[fingerprint] = true, time.Now()
	c.g.Go(text, func(ctx context.Context) error {
		err := write(ctx)
		line := c.cfg.Log.WithField(fieldFingerprint, fingerprint)
		if err != nil {
			line.WithError(err).Warn("failed to " + text)
		} else {
			line.Info(text + " in the store")
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		c.storing = false
		return nil
	})
}

// expireCleared forgets successes that are long past, and all but the newest ones if there are too many. The caller
// holds c.mu.
func (c *CrashTracker) expireCleared() {
	for limit := crash.EvidenceTTL; limit > 0; limit /= 2 {
		maps.DeleteFunc(c.cleared, func(_ uint64, at time.Time) bool { return c.now().Sub(at) > limit })
		if len(c.cleared) <= maxCleared {
			return
		}
	}
	clear(c.cleared)
}
