package ledger

// This file defines Service, which keeps the promise across hosts: claims,
// endings, witnesses and take-overs.

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"

	"tamaracktiller.example/tamaracktiller/internal/kernel/timer"
	"tamaracktiller.example/tamaracktiller/internal/platform/store"
)

// ErrUnsent reports that a question did not leave this host.
var ErrUnsent = errors.New("ledger: the question was not sent")

// Transport asks other hosts.
type Transport interface {
	// Ask sends a question to a host and waits for its answer.
	Ask(ctx context.Context, host string, q *Message) (*Message, error)
}

// Fleet tells which hosts there are.
type Fleet interface {
	// Ready reports whether the own view is fresh enough to act on.
	Ready() bool
	// Suspect notes that a host could not answer a claim.
	Suspect(host string)
	// Alive reports whether the incarnation counts as alive here.
	Alive(m Member) bool
	// Lost reports whether the incarnation will not come back: its host runs
	// another one, or it has been gone for long while most others are heard.
	Lost(m Member) bool
	// First returns the host that should own a partition; its name is empty when
	// there is none.
	First(partition int) Member
	// Witnesses returns the other hosts, best first: those of other domains.
	Witnesses(partition int) []Member
}

// Config holds the dependencies of a service.
type Config struct {
	Self      Member
	Store     store.Store
	Transport Transport
	Fleet     Fleet
	Now       func() time.Time
}

// Service answers claims for the partitions that it owns and finds the owner of
// the others. It is safe for concurrent use.
type Service struct {
	cfg Config

	mu    sync.Mutex
	book  *book
	known map[int]Member
	// taking holds, per partition, the take-over under way.
	taking map[int]chan struct{}
	// endings holds, per witness, the notes of ended attempts that wait for Flush.
	endings map[string][]Note
}

// NewService returns a service that owns nothing.
func NewService(cfg Config) *Service {
	return &Service{cfg: cfg, book: newBook(cfg.Self), known: map[int]Member{}, taking: map[int]chan struct{}{}, endings: map[string][]Note{}}
}

const (
	// noteTimeout bounds the wait for a witness.
	noteTimeout = 500 * time.Millisecond
	// claimTries bounds the hosts that are asked for one claim.
	claimTries = 8
	// claimPause is the time between two of them.
	claimPause = 50 * time.Millisecond
)

// Claim asks the owner of the key for the right to run it. An owner that cannot
// be reached leaves the claim refused: an attempt without a grant sends nothing.
func (s *Service) Claim(ctx context.Context, c Claim) Reply {
	partition := c.Key.Partition()
	last := Reply{Verdict: Refused, Reason: "the owner of the key cannot be reached"}
	for range claimTries {
		owner := s.guess(partition)
		if ctx.Err() != nil {
			break
		}
		if owner.Host == "" {
			timer.Sleep(ctx, claimPause)
			continue
		}
		reply, err := s.claimAt(ctx, owner, c)
		switch {
		case err != nil:
			s.forgetOwner(partition)
		case reply.Verdict == Moved:
			s.setOwner(partition, reply.Owner)
			if reply.Owner.Host == "" {
				s.cfg.Fleet.Suspect(owner.Host)
			}
		default:
			return reply
		}
		timer.Sleep(ctx, claimPause)
	}
	return last
}

func (s *Service) claimAt(ctx context.Context, owner Member, c Claim) (Reply, error) {
	if owner.Host == s.cfg.Self.Host {
		return s.handleClaim(ctx, c), nil
	}
	m, err := s.cfg.Transport.Ask(ctx, owner.Host, &Message{Claim: &c})
	if err != nil {
		return Reply{}, err
	}
	if m.Reply == nil {
		return Reply{}, errors.New("ledger: no reply in the answer")
	}
	return *m.Reply, nil
}

func (s *Service) guess(partition int) Member {
	s.mu.Lock()
	owner, ok := s.known[partition]
	s.mu.Unlock()
	if ok && s.cfg.Fleet.Alive(owner) {
		return owner
	}
	return s.cfg.Fleet.First(partition)
}

func (s *Service) setOwner(partition int, owner Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if owner.Host == "" {
		delete(s.known, partition)
		return
	}
	s.known[partition] = owner
}

func (s *Service) forgetOwner(partition int) { s.setOwner(partition, Member{}) }

// Finish tells the owner how a granted attempt ended. It is best effort: an
// ending that is lost leaves the key uncertain, never free.
func (s *Service) Finish(ctx context.Context, f Finish) {
	owner := s.guess(f.Key.Partition())
	if owner.Host == s.cfg.Self.Host {
		s.handleFinish(f)
		return
	}
	_, _ = s.cfg.Transport.Ask(ctx, owner.Host, &Message{Finish: &f})
}

