package job

// This file defines Service, which writes jobs to the store and runs them.

import (
	"context"
	"encoding/json"
	"maps"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"tamaracktiller.example/tamaracktiller/internal/kernel/timer"
	"tamaracktiller.example/tamaracktiller/internal/platform/store"
)

const (
	// keyPrefix is the prefix of the store keys of batches.
	keyPrefix = "jobs/"
	// maxBatchJobs and maxBatchBytes limit the size of a batch; the store allows 1 MB per
	// value.
	maxBatchJobs  = 64
	maxBatchBytes = 400 << 10
	// batchDelay is the time for which jobs are collected before a batch is written.
	batchDelay = 20 * time.Millisecond
	// RunPeriod is the period at which RunDue must be called.
	RunPeriod = 2 * time.Second
)

// RunFunc runs a job once. It returns the reason for a failure, or "" on success.
type RunFunc func(ctx context.Context, j Job) (reason string)

// Config holds the dependencies of a service.
type Config struct {
	// Holder identifies the incarnation of this host.
	Holder string
	Store  store.Store
	Run    RunFunc
	Now    func() time.Time
	Log    *logrus.Entry
}

// Service accepts and runs jobs. It is safe for concurrent use.
type Service struct {
	cfg Config
	// fenceWrites enables fencing: if the outcome of a write is unknown, the key is fenced
	// before the jobs count as not accepted. Tests turn it off.
	fenceWrites bool

	mu            sync.Mutex
	pending       *pendingBatch
	backlog       Backlog
	running       bool
	loggedOverdue map[string]bool
}

// pendingBatch is a batch that is not written yet.
type pendingBatch struct {
	batch Batch
	bytes int
	done  chan struct{}
	err   error
}

// NewService returns a service.
func NewService(cfg Config) *Service {
	return &Service{cfg: cfg, fenceWrites: true, loggedOverdue: map[string]bool{}}
}

// Accept writes a job to the store and returns once it is there. Errors: ErrNotAccepted,
// ErrOutcomeUnknown.
func (s *Service) Accept(ctx context.Context, j Job) error {
	if len(j.Body) > MaxBodyBytes {
		return errors.Wrapf(ErrNotAccepted, "body of %d bytes exceeds the limit of %d", len(j.Body), MaxBodyBytes)
	}
	p, first := s.addToBatch(j)
	if first {
		// The batch is written even if ctx is cancelled, since it may hold other jobs.
		timer.Sleep(ctx, batchDelay)
		s.flush(context.WithoutCancel(ctx), p)
	}
	<-p.done
	return p.err
}

// addToBatch adds the job to the pending batch. It reports whether the batch is new; the
// caller must then flush it.
func (s *Service) addToBatch(j Job) (*pendingBatch, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := false
	if s.pending == nil || len(s.pending.batch.Jobs) >= maxBatchJobs || s.pending.bytes+len(j.Body) > maxBatchBytes {
		s.pending = &pendingBatch{done: make(chan struct{}), batch: Batch{CreatedMilli: s.cfg.Now().UnixMilli()}}
		first = true
	}
	s.pending.batch.Jobs = append(s.pending.batch.Jobs, j)
	s.pending.bytes += len(j.Body)
	return s.pending, first
}

// flush writes a pending batch and wakes the callers of Accept.
func (s *Service) flush(ctx context.Context, p *pendingBatch) {
	s.mu.Lock()
	if s.pending == p {
		s.pending = nil
	}
	s.mu.Unlock()
	p.err = s.writeBatch(ctx, keyPrefix+uuid.Must(uuid.NewV7()).String(), p.batch)
	close(p.done)
}

// writeBatch writes a new batch. If the outcome is unknown, it fences the key by creating
// an empty batch there: if that succeeds, the first write has not been and never will be
// applied.
func (s *Service) writeBatch(ctx context.Context, key string, b Batch) error {
	_, err := s.cfg.Store.CompareAndSwap(ctx, key, store.Revision{}, encode(b))
	switch {
	case err == nil:
		return nil
	case !errors.Is(err, store.ErrOutcomeUnknown) || !s.fenceWrites:
		return errors.Wrap(ErrNotAccepted, err.Error())
	}
	_, err = s.cfg.Store.CompareAndSwap(ctx, key, store.Revision{}, encode(Batch{CreatedMilli: b.CreatedMilli}))
	switch {
	case err == nil:
		return errors.Wrap(ErrNotAccepted, "the write was not applied")
	case errors.Is(err, store.ErrConflict):
		return nil
	}
	return errors.Wrap(ErrOutcomeUnknown, err.Error())
}

