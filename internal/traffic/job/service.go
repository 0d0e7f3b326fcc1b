package job

// This file defines Service: accepting jobs into the store and working them off.

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
	// prefix is that of the store keys of batches.
	prefix = "jobs/"
	// maxBatchJobs and maxBatchBytes bound a batch; the store holds 1 MB a value.
	maxBatchJobs  = 64
	maxBatchBytes = 400 << 10
	// gatherTime is the time for which jobs are gathered into a batch.
	gatherTime = 20 * time.Millisecond
	// WorkPeriod is the period at which Work must be called.
	WorkPeriod = 2 * time.Second
)

// Run runs a job once. An empty reason means that it is done.
type Run func(ctx context.Context, j Job) (reason string)

// Config holds the dependencies of a service.
type Config struct {
	// Holder names the own incarnation.
	Holder string
	Store  store.Store
	Run    Run
	Now    func() time.Time
	Log    *logrus.Entry
}

// Service accepts and works off jobs. It is safe for concurrent use.
type Service struct {
	cfg Config
	// fences says that an unclear write is fenced before it is called refused.
	fences bool

	mu      sync.Mutex
	waiting *gathering
	backlog Backlog
	working bool
	warned  map[string]bool
}

// gathering is a batch that is being filled.
type gathering struct {
	batch Batch
	bytes int
	done  chan struct{}
	err   error
}

// NewService returns a service.
func NewService(cfg Config) *Service {
	return &Service{cfg: cfg, fences: true, warned: map[string]bool{}}
}

// Accept writes a job into the store and returns when it lies there. Errors:
// ErrNotAccepted, ErrUncertain.
func (s *Service) Accept(ctx context.Context, j Job) error {
	if len(j.Body) > MaxBodyBytes {
		return errors.Wrapf(ErrNotAccepted, "body of %d bytes, the limit is %d", len(j.Body), MaxBodyBytes)
	}
	g, first := s.gather(j)
	if first {
		// The batch is written even if this caller goes away.
		timer.Sleep(ctx, gatherTime)
		s.write(context.WithoutCancel(ctx), g)
	}
	<-g.done
	return g.err
}

// gather adds the job to the batch that is being filled, and reports whether the
// caller is the first one, who writes it.
func (s *Service) gather(j Job) (*gathering, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := false
	if s.waiting == nil || len(s.waiting.batch.Jobs) >= maxBatchJobs || s.waiting.bytes+len(j.Body) > maxBatchBytes {
		s.waiting = &gathering{done: make(chan struct{}), batch: Batch{MadeMilli: s.cfg.Now().UnixMilli()}}
		first = true
	}
	s.waiting.batch.Jobs = append(s.waiting.batch.Jobs, j)
	s.waiting.bytes += len(j.Body)
	return s.waiting, first
}

func (s *Service) write(ctx context.Context, g *gathering) {
	s.mu.Lock()
	if s.waiting == g {
		s.waiting = nil
	}
	s.mu.Unlock()
	g.err = s.put(ctx, prefix+uuid.Must(uuid.NewV7()).String(), g.batch)
	close(g.done)
}

// put writes a new batch. When the outcome is unclear, an empty batch under the
// same key tells: if it can be written, the first write never will be.
func (s *Service) put(ctx context.Context, key string, b Batch) error {
	_, err := s.cfg.Store.Swap(ctx, key, store.Revision{}, encode(b))
	switch {
	case err == nil:
		return nil
	case !errors.Is(err, store.ErrUnclear) || !s.fences:
		return errors.Wrap(ErrNotAccepted, err.Error())
	}
	_, err = s.cfg.Store.Swap(ctx, key, store.Revision{}, encode(Batch{MadeMilli: b.MadeMilli}))
	switch {
	case err == nil:
		return errors.Wrap(ErrNotAccepted, "the store did not take it")
	case errors.Is(err, store.ErrConflict):
		return nil
	}
	return errors.Wrap(ErrUncertain, err.Error())
}

