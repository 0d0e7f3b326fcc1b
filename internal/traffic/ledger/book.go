package ledger

// This file defines Book, the journals of one host as owner and as witness. It
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
	// sealed journals of a witness take no more entries.
	sealed bool
	// used journals of a witness hold a note, so their epoch is in force.
	used bool
	// seq counts the notes of an owner.
	seq uint64
}

// maxPending bounds the epochs that a witness holds of one partition. Only one
// is in force; the others were prepared by take-overs that may have failed.
const maxPending = 8

// book holds what a host knows as owner and as witness.
type book struct {
	self      Member
	owned     map[int]*journal
	witnessed map[int][]*journal
	keys      int
	answers   int
	// naive switches the mechanisms off, to show that the tests can fail.
	naive bool
}

func newBook(self Member) *book {
	return &book{self: self, owned: map[int]*journal{}, witnessed: map[int][]*journal{}}
}

// claim decides on a claim at the owner. It returns a verdict, or the entry that
// every witness must write down before the grant.
func (b *book) claim(now time.Time, c Claim) (Reply, *Entry) {
	j := b.owned[c.Key.Partition()]
	if j == nil {
		return Reply{Verdict: Moved}, nil
	}
	if e, known := j.entries[c.Key]; known {
		return b.repeat(now, j, e, c)
	}
	if refusal, ok := j.admit(now, c); !ok {
		return refusal, nil
	}
	if b.keys >= MaxKeys {
		return Reply{Verdict: Refused, Reason: "too many keys are held"}, nil
	}
	e := &Entry{Key: c.Key, TimeMilli: c.TimeMilli, Attempt: c.Attempt, Fingerprint: c.Fingerprint, UntilMilli: c.UntilMilli}
	j.entries[c.Key] = e
	b.keys++
	return Reply{}, e
}

// admit checks the time of an unknown key. One that is older than what the
// journal reaches back to may have run.
func (j *journal) admit(now time.Time, c Claim) (Reply, bool) {
	at := now.UnixMilli()
	switch {
	case c.TimeMilli <= max(j.record.AfterMilli, j.pruned) || c.TimeMilli <= at-Window.Milliseconds():
		return Reply{Verdict: Uncertain, Reason: "the key is older than what is remembered"}, false
	case c.TimeMilli > at+MaxAhead.Milliseconds():
		return Reply{Verdict: Refused, Reason: "the time of the key lies ahead"}, false
	case c.TimeMilli > j.record.UntilMilli:
		return Reply{Verdict: Refused, Reason: "the partition waits for the store"}, false
	}
	return Reply{}, true
}

// repeat decides on a claim of a known key.
func (b *book) repeat(now time.Time, j *journal, e *Entry, c Claim) (Reply, *Entry) {
	switch {
	case e.Fingerprint != c.Fingerprint:
		return Reply{Verdict: Misused, Reason: "the key was used for another request"}, nil
	case e.Ending == EndedRan:
		return Reply{Verdict: Finished, Answer: e.Answer}, nil
	case e.Ending == EndedUncertain:
		return Reply{Verdict: Uncertain, Reason: "an earlier attempt may have run"}, nil
	case e.Granted && e.Attempt == c.Attempt:
		return Reply{Verdict: Granted, Epoch: j.record.Epoch}, nil
	case e.Granted && now.UnixMilli() <= e.UntilMilli:
		return Reply{Verdict: Running, Reason: "an earlier attempt is running"}, nil
	case e.Granted:
		return Reply{Verdict: Uncertain, Reason: "an earlier attempt did not report its end"}, nil
	}
	// The entry was never granted in this epoch: the witnesses did not all agree.
	e.Attempt, e.UntilMilli = c.Attempt, c.UntilMilli
	return Reply{}, e
}

// grant makes the grant when every witness has agreed. The owner must still be
// in the epoch, and the entry must still be that of the attempt.
func (b *book) grant(epoch uint64, key Key, attempt string) Reply {
	j := b.owned[key.Partition()]
	if j == nil || j.record.Epoch != epoch {
		return Reply{Verdict: Moved}
	}
	e := j.entries[key]
	if e == nil || e.Attempt != attempt || e.Ending != 0 {
		return Reply{Verdict: Running, Reason: "another attempt was first"}
	}
	e.Granted = true
	return Reply{Verdict: Granted, Epoch: epoch}
}

