// Package keyring finds the client account of a key.
//
// A Keyring is an immutable index of the keys of all accounts. It holds the SHA-256 digests of the
// keys and not the keys themselves: the time of a look-up then tells nothing about the bytes of other
// keys, and clients cannot choose keys that collide. A look-up computes one digest and reads one map.
//
// Configurations change several times a second, and most changes do not concern accounts. Update
// therefore returns the same index if no account changed. Large indexes are divided into shards, so
// that the change of one account copies only the shards of its keys. Look-ups go on in the old index
// meanwhile.
//
// # Usage
//
//	keys := keyring.Update(nil, nil, config.Accounts)
//	account, ok := keys.Find(key)
//	keys = keyring.Update(keys, config.Accounts, nextConfig.Accounts)
package keyring

// This file defines Keyring.

import (
	"crypto/sha256"
	"maps"
	"slices"

	"tamaracktiller.example/tamaracktiller/internal/contract/routing"
)

const (
	// manyShards is the number of shards of an index with more than maxUnsharded keys: a clone of
	// a map with 1,000 keys takes a few microseconds.
	manyShards   = 256
	maxUnsharded = 1024
)

type digest [sha256.Size]byte

// usualKeyBytes is the length up to which the digest of a key is computed without allocating.
const usualKeyBytes = 256

// digestOf returns the digest of a key.
func digestOf(key string) digest {
	if len(key) > usualKeyBytes {
		return sha256.Sum256([]byte(key))
	}
	var buffer [usualKeyBytes]byte
	return sha256.Sum256(buffer[:copy(buffer[:], key)])
}

type shard map[digest]*routing.Account

// Keyring is an immutable index of keys. It is safe for concurrent use.
type Keyring struct {
	// entries are in the order of the accounts.
	entries []*entry
	shards  []shard
	keys    int
}

// entry is an account in the index.
type entry struct {
	// account lacks the keys, so that a printed account shows none.
	account *routing.Account
	digests []digest
}

// None returns an index without keys.
func None() *Keyring { return &Keyring{shards: make([]shard, 1)} }

// Len returns the numbers of accounts and keys.
func (k *Keyring) Len() (accounts, keys int) {
	if k == nil {
		return 0, 0
	}
	return len(k.entries), k.keys
}

// Find returns the account of a key, without its keys.
func (k *Keyring) Find(key string) (*routing.Account, bool) {
	d := digestOf(key)
	account, ok := k.shards[k.shardOf(d)][d]
	return account, ok
}

func (k *Keyring) shardOf(d digest) int { return int(d[0]) % len(k.shards) }

// Update returns the index of valid accounts; nil if there are none. old is the index of the
// accounts before, and is returned if no account changed. It is not modified.
func Update(old *Keyring, before, accounts []routing.Account) *Keyring {
	if len(accounts) == 0 {
		return nil
	}
	if old == nil {
		next := &Keyring{entries: make([]*entry, 0, len(accounts))}
		for i := range accounts {
			next.entries = append(next.entries, newEntry(&accounts[i], nil))
		}
		next.build()
		return next
	}
	c := compare(before, accounts)
	if c.isEmpty() {
		return old
	}
	return old.change(c)
}

// newEntry returns the entry of an account. known holds the digests of its keys; nil if they must be
// computed.
func newEntry(a *routing.Account, known []digest) *entry {
	account := *a
	account.Keys = nil
	e := &entry{account: &account, digests: known}
	if known == nil {
		e.digests = make([]digest, 0, len(a.Keys))
		for _, key := range a.Keys {
			e.digests = append(e.digests, digestOf(key))
		}
	}
	return e
}

// shardCount returns the number of shards of an index.
func shardCount(keys int) int {
	if keys > maxUnsharded {
		return manyShards
	}
	return 1
}

func (k *Keyring) countKeys() {
	k.keys = 0
	for _, e := range k.entries {
		k.keys += len(e.digests)
	}
}