// Handle answers a question of another host.
func (s *Service) Handle(ctx context.Context, q *Message) *Message {
	switch {
	case q.Claim != nil:
		reply := s.handleClaim(ctx, *q.Claim)
		return &Message{Reply: &reply}
	case q.Finish != nil:
		s.handleFinish(*q.Finish)
		return &Message{OK: true}
	case q.Note != nil:
		return &Message{OK: s.locked(func() bool { return s.book.note(*q.Note) })}
	case q.Endings != nil:
		return &Message{OK: s.locked(func() bool { return s.book.noteEndings(q.Endings) })}
	case q.Install != nil:
		return &Message{OK: s.locked(func() bool { return s.book.install(*q.Install) })}
	case q.Seal != nil:
		var content Journal
		ok := s.locked(func() bool {
			var sealed bool
			content, sealed = s.book.seal(*q.Seal)
			return sealed
		})
		return &Message{OK: ok, Journal: &content}
	}
	return &Message{}
}

func (s *Service) locked(fn func() bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fn()
}

// handleClaim answers a claim at the host that is asked. A host that does not
// own the partition finds the owner, or takes the partition over.
func (s *Service) handleClaim(ctx context.Context, c Claim) Reply {
	partition := c.Key.Partition()
	if !s.cfg.Fleet.Ready() {
		return Reply{Verdict: Moved}
	}
	if !s.owns(partition) {
		owner, err := s.acquire(ctx, partition)
		if err != nil {
			return Reply{Verdict: Refused, Reason: "the owner of the key changes"}
		}
		if owner != s.cfg.Self {
			return Reply{Verdict: Moved, Owner: owner}
		}
	}
	s.mu.Lock()
	reply, e := s.book.claim(s.cfg.Now(), c)
	if e == nil {
		s.mu.Unlock()
		return reply
	}
	j := s.book.owned[partition]
	record := j.record
	note := *j.note(*e)
	s.mu.Unlock()
	if !s.noteAll(ctx, record, note) {
		_, _ = s.repair(ctx, record)
		return Reply{Verdict: Refused, Reason: "a witness of the key cannot be reached"}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.book.grant(record.Epoch, c.Key, c.Attempt)
}

func (s *Service) owns(partition int) bool {
	return s.locked(func() bool { return s.book.owned[partition] != nil })
}

// noteAll asks all witnesses at the same time and reports whether all agreed.
func (s *Service) noteAll(ctx context.Context, r Record, n Note) bool {
	ctx, cancel := context.WithTimeout(ctx, noteTimeout)
	defer cancel()
	return s.askAll(ctx, r.Witnesses, &Message{Note: &n})
}

func (s *Service) askAll(ctx context.Context, members []Member, q *Message) bool {
	answers := make(chan bool, len(members))
	var wg sync.WaitGroup
	for _, m := range members {
		wg.Go(func() {
			a, err := s.cfg.Transport.Ask(ctx, m.Host, q)
			answers <- err == nil && a.OK
		})
	}
	wg.Wait()
	close(answers)
	all := true
	for ok := range answers {
		all = all && ok
	}
	return all
}

func (s *Service) handleFinish(f Finish) {
	s.mu.Lock()
	defer s.mu.Unlock()
	note := s.book.finish(f)
	if note == nil {
		return
	}
	for _, w := range s.book.owned[note.Partition].record.Witnesses {
		if len(s.endings[w.Host]) < maxEndings {
			s.endings[w.Host] = append(s.endings[w.Host], *note)
		}
	}
}

// maxEndings bounds the notes that wait for one witness. A lost one makes a key
// uncertain after a take-over, no more.
const maxEndings = 4096

// FlushPeriod is the period at which Flush must be called.
const FlushPeriod = 50 * time.Millisecond

// Flush tells the witnesses of the attempts that have ended. Safety does not need
// it, so that endings travel together.
func (s *Service) Flush(ctx context.Context) {
	s.mu.Lock()
	endings := s.endings
	if len(endings) == 0 {
		s.mu.Unlock()
		return
	}
	s.endings = map[string][]Note{}
	s.mu.Unlock()
	for host, notes := range endings {
		_, _ = s.cfg.Transport.Ask(ctx, host, &Message{Endings: notes})
	}
}

// Maintain extends the time ranges of the owned partitions and drops old keys.
// It must be called about once a minute.
func (s *Service) Maintain(ctx context.Context) {
	now := s.cfg.Now()
	s.mu.Lock()
	s.book.prune(now)
	var due []int
	for partition, j := range s.book.owned {
		if j.record.UntilMilli < now.Add(extendBelow).UnixMilli() {
			due = append(due, partition)
		}
	}
	s.mu.Unlock()
	for _, partition := range due {
		_, _ = s.acquire(ctx, partition)
	}
}

// Held returns the number of keys and of answer bytes that the host holds.
func (s *Service) Held() (keys, answerBytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.book.keys, s.book.answers
}

// readRecord reads the record of a partition; version 0 means that there is none.
func (s *Service) readRecord(ctx context.Context, partition int) (Record, store.Revision, error) {
	v, err := s.cfg.Store.Get(ctx, storeKey(partition))
	if errors.Is(err, store.ErrNotFound) {
		return Record{Partition: partition}, store.Revision{}, nil
	}
	if err != nil {
		return Record{}, store.Revision{}, errors.Wrap(err, "ledger: record")
	}
	var r Record
	if err := json.Unmarshal(v.Data, &r); err != nil {
		return Record{}, store.Revision{}, errors.Wrap(err, "ledger: record")
	}
	return r, v.Version, nil
}