// finish takes in the end of an attempt. It returns what the witnesses are told,
// or nil when the owner does not know the attempt.
func (b *book) finish(f Finish) *Note {
	j := b.owned[f.Key.Partition()]
	if j == nil {
		return nil
	}
	e := j.entries[f.Key]
	if e == nil || e.Attempt != f.Attempt || e.Ending != 0 {
		return nil
	}
	note := j.note(*e)
	if f.Ending == EndedNotRun {
		note.Release = true
		b.drop(j, f.Key)
		return note
	}
	e.Ending = f.Ending
	b.keep(e, f.Answer)
	note.Entry = *e
	return note
}

// note returns the next note of an owner's journal.
func (j *journal) note(e Entry) *Note {
	j.seq++
	return &Note{Partition: j.record.Partition, Epoch: j.record.Epoch, Nonce: j.record.Nonce, Entry: e, Seq: j.seq, PrunedMilli: j.pruned}
}

// keep stores an answer when there is room for it.
func (b *book) keep(e *Entry, a *Answer) {
	if a == nil || len(a.Body) > MaxAnswerBytes || b.answers+len(a.Body) > MaxAnswersBytes {
		return
	}
	e.Answer = a
	b.answers += len(a.Body)
}

func (b *book) drop(j *journal, key Key) {
	e, ok := j.entries[key]
	if !ok {
		return
	}
	if e.Answer != nil {
		b.answers -= len(e.Answer.Body)
	}
	delete(j.entries, key)
	b.keys--
}

// witness returns the journal of an epoch of which the host is a witness.
func (b *book) witness(partition int, epoch uint64, nonce string) *journal {
	for _, j := range b.witnessed[partition] {
		if j.record.Epoch == epoch && j.record.Nonce == nonce {
			return j
		}
	}
	return nil
}

// note writes an entry down at a witness and reports whether it did. A witness
// of another epoch, or a sealed one, refuses.
func (b *book) note(n Note) bool {
	j := b.witness(n.Partition, n.Epoch, n.Nonce)
	if j == nil || j.sealed && !b.naive {
		return false
	}
	j.use(b)
	j.prune(b, n.PrunedMilli)
	old, known := j.entries[n.Entry.Key]
	switch {
	case known && old.seq > n.Seq:
		return old.Attempt == n.Entry.Attempt
	case n.Release:
		b.drop(j, n.Entry.Key)
		return true
	case !known && b.keys >= MaxKeys:
		return false
	case known:
		b.drop(j, n.Entry.Key)
	}
	e := n.Entry
	e.seq = n.Seq
	e.Answer = nil
	j.entries[e.Key] = &e
	b.keys++
	b.keep(&e, n.Entry.Answer)
	return true
}

// noteEndings writes several endings down and reports whether it did all.
func (b *book) noteEndings(notes []Note) bool {
	all := true
	for _, n := range notes {
		all = b.note(n) && all
	}
	return all
}

// use notes that the epoch is in force: older ones are over.
func (j *journal) use(b *book) {
	if j.used {
		return
	}
	j.used = true
	b.witnessed[j.record.Partition] = slices.DeleteFunc(b.witnessed[j.record.Partition], func(other *journal) bool {
		if other.record.Epoch >= j.record.Epoch {
			return false
		}
		b.forget(other)
		return true
	})
}

// seal stops a witness and returns its journal. It reports false when the host
// is not a witness of the epoch.
func (b *book) seal(s Seal) (Journal, bool) {
	j := b.witness(s.Partition, s.Epoch, s.Nonce)
	if j == nil {
		return Journal{}, false
	}
	j.sealed = true
	return j.content(), true
}

func (j *journal) content() Journal {
	c := Journal{Entries: make([]Entry, 0, len(j.entries)), PrunedMilli: j.pruned}
	for _, e := range j.entries {
		c.Entries = append(c.Entries, *e)
	}
	return c
}

