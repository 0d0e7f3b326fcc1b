package ledger

// This file defines the take-over of a partition: sealing the old epoch and
// swapping the next one into the store.

import (
	"context"
	"encoding/json"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"tamaracktiller.example/tamaracktiller/internal/platform/store"
)

// ErrBusy reports that a take-over is under way and did not end in time.
var ErrBusy = errors.New("ledger: the partition is being taken over")

// errNoWitness reports that a host that should become a witness did not agree.
var errNoWitness = errors.New("ledger: a new witness does not answer")

// takeoverTimeout bounds one take-over.
const takeoverTimeout = 4 * time.Second

// acquire brings the partition to this host, or returns the owner that is alive.
// For a partition that this host owns it replaces lost witnesses and extends the
// time range. Only one runs at a time per partition.
func (s *Service) acquire(ctx context.Context, partition int) (Member, error) {
	return s.take(ctx, partition, 0)
}

// repair is called when a witness did not agree in the epoch of r: the epoch may
// be over, or the witness is lost, sealed, or holds another journal. If the epoch
// is still in force, witnesses are brought in anew.
func (s *Service) repair(ctx context.Context, r Record) (Member, error) {
	return s.take(ctx, r.Partition, r.Epoch)
}

func (s *Service) take(ctx context.Context, partition int, broken uint64) (Member, error) {
	done, first := s.beginTaking(partition)
	if !first {
		select {
		case <-done:
		case <-ctx.Done():
		}
		if s.owns(partition) {
			return s.cfg.Self, nil
		}
		return Member{}, ErrBusy
	}
	defer s.endTaking(partition, done)
	// A take-over goes on when the caller that caused it goes away.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), takeoverTimeout)
	defer cancel()
	return s.takeOver(ctx, partition, broken)
}

func (s *Service) beginTaking(partition int) (chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if done, busy := s.taking[partition]; busy {
		return done, false
	}
	done := make(chan struct{})
	s.taking[partition] = done
	return done, true
}

func (s *Service) endTaking(partition int, done chan struct{}) {
	s.mu.Lock()
	delete(s.taking, partition)
	s.mu.Unlock()
	close(done)
}

func (s *Service) takeOver(ctx context.Context, partition int, broken uint64) (Member, error) {
	record, version, err := s.readRecord(ctx, partition)
	if err != nil {
		return Member{}, err
	}
	if record.Owner != s.cfg.Self {
		s.locked(func() bool { s.book.resign(partition, record.Epoch); return true })
		if record.Epoch > 0 && s.cfg.Fleet.Alive(record.Owner) {
			return record.Owner, nil
		}
	}
	if held, ok := s.ownRecord(partition); ok && held.Epoch == record.Epoch && record.Owner == s.cfg.Self {
		return s.renew(ctx, record, version, broken == record.Epoch)
	}
	content, lost, err := s.sealOld(ctx, record)
	if err != nil {
		return Member{}, err
	}
	return s.swapIn(ctx, s.nextRecord(record, lost), version, content)
}

func (s *Service) ownRecord(partition int) (Record, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	j := s.book.owned[partition]
	if j == nil {
		return Record{}, false
	}
	return j.record, true
}

// sealOld seals one witness of the old epoch and returns its journal. It reports
// lost when no witness of the epoch is left, so that the journal is gone.
func (s *Service) sealOld(ctx context.Context, r Record) (content Journal, lost bool, err error) {
	if r.Epoch == 0 {
		return Journal{}, false, nil
	}
	for _, w := range r.Witnesses {
		if w == s.cfg.Self {
			ok := s.locked(func() bool {
				var sealed bool
				content, sealed = s.book.seal(Seal{Partition: r.Partition, Epoch: r.Epoch, Nonce: r.Nonce})
				return sealed
			})
			if ok {
				return content, false, nil
			}
			continue
		}
		a, err := s.cfg.Transport.Ask(ctx, w.Host, &Message{Seal: &Seal{Partition: r.Partition, Epoch: r.Epoch, Nonce: r.Nonce}})
		if err == nil && a.OK && a.Journal != nil {
			return *a.Journal, false, nil
		}
	}
	for _, m := range append([]Member{r.Owner}, r.Witnesses...) {
		if m != s.cfg.Self && !s.cfg.Fleet.Lost(m) {
			return Journal{}, false, errors.Errorf("ledger: host %s may still hold the journal", m.Host)
		}
	}
	return Journal{}, true, nil
}

