package ledger

// This file defines state, the journals that one host holds as owner and as witness. It
// does no I/O and reads no clock.

import (
	"fmt"
	"slices"
	"time"
)

// journal holds the entries of a partition in one epoch.
type journal struct {
	record  Record
	entries map[Key]*Entry
	pruned  int64
	// sealed is set at a witness that accepts no more updates.
	sealed bool
	// active is set at a witness that has received an update, so the epoch was activated.
	active bool
	// seq is the sequence number of the owner's last update.
	seq uint64
}

// maxEpochs limits the epochs of one partition that a host holds as a witness. Only one is
// active; the others were installed by takeovers that may have failed.
const maxEpochs = 8

// state holds the journals of a host. It is not safe for concurrent use.
type state struct {
	self      Member
	owned     map[int]*journal
	witnessed map[int][]*journal
	keys      int
	// responseBytes is the total size of the kept response bodies.
	responseBytes int
	// ignoreSeals makes sealed witnesses accept updates. A test uses it to show that it
	// detects keys that run twice.
	ignoreSeals bool
}

func newState(self Member) *state {
	return &state{self: self, owned: map[int]*journal{}, witnessed: map[int][]*journal{}}
}

// claim handles a claim at the owner. It returns a verdict, or the entry that every witness
// must record before the key is granted.
func (st *state) claim(now time.Time, c Claim) (Reply, *Entry) {
	j := st.owned[c.Key.Partition()]
	if j == nil {
		return Reply{Verdict: NotOwner}, nil
	}
	if e, known := j.entries[c.Key]; known {
		return st.claimKnown(now, j, e, c)
	}
	if rejection, ok := j.checkTime(now, c); !ok {
		return rejection, nil
	}
	if st.keys >= MaxKeys {
		return Reply{Verdict: Rejected, Reason: "too many keys are held"}, nil
	}
	e := &Entry{Key: c.Key, TimeMilli: c.TimeMilli, Attempt: c.Attempt, Fingerprint: c.Fingerprint, UntilMilli: c.UntilMilli}
	j.entries[c.Key] = e
	st.keys++
	return Reply{}, e
}

// checkTime checks the timestamp of an unknown key. A key that is older than the entries
// that the journal can hold may have run.
func (j *journal) checkTime(now time.Time, c Claim) (Reply, bool) {
	at := now.UnixMilli()
	switch {
	case c.TimeMilli <= max(j.record.AfterMilli, j.pruned) || c.TimeMilli <= at-MaxKeyAge.Milliseconds():
		return Reply{Verdict: MayHaveRun, Reason: "the key is older than what is remembered"}, false
	case c.TimeMilli > at+MaxClockSkew.Milliseconds():
		return Reply{Verdict: Rejected, Reason: "the time of the key lies ahead"}, false
	case c.TimeMilli > j.record.UntilMilli:
		return Reply{Verdict: Rejected, Reason: "the partition waits for the store"}, false
	}
	return Reply{}, true
}

// claimKnown handles a claim of a key that has an entry.
func (st *state) claimKnown(now time.Time, j *journal, e *Entry, c Claim) (Reply, *Entry) {
	switch {
	case e.Fingerprint != c.Fingerprint:
		return Reply{Verdict: KeyReused, Reason: "the key was used for another request"}, nil
	case e.Outcome == OutcomeRan:
		return Reply{Verdict: Finished, Response: e.Response}, nil
	case e.Outcome == OutcomeUnknown:
		return Reply{Verdict: MayHaveRun, Reason: "an earlier attempt may have run"}, nil
	case e.Granted && e.Attempt == c.Attempt:
		return Reply{Verdict: Granted, Epoch: j.record.Epoch}, nil
	case e.Granted && now.UnixMilli() <= e.UntilMilli:
		return Reply{Verdict: Running, Reason: "an earlier attempt is running"}, nil
	case e.Granted:
		return Reply{Verdict: MayHaveRun, Reason: "an earlier attempt did not report its end"}, nil
	}
	// The key was not granted in this epoch because not all witnesses have recorded it.
	e.Attempt, e.UntilMilli = c.Attempt, c.UntilMilli
	return Reply{}, e
}

