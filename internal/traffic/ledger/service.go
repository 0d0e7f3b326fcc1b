package ledger

// This file defines Service, which handles claims and outcomes across hosts and keeps the
// witnesses up to date.

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"

	"tamaracktiller.example/tamaracktiller/internal/kernel/timer"
	"tamaracktiller.example/tamaracktiller/internal/platform/store"
)

// ErrNotSent is returned if a request did not leave this host.
var ErrNotSent = errors.New("ledger: the request was not sent")

// Transport sends requests to other hosts.
type Transport interface {
	// Call sends a request to a host and waits for the response.
	Call(ctx context.Context, host string, req *Message) (*Message, error)
}

// Fleet provides the membership of the fleet as seen by this host.
type Fleet interface {
	// Ready reports whether this host's view of the fleet is recent enough to act on.
	Ready() bool
	// Suspect records that a host could not handle a claim, so that it is not chosen as an
	// owner or witness for a while.
	Suspect(host string)
	// Alive reports whether this host considers the incarnation alive.
	Alive(m Member) bool
	// Lost reports whether the incarnation will not come back: its host runs another one,
	// or it has been missing for a long time while most failure domains are present.
	Lost(m Member) bool
	// PreferredOwner returns the host that should own a partition. Its name is empty if
	// there is none.
	PreferredOwner(partition int) Member
	// Witnesses returns the other hosts, those in other failure domains first.
	Witnesses(partition int) []Member
}

// Config holds the dependencies of a Service.
type Config struct {
	Self      Member
	Store     store.Store
	Transport Transport
	Fleet     Fleet
	Now       func() time.Time
}

// Service handles claims for the partitions that this host owns and sends the others to
// their owners. It is safe for concurrent use.
type Service struct {
	cfg Config

	mu    sync.Mutex
	state *state
	// owners caches the owner of each partition.
	owners map[int]Member
	// takeovers holds a channel for each partition whose takeover is running. It is closed
	// when the takeover ends.
	takeovers map[int]chan struct{}
	// pending holds, per witness, the updates for ended attempts until Flush sends them.
	pending map[string][]Update
}

// NewService returns a service that owns no partitions.
func NewService(cfg Config) *Service {
	return &Service{cfg: cfg, state: newState(cfg.Self), owners: map[int]Member{}, takeovers: map[int]chan struct{}{}, pending: map[string][]Update{}}
}

const (
	// witnessTimeout limits the wait for witnesses to record a key.
	witnessTimeout = 500 * time.Millisecond
	// maxClaimAttempts limits the attempts to send one claim to the owner of its key.
	maxClaimAttempts = 8
	// claimBackoff is the time between two such attempts.
	claimBackoff = 50 * time.Millisecond
)

// Claim requests the grant for a key from its owner. If the owner cannot be reached, the
// claim is rejected, since a request must not be sent without a grant.
func (s *Service) Claim(ctx context.Context, c Claim) Reply {
	partition := c.Key.Partition()
	unreachable := Reply{Verdict: Rejected, Reason: "the owner of the key cannot be reached"}
	for range maxClaimAttempts {
		owner := s.lookupOwner(partition)
		if ctx.Err() != nil {
			break
		}
		if owner.Host == "" {
			timer.Sleep(ctx, claimBackoff)
			continue
		}
		reply, err := s.claimAt(ctx, owner, c)
		switch {
		case err != nil:
			s.forgetOwner(partition)
		case reply.Verdict == NotOwner:
			s.setOwner(partition, reply.Owner)
			if reply.Owner.Host == "" {
				s.cfg.Fleet.Suspect(owner.Host)
			}
		default:
			return reply
		}
		timer.Sleep(ctx, claimBackoff)
	}
	return unreachable
}

func (s *Service) claimAt(ctx context.Context, owner Member, c Claim) (Reply, error) {
	if owner.Host == s.cfg.Self.Host {
		return s.handleClaim(ctx, c), nil
	}
	resp, err := s.cfg.Transport.Call(ctx, owner.Host, &Message{Claim: &c})
	if err != nil {
		return Reply{}, err
	}
	if resp.Reply == nil {
		return Reply{}, errors.New("ledger: response to a claim contains no reply")
	}
	return *resp.Reply, nil
}

func (s *Service) lookupOwner(partition int) Member {
	s.mu.Lock()
	owner, ok := s.owners[partition]
	s.mu.Unlock()
	if ok && s.cfg.Fleet.Alive(owner) {
		return owner
	}
	return s.cfg.Fleet.PreferredOwner(partition)
}

func (s *Service) setOwner(partition int, owner Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if owner.Host == "" {
		delete(s.owners, partition)
		return
	}
	s.owners[partition] = owner
}

func (s *Service) forgetOwner(partition int) { s.setOwner(partition, Member{}) }

// Finish reports the outcome of a granted attempt to the owner. It is best effort: if the
// report is lost, the key is not granted again, and claims after the attempt's deadline get
// the verdict MayHaveRun.
func (s *Service) Finish(ctx context.Context, f Finish) {
	owner := s.lookupOwner(f.Key.Partition())
	if owner.Host == s.cfg.Self.Host {
		s.handleFinish(f)
		return
	}
	_, _ = s.cfg.Transport.Call(ctx, owner.Host, &Message{Finish: &f})
}

