package ledger

// This file defines the takeover of a partition: sealing the old epoch and writing the next
// one to the store.

import (
	"context"
	"encoding/json"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"tamaracktiller.example/tamaracktiller/internal/platform/store"
)

// ErrTakeoverInProgress is returned if a takeover of the partition is running and this host
// does not own the partition when the wait for it ends.
var ErrTakeoverInProgress = errors.New("ledger: the partition is being taken over")

// errNoWitness is returned if a host could not be made a witness.
var errNoWitness = errors.New("ledger: a new witness did not accept the journal")

// takeoverTimeout limits the duration of one takeover.
const takeoverTimeout = 4 * time.Second

// acquire takes over a partition and returns its owner, which is another host if that host
// owns the partition and is alive. If this host already owns the partition, acquire replaces
// witnesses that are not alive and extends the time range. Only one takeover runs at a time
// per partition.
func (s *Service) acquire(ctx context.Context, partition int) (Member, error) {
	return s.runTakeover(ctx, partition, 0)
}

// repair is called when a witness did not record an update in the epoch of r: the epoch may
// have ended, or the witness is unreachable, sealed or full, or has no journal of the epoch.
// If the epoch is still active, the witnesses are replaced.
func (s *Service) repair(ctx context.Context, r Record) (Member, error) {
	return s.runTakeover(ctx, r.Partition, r.Epoch)
}

func (s *Service) runTakeover(ctx context.Context, partition int, failedEpoch uint64) (Member, error) {
	done, first := s.beginTakeover(partition)
	if !first {
		select {
		case <-done:
		case <-ctx.Done():
		}
		if s.owns(partition) {
			return s.cfg.Self, nil
		}
		return Member{}, ErrTakeoverInProgress
	}
	defer s.endTakeover(partition, done)
	// The takeover continues if the request that started it is canceled.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), takeoverTimeout)
	defer cancel()
	return s.takeOver(ctx, partition, failedEpoch)
}

func (s *Service) beginTakeover(partition int) (chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if done, running := s.takeovers[partition]; running {
		return done, false
	}
	done := make(chan struct{})
	s.takeovers[partition] = done
	return done, true
}

func (s *Service) endTakeover(partition int, done chan struct{}) {
	s.mu.Lock()
	delete(s.takeovers, partition)
	s.mu.Unlock()
	close(done)
}

// takeOver performs one takeover. It returns the owner in the store if that host is alive,
// renews a partition that this host owns, and otherwise seals the old epoch and starts the
// next one.
func (s *Service) takeOver(ctx context.Context, partition int, failedEpoch uint64) (Member, error) {
	record, version, err := s.readRecord(ctx, partition)
	if err != nil {
		return Member{}, err
	}
	if record.Owner != s.cfg.Self {
		s.withLock(func() bool { s.state.resign(partition, record.Epoch); return true })
		if record.Epoch > 0 && s.cfg.Fleet.Alive(record.Owner) {
			return record.Owner, nil
		}
	}
	if owned, ok := s.ownedRecord(partition); ok && owned.Epoch == record.Epoch && record.Owner == s.cfg.Self {
		return s.renew(ctx, record, version, failedEpoch == record.Epoch)
	}
	content, lost, err := s.sealEpoch(ctx, record)
	if err != nil {
		return Member{}, err
	}
	return s.startEpoch(ctx, s.nextRecord(record, lost), version, content)
}

func (s *Service) ownedRecord(partition int) (Record, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	j := s.state.owned[partition]
	if j == nil {
		return Record{}, false
	}
	return j.record, true
}

// sealEpoch seals one witness of the epoch of r and returns its journal. It returns lost if
// the owner and all witnesses of the epoch are lost, and the journal with them.
func (s *Service) sealEpoch(ctx context.Context, r Record) (content Journal, lost bool, err error) {
	if r.Epoch == 0 {
		return Journal{}, false, nil
	}
	for _, w := range r.Witnesses {
		if w == s.cfg.Self {
			ok := s.withLock(func() bool {
				var sealed bool
				content, sealed = s.state.seal(Seal{Partition: r.Partition, Epoch: r.Epoch, Nonce: r.Nonce})
				return sealed
			})
			if ok {
				return content, false, nil
			}
			continue
		}
		resp, err := s.cfg.Transport.Call(ctx, w.Host, &Message{Seal: &Seal{Partition: r.Partition, Epoch: r.Epoch, Nonce: r.Nonce}})
		if err == nil && resp.OK && resp.Journal != nil {
			return *resp.Journal, false, nil
		}
	}
	for _, m := range append([]Member{r.Owner}, r.Witnesses...) {
		if m != s.cfg.Self && !s.cfg.Fleet.Lost(m) {
			return Journal{}, false, errors.Errorf("ledger: host %s may still hold the journal", m.Host)
		}
	}
	return Journal{}, true, nil
}