// grant grants a key after every witness has recorded it. The host must still own the
// partition in the epoch, and the entry must still belong to the attempt.
func (st *state) grant(epoch uint64, key Key, attempt string) Reply {
	j := st.owned[key.Partition()]
	if j == nil || j.record.Epoch != epoch {
		return Reply{Verdict: NotOwner}
	}
	e := j.entries[key]
	if e == nil || e.Attempt != attempt || e.Outcome != 0 {
		return Reply{Verdict: Running, Reason: "another attempt was first"}
	}
	e.Granted = true
	return Reply{Verdict: Granted, Epoch: epoch}
}

// finish records the outcome of an attempt. It returns the update for the witnesses, or nil
// if the owner has no unfinished entry of the attempt.
func (st *state) finish(f Finish) *Update {
	j := st.owned[f.Key.Partition()]
	if j == nil {
		return nil
	}
	e := j.entries[f.Key]
	if e == nil || e.Attempt != f.Attempt || e.Outcome != 0 {
		return nil
	}
	update := j.newUpdate(*e)
	if f.Outcome == OutcomeNotRun {
		update.Release = true
		st.remove(j, f.Key)
		return update
	}
	e.Outcome = f.Outcome
	st.keepResponse(e, f.Response)
	update.Entry = *e
	return update
}

// newUpdate returns the next update of an owner's journal, for the given entry.
func (j *journal) newUpdate(e Entry) *Update {
	j.seq++
	return &Update{Partition: j.record.Partition, Epoch: j.record.Epoch, Nonce: j.record.Nonce, Entry: e, Seq: j.seq, PrunedMilli: j.pruned}
}

// keepResponse stores a response in an entry if the size limits allow it.
func (st *state) keepResponse(e *Entry, resp *Response) {
	if resp == nil || len(resp.Body) > MaxResponseBytes || st.responseBytes+len(resp.Body) > MaxTotalResponseBytes {
		return
	}
	e.Response = resp
	st.responseBytes += len(resp.Body)
}

func (st *state) remove(j *journal, key Key) {
	e, ok := j.entries[key]
	if !ok {
		return
	}
	if e.Response != nil {
		st.responseBytes -= len(e.Response.Body)
	}
	delete(j.entries, key)
	st.keys--
}

// witnessJournal returns the journal of an epoch of which the host is a witness, or nil.
func (st *state) witnessJournal(partition int, epoch uint64, nonce string) *journal {
	for _, j := range st.witnessed[partition] {
		if j.record.Epoch == epoch && j.record.Nonce == nonce {
			return j
		}
	}
	return nil
}

// applyUpdate applies an update at a witness and reports whether the entry is recorded. It
// fails if the host is not a witness of the epoch or the journal is sealed.
func (st *state) applyUpdate(u Update) bool {
	j := st.witnessJournal(u.Partition, u.Epoch, u.Nonce)
	if j == nil || j.sealed && !st.ignoreSeals {
		return false
	}
	j.markActive(st)
	j.prune(st, u.PrunedMilli)
	old, known := j.entries[u.Entry.Key]
	switch {
	case known && old.seq > u.Seq:
		return old.Attempt == u.Entry.Attempt
	case u.Release:
		st.remove(j, u.Entry.Key)
		return true
	case !known && st.keys >= MaxKeys:
		return false
	case known:
		st.remove(j, u.Entry.Key)
	}
	e := u.Entry
	e.seq = u.Seq
	e.Response = nil
	j.entries[e.Key] = &e
	st.keys++
	st.keepResponse(&e, u.Entry.Response)
	return true
}

// applyUpdates applies several updates and reports whether all succeeded.
func (st *state) applyUpdates(updates []Update) bool {
	all := true
	for _, u := range updates {
		all = st.applyUpdate(u) && all
	}
	return all
}

// markActive marks the epoch as activated and discards older epochs, which have ended.
func (j *journal) markActive(st *state) {
	if j.active {
		return
	}
	j.active = true
	st.witnessed[j.record.Partition] = slices.DeleteFunc(st.witnessed[j.record.Partition], func(other *journal) bool {
		if other.record.Epoch >= j.record.Epoch {
			return false
		}
		st.clear(other)
		return true
	})
}

// seal seals the journal of a witness and returns its content. It returns false if the host
// is not a witness of the epoch.
func (st *state) seal(s Seal) (Journal, bool) {
	j := st.witnessJournal(s.Partition, s.Epoch, s.Nonce)
	if j == nil {
		return Journal{}, false
	}
	j.sealed = true
	return j.snapshot(), true
}

func (j *journal) snapshot() Journal {
	c := Journal{Entries: make([]Entry, 0, len(j.entries)), PrunedMilli: j.pruned}
	for _, e := range j.entries {
		c.Entries = append(c.Entries, *e)
	}
	return c
}