// build fills the shards from the entries.
func (k *Keyring) build() {
	k.countKeys()
	k.shards = make([]shard, shardCount(k.keys))
	for i := range k.shards {
		k.shards[i] = make(shard, k.keys/len(k.shards))
	}
	for _, e := range k.entries {
		for _, d := range e.digests {
			k.shards[k.shardOf(d)][d] = e.account
		}
	}
}

// change returns the index after a change. It shares the shards in which no key changes. A key may
// move from one account to another, so keys are removed before others are added.
func (k *Keyring) change(c comparison) *Keyring {
	end := len(k.entries) - c.suffix
	removed := slices.Clone(k.entries[c.prefix:end])
	added := make([]*entry, 0, len(c.accounts))
	next := &Keyring{entries: make([]*entry, 0, c.prefix+len(c.accounts)+c.suffix)}
	next.entries = append(next.entries, k.entries[:c.prefix]...)
	for i := range c.accounts {
		a := &c.accounts[i]
		n, ok := c.find(i)
		if !ok || !slices.Equal(c.before[n].Keys, a.Keys) {
			added = append(added, newEntry(a, nil))
			next.entries = append(next.entries, added[len(added)-1])
			continue
		}
		e := k.entries[c.prefix+n]
		if c.before[n].Equal(a) {
			removed[n] = nil
		} else {
			e = newEntry(a, e.digests)
			added = append(added, e)
		}
		next.entries = append(next.entries, e)
	}
	next.entries = append(next.entries, k.entries[end:]...)
	next.countKeys()
	if shardCount(next.keys) != len(k.shards) {
		next.build()
		return next
	}
	next.shards = slices.Clone(k.shards)
	next.replace(removed, added)
	return next
}

// replace removes the keys of some entries and adds those of others, in copies of the shards.
func (k *Keyring) replace(removed, added []*entry) {
	copied := make([]bool, len(k.shards))
	shardFor := func(d digest) shard {
		n := k.shardOf(d)
		if !copied[n] {
			k.shards[n], copied[n] = maps.Clone(k.shards[n]), true
		}
		return k.shards[n]
	}
	for _, e := range removed {
		if e == nil {
			continue
		}
		for _, d := range e.digests {
			delete(shardFor(d), d)
		}
	}
	for _, e := range added {
		for _, d := range e.digests {
			shardFor(d)[d] = e.account
		}
	}
}

// comparison is what differs between two lists of accounts: before and accounts are what lies between
// a prefix and a suffix that are the same.
type comparison struct {
	prefix, suffix   int
	before, accounts []routing.Account
	// positions are those in before, by name; nil until they are needed.
	positions map[string]int
}

func compare(before, accounts []routing.Account) comparison {
	c := comparison{before: before, accounts: accounts}
	for len(c.before) > 0 && len(c.accounts) > 0 && c.before[0].Equal(&c.accounts[0]) {
		c.prefix++
		c.before, c.accounts = c.before[1:], c.accounts[1:]
	}
	for len(c.before) > 0 && len(c.accounts) > 0 && c.before[len(c.before)-1].Equal(&c.accounts[len(c.accounts)-1]) {
		c.suffix++
		c.before, c.accounts = c.before[:len(c.before)-1], c.accounts[:len(c.accounts)-1]
	}
	return c
}

func (c *comparison) isEmpty() bool { return len(c.before) == 0 && len(c.accounts) == 0 }

// find returns the position in before of the account at position i of accounts. Most are at the same
// position.
func (c *comparison) find(i int) (int, bool) {
	name := c.accounts[i].Name
	if i < len(c.before) && c.before[i].Name == name {
		return i, true
	}
	if c.positions == nil {
		c.positions = make(map[string]int, len(c.before))
		for n := range c.before {
			c.positions[c.before[n].Name] = n
		}
	}
	n, ok := c.positions[name]
	return n, ok
}