func encode(b Batch) []byte {
	data, err := json.Marshal(b)
	if err != nil {
		panic(errors.Wrap(err, "job: cannot encode batch"))
	}
	return data
}

// Backlog returns the backlog as of the last call of RunDue.
func (s *Service) Backlog() Backlog {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.backlog
}

// RunDue reads all batches, leases those that no other host holds and runs their due jobs.
// It returns at once while an earlier call is still running.
func (s *Service) RunDue(ctx context.Context) {
	if !s.tryStart() {
		return
	}
	defer s.stop()
	values, err := s.cfg.Store.List(ctx, keyPrefix)
	if err != nil {
		return
	}
	var counted Backlog
	ids := map[string]bool{}
	for _, v := range values {
		var b Batch
		if err := json.Unmarshal(v.Data, &b); err != nil {
			s.cfg.Log.WithField("key", v.Key).WithError(err).Error("cannot decode batch")
			continue
		}
		for _, j := range b.Jobs {
			counted.add(s.cfg.Now(), j)
			ids[j.ID] = true
			s.logOverdue(j)
		}
		s.processBatch(ctx, v, b)
	}
	s.mu.Lock()
	s.backlog = counted
	maps.DeleteFunc(s.loggedOverdue, func(id string, _ bool) bool { return !ids[id] })
	s.mu.Unlock()
}

// tryStart marks RunDue as running, and returns false if it already runs.
func (s *Service) tryStart() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running {
		return false
	}
	s.running = true
	return true
}

func (s *Service) stop() {
	s.mu.Lock()
	s.running = false
	s.mu.Unlock()
}

// logOverdue logs a job once when it becomes overdue.
func (s *Service) logOverdue(j Job) {
	if j.DueMilli >= s.cfg.Now().UnixMilli() {
		return
	}
	s.mu.Lock()
	alreadyLogged := s.loggedOverdue[j.ID]
	s.loggedOverdue[j.ID] = true
	s.mu.Unlock()
	if !alreadyLogged {
		s.cfg.Log.WithFields(logrus.Fields{"job": j.ID, "service": j.Service, "kind": j.Kind, "tries": j.FailedRuns, "last-error": j.LastError}).Error("job is overdue")
	}
}

// processBatch leases a batch and runs its due jobs one after the other. It writes the
// batch and renews the lease after each run; if that fails, it stops, since another host
// may hold the lease.
func (s *Service) processBatch(ctx context.Context, v store.Value, b Batch) {
	now := s.cfg.Now()
	if len(b.Jobs) == 0 {
		if now.UnixMilli()-b.CreatedMilli > emptyBatchTTL.Milliseconds() {
			_ = s.cfg.Store.Delete(ctx, v.Key, v.Version)
		}
		return
	}
	if !b.canLease(now, s.cfg.Holder) || len(b.due(now)) == 0 {
		return
	}
	b.lease(now, s.cfg.Holder)
	version, err := s.cfg.Store.CompareAndSwap(ctx, v.Key, v.Version, encode(b))
	if err != nil {
		return
	}
	for {
		due := b.due(s.cfg.Now())
		if len(due) == 0 || ctx.Err() != nil {
			break
		}
		s.runJob(ctx, &b, due[0])
		b.lease(s.cfg.Now(), s.cfg.Holder)
		if version, err = s.cfg.Store.CompareAndSwap(ctx, v.Key, version, encode(b)); err != nil {
			return
		}
	}
	s.release(ctx, v.Key, version, b)
}

// release deletes an empty batch, or gives up the lease of one with jobs left.
func (s *Service) release(ctx context.Context, key string, version store.Revision, b Batch) {
	if len(b.Jobs) == 0 {
		_ = s.cfg.Store.Delete(ctx, key, version)
		return
	}
	b.Holder, b.UntilMilli = "", 0
	_, _ = s.cfg.Store.CompareAndSwap(ctx, key, version, encode(b))
}

// runJob runs a job once and removes it from the batch if it succeeds.
func (s *Service) runJob(ctx context.Context, b *Batch, i int) {
	j := b.Jobs[i]
	reason := s.cfg.Run(ctx, j)
	if reason == "" {
		b.Jobs = append(b.Jobs[:i:i], b.Jobs[i+1:]...)
		return
	}
	b.Jobs[i].recordFailure(s.cfg.Now(), reason)
	s.cfg.Log.WithFields(logrus.Fields{"job": j.ID, "service": j.Service, "tries": j.FailedRuns + 1, "reason": reason}).Warn("job failed and will be retried")
}