// install makes the host a witness of an epoch that may be activated later. A second
// request with the same nonce is a duplicate and changes nothing.
func (st *state) install(in Install) bool {
	r := in.Record
	if !slices.Contains(r.Witnesses, st.self) {
		// The request was meant for an earlier incarnation of this host.
		return false
	}
	if j := st.witnessJournal(r.Partition, r.Epoch, r.Nonce); j != nil {
		return !j.active && !j.sealed
	}
	if len(st.witnessed[r.Partition]) >= maxEpochs && !st.evictInactive(r) {
		return false
	}
	st.witnessed[r.Partition] = append(st.witnessed[r.Partition], st.newJournal(r, in.Journal))
	return true
}

// evictInactive discards one epoch that is older than the epoch before r, was never active
// on this host and is not sealed. It reports whether there was one.
func (st *state) evictInactive(r Record) bool {
	list := st.witnessed[r.Partition]
	for i, j := range list {
		if !j.active && !j.sealed && j.record.Epoch+1 < r.Epoch {
			st.clear(j)
			st.witnessed[r.Partition] = slices.Delete(list, i, i+1)
			return true
		}
	}
	return false
}

// newJournal returns a journal with the given content. Entries without an outcome get
// OutcomeUnknown, since the request may have run.
func (st *state) newJournal(r Record, content Journal) *journal {
	j := &journal{record: r, entries: make(map[Key]*Entry, len(content.Entries)), pruned: content.PrunedMilli}
	for _, e := range content.Entries {
		if e.Outcome == 0 {
			e.Outcome = OutcomeUnknown
		}
		j.entries[e.Key] = &e
		st.keys++
		if e.Response != nil {
			st.responseBytes += len(e.Response.Body)
		}
	}
	return j
}

func (st *state) clear(j *journal) {
	if j == nil {
		return
	}
	for key := range j.entries {
		st.remove(j, key)
	}
}

// activate makes the host the owner in an epoch that has been written to the store.
func (st *state) activate(r Record, content Journal) {
	if r.Owner != st.self {
		panic(fmt.Sprintf("ledger: %v activates the epoch of %v", st.self, r.Owner))
	}
	old := st.owned[r.Partition]
	if old != nil && old.record.Epoch >= r.Epoch {
		panic(fmt.Sprintf("ledger: partition %d goes from epoch %d to %d", r.Partition, old.record.Epoch, r.Epoch))
	}
	st.clear(old)
	st.owned[r.Partition] = st.newJournal(r, content)
}

// renew replaces the record of an owned partition and keeps its entries, including those
// whose attempts are running.
func (st *state) renew(r Record) {
	j := st.owned[r.Partition]
	if j == nil || j.record.Epoch > r.Epoch {
		panic(fmt.Sprintf("ledger: renewal of partition %d, epoch %d", r.Partition, r.Epoch))
	}
	j.record = r
}

// resign ends the ownership of a partition that another host has taken over.
func (st *state) resign(partition int, epoch uint64) {
	j := st.owned[partition]
	if j != nil && j.record.Epoch <= epoch {
		st.clear(j)
		delete(st.owned, partition)
	}
}

// prune removes keys that are too old to be granted, and old responses. Witnesses remove
// keys when they apply an update of the owner with a later PrunedMilli.
func (st *state) prune(now time.Time) {
	cutoff := now.Add(-MaxKeyAge - MaxClockSkew).UnixMilli()
	for _, j := range st.owned {
		j.prune(st, cutoff)
		st.dropResponses(j, now.Add(-ResponseTTL).UnixMilli())
	}
	for _, list := range st.witnessed {
		for _, j := range list {
			st.dropResponses(j, now.Add(-ResponseTTL).UnixMilli())
		}
	}
}

// prune removes the keys up to a timestamp and stores the timestamp, so that no later owner
// takes a removed key for a new one, whatever its clock says.
func (j *journal) prune(st *state, cutoff int64) {
	if cutoff <= j.pruned {
		return
	}
	j.pruned = cutoff
	for key, e := range j.entries {
		if e.TimeMilli <= cutoff {
			st.remove(j, key)
		}
	}
}

func (st *state) dropResponses(j *journal, cutoff int64) {
	for _, e := range j.entries {
		if e.Response != nil && e.TimeMilli <= cutoff {
			st.responseBytes -= len(e.Response.Body)
			e.Response = nil
		}
	}
}