// nextRecord returns the record that follows r with this host as owner. When the
// journal is lost, every key of the old range may have run, so the new range
// starts where the old one ends.
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

// swapIn gives the journal to the new witnesses, swaps the record into the store
// and becomes the owner.
func (s *Service) swapIn(ctx context.Context, next Record, version store.Revision, content Journal) (Member, error) {
	if len(next.Witnesses) == 0 {
		return Member{}, errors.New("ledger: there is no host to be a witness")
	}
	if !s.askAll(ctx, next.Witnesses, &Message{Install: &Install{Record: next, Journal: content}}) {
		return Member{}, errNoWitness
	}
	if err := s.swapRecord(ctx, next, version); err != nil {
		return Member{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.book.activate(next, content)
	delete(s.known, next.Partition)
	return s.cfg.Self, nil
}

// swapRecord swaps a record in. An unclear swap counts only when it is seen in
// the store: this host names itself in it by its incarnation, so nobody else can
// have written it.
func (s *Service) swapRecord(ctx context.Context, next Record, version store.Revision) error {
	data, err := json.Marshal(next)
	if err != nil {
		return errors.Wrap(err, "ledger: record")
	}
	_, err = s.cfg.Store.Swap(ctx, storeKey(next.Partition), version, data)
	if !errors.Is(err, store.ErrUnclear) {
		return errors.Wrap(err, "ledger: swap")
	}
	seen, _, err := s.readRecord(ctx, next.Partition)
	if err != nil {
		return err
	}
	if seen.Nonce != next.Nonce || seen.UntilMilli != next.UntilMilli {
		return errors.New("ledger: the swap is not seen in the store")
	}
	return nil
}

// renew replaces lost witnesses of an owned partition, or extends its range. The
// owner holds the whole journal. While a new witness is brought in nothing is
// granted, since the grant needs all witnesses of the epoch in force.
func (s *Service) renew(ctx context.Context, r Record, version store.Revision, broken bool) (Member, error) {
	next := r
	next.UntilMilli = max(r.UntilMilli, s.cfg.Now().Add(Horizon).UnixMilli())
	if !broken && s.allAlive(r.Witnesses) {
		if next.UntilMilli-r.UntilMilli < (Horizon - extendBelow).Milliseconds() {
			return s.cfg.Self, nil
		}
		if err := s.swapRecord(ctx, next, version); err != nil {
			return Member{}, err
		}
		s.locked(func() bool { s.book.renew(next); return true })
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
	// Handing over the journal and renewing must see the same entries, so the
	// ownership rests meanwhile.
	s.mu.Lock()
	j := s.book.owned[next.Partition]
	delete(s.book.owned, next.Partition)
	s.mu.Unlock()
	if j == nil {
		return Member{}, ErrBusy
	}
	owner, err := s.swapWith(ctx, j, next, version)
	if err != nil && !errors.Is(err, errNoWitness) {
		// Whether the swap landed is not known: the journal stays with the
		// witnesses, and this host must take the partition over anew.
		s.mu.Lock()
		s.book.forget(j)
		s.mu.Unlock()
	}
	return owner, err
}

func (s *Service) swapWith(ctx context.Context, j *journal, next Record, version store.Revision) (Member, error) {
	s.mu.Lock()
	content := j.content()
	s.mu.Unlock()
	if len(next.Witnesses) == 0 || !s.askAll(ctx, next.Witnesses, &Message{Install: &Install{Record: next, Journal: content}}) {
		s.mu.Lock()
		s.book.owned[next.Partition] = j
		s.mu.Unlock()
		return Member{}, errNoWitness
	}
	if err := s.swapRecord(ctx, next, version); err != nil {
		return Member{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	j.record = next
	s.book.owned[next.Partition] = j
	return s.cfg.Self, nil
}