// Handle processes a request from another host and returns the response.
func (s *Service) Handle(ctx context.Context, req *Message) *Message {
	switch {
	case req.Claim != nil:
		reply := s.handleClaim(ctx, *req.Claim)
		return &Message{Reply: &reply}
	case req.Finish != nil:
		s.handleFinish(*req.Finish)
		return &Message{OK: true}
	case req.Update != nil:
		return &Message{OK: s.withLock(func() bool { return s.state.applyUpdate(*req.Update) })}
	case req.Updates != nil:
		return &Message{OK: s.withLock(func() bool { return s.state.applyUpdates(req.Updates) })}
	case req.Install != nil:
		return &Message{OK: s.withLock(func() bool { return s.state.install(*req.Install) })}
	case req.Seal != nil:
		var content Journal
		ok := s.withLock(func() bool {
			var sealed bool
			content, sealed = s.state.seal(*req.Seal)
			return sealed
		})
		return &Message{OK: ok, Journal: &content}
	}
	return &Message{}
}

func (s *Service) withLock(fn func() bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fn()
}

// handleClaim processes a claim at this host. If the host does not own the partition, it
// returns the owner from the store or, if that owner is not alive, takes over the partition.
func (s *Service) handleClaim(ctx context.Context, c Claim) Reply {
	partition := c.Key.Partition()
	if !s.cfg.Fleet.Ready() {
		return Reply{Verdict: NotOwner}
	}
	if !s.owns(partition) {
		owner, err := s.acquire(ctx, partition)
		if err != nil {
			return Reply{Verdict: Rejected, Reason: "the owner of the key changes"}
		}
		if owner != s.cfg.Self {
			return Reply{Verdict: NotOwner, Owner: owner}
		}
	}
	s.mu.Lock()
	reply, e := s.state.claim(s.cfg.Now(), c)
	if e == nil {
		s.mu.Unlock()
		return reply
	}
	j := s.state.owned[partition]
	record := j.record
	update := *j.newUpdate(*e)
	s.mu.Unlock()
	if !s.updateWitnesses(ctx, record, update) {
		_, _ = s.repair(ctx, record)
		return Reply{Verdict: Rejected, Reason: "a witness of the key cannot be reached"}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.grant(record.Epoch, c.Key, c.Attempt)
}

func (s *Service) owns(partition int) bool {
	return s.withLock(func() bool { return s.state.owned[partition] != nil })
}

// updateWitnesses sends an update to all witnesses and reports whether all recorded it.
func (s *Service) updateWitnesses(ctx context.Context, r Record, u Update) bool {
	ctx, cancel := context.WithTimeout(ctx, witnessTimeout)
	defer cancel()
	return s.sendAll(ctx, r.Witnesses, &Message{Update: &u})
}

func (s *Service) sendAll(ctx context.Context, members []Member, req *Message) bool {
	results := make(chan bool, len(members))
	var wg sync.WaitGroup
	for _, m := range members {
		wg.Go(func() {
			resp, err := s.cfg.Transport.Call(ctx, m.Host, req)
			results <- err == nil && resp.OK
		})
	}
	wg.Wait()
	close(results)
	all := true
	for ok := range results {
		all = all && ok
	}
	return all
}

func (s *Service) handleFinish(f Finish) {
	s.mu.Lock()
	defer s.mu.Unlock()
	update := s.state.finish(f)
	if update == nil {
		return
	}
	for _, w := range s.state.owned[update.Partition].record.Witnesses {
		if len(s.pending[w.Host]) < maxPending {
			s.pending[w.Host] = append(s.pending[w.Host], *update)
		}
	}
}

// maxPending limits the updates that are queued for one witness. The only effect of a lost
// update is that the outcome of the key is unknown after a takeover.
const maxPending = 4096

// FlushPeriod is the interval at which Flush must be called.
const FlushPeriod = 50 * time.Millisecond

// Flush sends the outcomes of ended attempts to the witnesses. They are sent in batches,
// since safety does not depend on them.
func (s *Service) Flush(ctx context.Context) {
	s.mu.Lock()
	batches := s.pending
	if len(batches) == 0 {
		s.mu.Unlock()
		return
	}
	s.pending = map[string][]Update{}
	s.mu.Unlock()
	for host, updates := range batches {
		_, _ = s.cfg.Transport.Call(ctx, host, &Message{Updates: updates})
	}
}

// Maintain extends the time ranges of the owned partitions and removes old keys. It must be
// called at least once a minute.
func (s *Service) Maintain(ctx context.Context) {
	now := s.cfg.Now()
	s.mu.Lock()
	s.state.prune(now)
	var due []int
	for partition, j := range s.state.owned {
		if j.record.UntilMilli < now.Add(extendBelow).UnixMilli() {
			due = append(due, partition)
		}
	}
	s.mu.Unlock()
	for _, partition := range due {
		_, _ = s.acquire(ctx, partition)
	}
}

// Usage returns the number of keys and the total size of the response bodies that the host
// holds.
func (s *Service) Usage() (keys, responseBytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.keys, s.state.responseBytes
}

// readRecord reads the record of a partition. If there is none, it returns a record with
// epoch 0 and the zero version.
func (s *Service) readRecord(ctx context.Context, partition int) (Record, store.Revision, error) {
	v, err := s.cfg.Store.Get(ctx, storeKey(partition))
	if errors.Is(err, store.ErrNotFound) {
		return Record{Partition: partition}, store.Revision{}, nil
	}
	if err != nil {
		return Record{}, store.Revision{}, errors.Wrap(err, "ledger: read partition record")
	}
	var r Record
	if err := json.Unmarshal(v.Data, &r); err != nil {
		return Record{}, store.Revision{}, errors.Wrap(err, "ledger: decode partition record")
	}
	return r, v.Version, nil
}