// nextRecord returns the record that follows r, with this host as the owner. If the journal
// is lost, any key in the old time range may have run, so the new range starts where the old
// one ends.
func (s *Service) nextRecord(r Record, lost bool) Record {
	next := Record{
		Partition: r.Partition, Epoch: r.Epoch + 1, Nonce: uuid.NewString(), Owner: s.cfg.Self, Witnesses: s.chooseWitnesses(r.Partition),
		AfterMilli: r.AfterMilli, UntilMilli: s.cfg.Now().Add(Horizon).UnixMilli(),
	}
	if lost {
		next.AfterMilli = r.UntilMilli
	}
	next.UntilMilli = max(next.UntilMilli, r.UntilMilli)
	return next
}

func (s *Service) chooseWitnesses(partition int) []Member {
	witnesses := s.cfg.Fleet.Witnesses(partition)
	return witnesses[:min(len(witnesses), MaxWitnesses)]
}

// startEpoch installs the journal at the new witnesses, writes the record to the store and
// makes this host the owner.
func (s *Service) startEpoch(ctx context.Context, next Record, version store.Revision, content Journal) (Member, error) {
	if len(next.Witnesses) == 0 {
		return Member{}, errors.New("ledger: no host is available as a witness")
	}
	if !s.sendAll(ctx, next.Witnesses, &Message{Install: &Install{Record: next, Journal: content}}) {
		return Member{}, errNoWitness
	}
	if err := s.writeRecord(ctx, next, version); err != nil {
		return Member{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.activate(next, content)
	delete(s.owners, next.Partition)
	return s.cfg.Self, nil
}

// writeRecord writes a record to the store with a compare-and-swap. If the outcome is
// unknown, it reads the record back. Only this host writes records that name its incarnation
// as the owner, so a stored record with the same nonce and range is the one that it wrote.
func (s *Service) writeRecord(ctx context.Context, next Record, version store.Revision) error {
	data, err := json.Marshal(next)
	if err != nil {
		return errors.Wrap(err, "ledger: encode partition record")
	}
	_, err = s.cfg.Store.CompareAndSwap(ctx, storeKey(next.Partition), version, data)
	if !errors.Is(err, store.ErrOutcomeUnknown) {
		return errors.Wrap(err, "ledger: write partition record")
	}
	stored, _, err := s.readRecord(ctx, next.Partition)
	if err != nil {
		return err
	}
	if stored.Nonce != next.Nonce || stored.UntilMilli != next.UntilMilli {
		return errors.New("ledger: the partition record in the store is not the one written")
	}
	return nil
}

// renew replaces the witnesses of an owned partition if one has failed, and otherwise extends
// the time range if it is due. It needs no journal from a witness, since the owner has all
// entries. Nothing is granted while witnesses are replaced, since a grant needs all witnesses
// of the active epoch.
func (s *Service) renew(ctx context.Context, r Record, version store.Revision, witnessFailed bool) (Member, error) {
	next := r
	next.UntilMilli = max(r.UntilMilli, s.cfg.Now().Add(Horizon).UnixMilli())
	if !witnessFailed && s.allAlive(r.Witnesses) {
		if next.UntilMilli-r.UntilMilli < (Horizon - extendBelow).Milliseconds() {
			return s.cfg.Self, nil
		}
		if err := s.writeRecord(ctx, next, version); err != nil {
			return Member{}, err
		}
		s.withLock(func() bool { s.state.renew(next); return true })
		return s.cfg.Self, nil
	}
	return s.replaceWitnesses(ctx, next, version)
}

func (s *Service) allAlive(members []Member) bool {
	for _, m := range members {
		if !s.cfg.Fleet.Alive(m) {
			return false
		}
	}
	return true
}

func (s *Service) replaceWitnesses(ctx context.Context, next Record, version store.Revision) (Member, error) {
	next.Epoch++
	next.Nonce = uuid.NewString()
	next.Witnesses = s.chooseWitnesses(next.Partition)
	// Ownership is suspended so that the journal does not change between its installation at
	// the witnesses and the activation of the epoch.
	s.mu.Lock()
	j := s.state.owned[next.Partition]
	delete(s.state.owned, next.Partition)
	s.mu.Unlock()
	if j == nil {
		return Member{}, ErrTakeoverInProgress
	}
	owner, err := s.installAndWrite(ctx, j, next, version)
	if err != nil && !errors.Is(err, errNoWitness) {
		// The record may or may not have been written. The witnesses keep the journal, and
		// this host must take over the partition again.
		s.mu.Lock()
		s.state.clear(j)
		s.mu.Unlock()
	}
	return owner, err
}

// installAndWrite installs the journal at the witnesses of next, writes next to the store and
// restores the ownership. If a witness does not accept the journal, it restores the ownership
// with the old record.
func (s *Service) installAndWrite(ctx context.Context, j *journal, next Record, version store.Revision) (Member, error) {
	s.mu.Lock()
	content := j.snapshot()
	s.mu.Unlock()
	if len(next.Witnesses) == 0 || !s.sendAll(ctx, next.Witnesses, &Message{Install: &Install{Record: next, Journal: content}}) {
		s.mu.Lock()
		s.state.owned[next.Partition] = j
		s.mu.Unlock()
		return Member{}, errNoWitness
	}
	if err := s.writeRecord(ctx, next, version); err != nil {
		return Member{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	j.record = next
	s.state.owned[next.Partition] = j
	return s.cfg.Self, nil
}
