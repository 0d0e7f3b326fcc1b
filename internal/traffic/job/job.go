// Package job keeps work that may wait: it is accepted only when it lies in the
// platform's store, leased by one host at a time, and retried until it is done.
//
// Jobs that arrive together are written as one batch. A job may run more than
// once, so only idempotent kinds are taken. What is overdue or keeps failing is
// counted and logged, so that it does not go unnoticed.
//
// # Usage
//
//	s := job.NewService(cfg)
//	err := s.Accept(ctx, j) // nil: it lies in the store
//	s.Work(ctx)             // periodically: lease and run what is due
//	backlog := s.Backlog()
package job

// This file defines Job and Batch, and what becomes of them. It does no I/O.

import (
	"time"

	"github.com/pkg/errors"
)

// Errors of Accept.
var (
	// ErrNotAccepted reports that the job is not in the store and will not be.
	ErrNotAccepted = errors.New("job: not accepted")
	// ErrUncertain reports that the job may be in the store.
	ErrUncertain = errors.New("job: it is not known whether the job was accepted")
)

const (
	// MaxBodyBytes is the largest body of a job.
	MaxBodyBytes = 128 << 10
	// leaseTime is the time for which a host holds a batch.
	leaseTime = 30 * time.Second
	// firstPause is the time after the first failure; it doubles.
	firstPause = 2 * time.Second
	// maxPause bounds the time between two tries.
	maxPause = 5 * time.Minute
	// failingFrom is the number of failed tries from which a job counts as failing.
	failingFrom = 3
	// fenceAge is the age at which an empty batch is removed.
	fenceAge = time.Hour
)

// Job is one request that may wait.
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
	// AcceptedMilli and DueMilli are Unix milliseconds: when the job came and by
	// when it must have arrived.
	AcceptedMilli int64 `json:"accepted-milli"`
	DueMilli      int64 `json:"due-milli"`
	// Tries counts failed tries, NextMilli is the time of the next one.
	Tries     int    `json:"tries,omitempty"`
	NextMilli int64  `json:"next-milli,omitempty"`
	LastError string `json:"last-error,omitempty"`
}

// Batch is one value in the store.
type Batch struct {
	Jobs []Job `json:"jobs"`
	// Holder leases the batch until UntilMilli.
	Holder     string `json:"holder,omitempty"`
	UntilMilli int64  `json:"until-milli,omitempty"`
	// MadeMilli is the time of the batch, in Unix milliseconds.
	MadeMilli int64 `json:"made-milli"`
}

// due returns the indexes of the jobs to try now.
func (b *Batch) due(now time.Time) []int {
	var list []int
	for i, j := range b.Jobs {
		if j.NextMilli <= now.UnixMilli() {
			list = append(list, i)
		}
	}
	return list
}

// free reports whether nobody else holds the batch.
func (b *Batch) free(now time.Time, holder string) bool {
	return b.Holder == "" || b.Holder == holder || now.UnixMilli() > b.UntilMilli
}

func (b *Batch) lease(now time.Time, holder string) {
	b.Holder = holder
	b.UntilMilli = now.Add(leaseTime).UnixMilli()
}

// fail notes a failed try and when the next one is due.
func (j *Job) fail(now time.Time, reason string) {
	pause := firstPause << min(j.Tries, maxDoublings)
	j.Tries++
	j.NextMilli = now.Add(min(pause, maxPause)).UnixMilli()
	j.LastError = reason
}

// maxDoublings bounds the shift of the pause.
const maxDoublings = 10

// Backlog is what waits in the store.
type Backlog struct {
	Waiting int `json:"waiting"`
	Overdue int `json:"overdue"`
	Failing int `json:"failing"`
	// OldestMilli is the time of the oldest job, in Unix milliseconds.
	OldestMilli int64 `json:"oldest-milli,omitempty"`
}

// add counts a job.
func (l *Backlog) add(now time.Time, j Job) {
	l.Waiting++
	if j.DueMilli < now.UnixMilli() {
		l.Overdue++
	}
	if j.Tries >= failingFrom {
		l.Failing++
	}
	if l.OldestMilli == 0 || j.AcceptedMilli < l.OldestMilli {
		l.OldestMilli = j.AcceptedMilli
	}
}