func encode(b Batch) []byte {
	data, err := json.Marshal(b)
	if err != nil {
		panic(errors.Wrap(err, "job: a batch cannot be encoded"))
	}
	return data
}

// Backlog returns what waited in the store at the last look.
func (s *Service) Backlog() Backlog {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.backlog
}

// Work looks at all batches, leases those that are free and tries what is due. A
// call returns at once while an earlier one works.
func (s *Service) Work(ctx context.Context) {
	if !s.begin() {
		return
	}
	defer s.end()
	values, err := s.cfg.Store.List(ctx, prefix)
	if err != nil {
		return
	}
	var seen Backlog
	ids := map[string]bool{}
	for _, v := range values {
		var b Batch
		if err := json.Unmarshal(v.Data, &b); err != nil {
			s.cfg.Log.WithField("key", v.Key).WithError(err).Error("batch cannot be read")
			continue
		}
		for _, j := range b.Jobs {
			seen.add(s.cfg.Now(), j)
			ids[j.ID] = true
			s.warn(j)
		}
		s.workBatch(ctx, v, b)
	}
	s.mu.Lock()
	s.backlog = seen
	maps.DeleteFunc(s.warned, func(id string, _ bool) bool { return !ids[id] })
	s.mu.Unlock()
}

func (s *Service) begin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.working {
		return false
	}
	s.working = true
	return true
}

func (s *Service) end() {
	s.mu.Lock()
	s.working = false
	s.mu.Unlock()
}

// warn logs a job once when it is overdue.
func (s *Service) warn(j Job) {
	if j.DueMilli >= s.cfg.Now().UnixMilli() {
		return
	}
	s.mu.Lock()
	told := s.warned[j.ID]
	s.warned[j.ID] = true
	s.mu.Unlock()
	if !told {
		s.cfg.Log.WithFields(logrus.Fields{"job": j.ID, "service": j.Service, "kind": j.Kind, "tries": j.Tries, "last-error": j.LastError}).Error("job is overdue")
	}
}

// workBatch leases a batch and tries its due jobs one after the other. The lease
// is renewed with each result; when that fails, another host may have it.
func (s *Service) workBatch(ctx context.Context, v store.Value, b Batch) {
	now := s.cfg.Now()
	if len(b.Jobs) == 0 {
		if now.UnixMilli()-b.MadeMilli > fenceAge.Milliseconds() {
			_ = s.cfg.Store.Delete(ctx, v.Key, v.Version)
		}
		return
	}
	if !b.free(now, s.cfg.Holder) || len(b.due(now)) == 0 {
		return
	}
	b.lease(now, s.cfg.Holder)
	version, err := s.cfg.Store.Swap(ctx, v.Key, v.Version, encode(b))
	if err != nil {
		return
	}
	for {
		due := b.due(s.cfg.Now())
		if len(due) == 0 || ctx.Err() != nil {
			break
		}
		s.try(ctx, &b, due[0])
		b.lease(s.cfg.Now(), s.cfg.Holder)
		if version, err = s.cfg.Store.Swap(ctx, v.Key, version, encode(b)); err != nil {
			return
		}
	}
	s.release(ctx, v.Key, version, b)
}

// release removes a batch that is done, or gives up its lease.
func (s *Service) release(ctx context.Context, key string, version store.Revision, b Batch) {
	if len(b.Jobs) == 0 {
		_ = s.cfg.Store.Delete(ctx, key, version)
		return
	}
	b.Holder, b.UntilMilli = "", 0
	_, _ = s.cfg.Store.Swap(ctx, key, version, encode(b))
}

func (s *Service) try(ctx context.Context, b *Batch, at int) {
	j := b.Jobs[at]
	reason := s.cfg.Run(ctx, j)
	if reason == "" {
		b.Jobs = append(b.Jobs[:at:at], b.Jobs[at+1:]...)
		return
	}
	b.Jobs[at].fail(s.cfg.Now(), reason)
	s.cfg.Log.WithFields(logrus.Fields{"job": j.ID, "service": j.Service, "tries": j.Tries + 1, "reason": reason}).Warn("job failed, it is tried again")
}