// install makes the host a witness of an epoch that may come in force. A second
// question of the same try is a late copy and changes nothing.
func (b *book) install(in Install) bool {
	r := in.Record
	if !slices.Contains(r.Witnesses, b.self) {
		// The question was meant for an earlier incarnation of this host.
		return false
	}
	if j := b.witness(r.Partition, r.Epoch, r.Nonce); j != nil {
		return !j.used && !j.sealed
	}
	if len(b.witnessed[r.Partition]) >= maxPending && !b.dropOldest(r) {
		return false
	}
	b.witnessed[r.Partition] = append(b.witnessed[r.Partition], b.open(r, in.Journal))
	return true
}

// dropOldest drops a prepared epoch below r that never came in force here. One
// that did, or may yet be sealed, stays.
func (b *book) dropOldest(r Record) bool {
	list := b.witnessed[r.Partition]
	for i, j := range list {
		if !j.used && !j.sealed && j.record.Epoch+1 < r.Epoch {
			b.forget(j)
			b.witnessed[r.Partition] = slices.Delete(list, i, i+1)
			return true
		}
	}
	return false
}

// open returns a journal with the given content. What had not ended is treated
// as it must be: nobody knows whether it ran.
func (b *book) open(r Record, content Journal) *journal {
	j := &journal{record: r, entries: make(map[Key]*Entry, len(content.Entries)), pruned: content.PrunedMilli}
	for _, e := range content.Entries {
		if e.Ending == 0 {
			e.Ending = EndedUncertain
		}
		j.entries[e.Key] = &e
		b.keys++
		if e.Answer != nil {
			b.answers += len(e.Answer.Body)
		}
	}
	return j
}

func (b *book) forget(j *journal) {
	if j == nil {
		return
	}
	for key := range j.entries {
		b.drop(j, key)
	}
}

// activate makes the host the owner in an epoch that is in the store.
func (b *book) activate(r Record, content Journal) {
	if r.Owner != b.self {
		panic(fmt.Sprintf("ledger: %v activates the epoch of %v", b.self, r.Owner))
	}
	old := b.owned[r.Partition]
	if old != nil && old.record.Epoch >= r.Epoch {
		panic(fmt.Sprintf("ledger: partition %d goes from epoch %d to %d", r.Partition, old.record.Epoch, r.Epoch))
	}
	b.forget(old)
	b.owned[r.Partition] = b.open(r, content)
}

// renew puts a later record of the own epoch chain in place, with the same
// entries. Grants that are under way stay.
func (b *book) renew(r Record) {
	j := b.owned[r.Partition]
	if j == nil || j.record.Epoch > r.Epoch {
		panic(fmt.Sprintf("ledger: renewal of partition %d, epoch %d", r.Partition, r.Epoch))
	}
	j.record = r
}

// resign ends the ownership of a partition that another host took over.
func (b *book) resign(partition int, epoch uint64) {
	j := b.owned[partition]
	if j != nil && j.record.Epoch <= epoch {
		b.forget(j)
		delete(b.owned, partition)
	}
}

// prune drops what is out of the window, and answers that are old.
func (b *book) prune(now time.Time) {
	before := now.Add(-Window - MaxAhead).UnixMilli()
	for _, j := range b.owned {
		j.prune(b, before)
		b.dropAnswers(j, now.Add(-AnswerAge).UnixMilli())
	}
	for _, list := range b.witnessed {
		for _, j := range list {
			b.dropAnswers(j, now.Add(-AnswerAge).UnixMilli())
		}
	}
}

// prune drops the keys up to a time and remembers the time, so that no later
// owner, whatever its clock, takes them for new.
func (j *journal) prune(b *book, before int64) {
	if before <= j.pruned {
		return
	}
	j.pruned = before
	for key, e := range j.entries {
		if e.TimeMilli <= before {
			b.drop(j, key)
		}
	}
}

func (b *book) dropAnswers(j *journal, before int64) {
	for _, e := range j.entries {
		if e.Answer != nil && e.TimeMilli <= before {
			b.answers -= len(e.Answer.Body)
			e.Answer = nil
		}
	}
}
