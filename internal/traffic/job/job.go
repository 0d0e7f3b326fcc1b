// Package job runs deferrable requests as jobs. A job is accepted once it is written to
// the store of the platform, leased by one host at a time, and retried until it succeeds.
//
// Jobs that arrive together are written as one batch. A job may run more than once, so
// only idempotent kinds may be deferred. Overdue jobs are logged; overdue and repeatedly
// failing ones are counted in the backlog.
//
// # Usage
//
//	s := job.NewService(cfg)
//	err := s.Accept(ctx, j) // nil: the job is in the store
//	s.RunDue(ctx)           // periodically: lease batches and run due jobs
//	backlog := s.Backlog()
package job

// This file defines Job, Batch and Backlog. It does no I/O.

import (
	"time"

	"github.com/pkg/errors"
)

// Errors of Accept.
var (
	// ErrNotAccepted reports that the job is not in the store and never will be.
	ErrNotAccepted = errors.New("job: not accepted")
	// ErrOutcomeUnknown reports that the job may or may not be in the store.
	ErrOutcomeUnknown = errors.New("job: unknown whether the job was accepted")
)

const (
	// MaxBodyBytes is the largest allowed request body of a job.
	MaxBodyBytes = 128 << 10
	// leaseDuration is the time for which a host leases a batch.
	leaseDuration = 30 * time.Second
	// initialBackoff is the delay after the first failed run; it doubles with each further
	// one.
	initialBackoff = 2 * time.Second
	// maxBackoff limits the delay between two runs.
	maxBackoff = 5 * time.Minute
	// minFailedRuns is the number of failed runs from which a job counts as failing.
	minFailedRuns = 3
	// emptyBatchTTL is the age at which an empty batch, which fences a write, is deleted.
	emptyBatchTTL = time.Hour
)

// Job is one deferrable request.
type Job struct {
	ID      string              `json:"id"`
	Service string              `json:"service"`
	Kind    string              `json:"kind"`
	Member  string              `json:"member,omitempty"`
	Host    string              `json:"host"`
	Method  string              `json:"method"`
	URI     string              `json:"uri"`
	Header  map[string][]string `json:"header,omitempty"`
	Body    []byte              `json:"body,omitempty"`
	// AcceptedMilli and DueMilli are the times in Unix milliseconds at which the job was
	// accepted and by which it should be done.
	AcceptedMilli int64 `json:"accepted-milli"`
	DueMilli      int64 `json:"due-milli"`
	// FailedRuns counts failed runs. NextRunMilli is the time of the next run in Unix
	// milliseconds.
	FailedRuns   int    `json:"tries,omitempty"`
	NextRunMilli int64  `json:"next-milli,omitempty"`
	LastError    string `json:"last-error,omitempty"`
}

// Batch is a set of jobs in one value of the store.
type Batch struct {
	Jobs []Job `json:"jobs"`
	// Holder is the host incarnation that leases the batch until UntilMilli, in Unix
	// milliseconds.
	Holder     string `json:"holder,omitempty"`
	UntilMilli int64  `json:"until-milli,omitempty"`
	// CreatedMilli is the creation time in Unix milliseconds.
	CreatedMilli int64 `json:"made-milli"`
}

// due returns the indexes of the jobs whose next run is due.
func (b *Batch) due(now time.Time) []int {
	var list []int
	for i, j := range b.Jobs {
		if j.NextRunMilli <= now.UnixMilli() {
			list = append(list, i)
		}
	}
	return list
}

// canLease reports whether no other holder has a valid lease on the batch.
func (b *Batch) canLease(now time.Time, holder string) bool {
	return b.Holder == "" || b.Holder == holder || now.UnixMilli() > b.UntilMilli
}

func (b *Batch) lease(now time.Time, holder string) {
	b.Holder = holder
	b.UntilMilli = now.Add(leaseDuration).UnixMilli()
}

// recordFailure records a failed run and schedules the next one.
func (j *Job) recordFailure(now time.Time, reason string) {
	backoff := initialBackoff << min(j.FailedRuns, maxDoublings)
	j.FailedRuns++
	j.NextRunMilli = now.Add(min(backoff, maxBackoff)).UnixMilli()
	j.LastError = reason
}

// maxDoublings limits the doublings of the backoff.
const maxDoublings = 10

// Backlog counts the jobs in the store.
type Backlog struct {
	Waiting int `json:"waiting"`
	Overdue int `json:"overdue"`
	Failing int `json:"failing"`
	// OldestMilli is the time at which the oldest job was accepted, in Unix milliseconds.
	OldestMilli int64 `json:"oldest-milli,omitempty"`
}

// add counts a job.
func (b *Backlog) add(now time.Time, j Job) {
	b.Waiting++
	if j.DueMilli < now.UnixMilli() {
		b.Overdue++
	}
	if j.FailedRuns >= minFailedRuns {
		b.Failing++
	}
	if b.OldestMilli == 0 || j.AcceptedMilli < b.OldestMilli {
		b.OldestMilli = j.AcceptedMilli
	}
}
