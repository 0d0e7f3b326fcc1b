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

// digestOf returns the digest of a key. The buffer keeps the conversion from allocating.
func digestOf(key string) digest {
	var buffer [routing.MaxKeyBytes]byte
	return sha256.Sum256(buffer[:copy(buffer[:], key)])
}

type shard map[digest]*routing.Account

// Keyring is an immutable index of keys. It is safe for concurrent use.
type Keyring struct {
	// entries are by name.
	entries map[string]*entry
	shards  []shard
	keys    int
}

// entry is an account in the index.
type entry struct {
	// account lacks the keys, so that a printed account shows none.
	account *routing.Account
	digests []digest
}

// Len returns the numbers of accounts and keys.
func (k *Keyring) Len() (accounts, keys int) {
	if k == nil {
		return 0, 0
	}
	return len(k.entries), k.keys
}

// Find returns the account of a key, without its keys.
func (k *Keyring) Find(key string) (*routing.Account, bool) {
	if len(key) > routing.MaxKeyBytes {
		return nil, false
	}
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
	if old != nil && slices.EqualFunc(before, accounts, func(a, b routing.Account) bool { return a.Equal(&b) }) {
		return old
	}
	next := &Keyring{entries: make(map[string]*entry, len(accounts))}
	earlier := make(map[string]*routing.Account, len(before))
	for i := range before {
		earlier[before[i].Name] = &before[i]
	}
	for i := range accounts {
		a := &accounts[i]
		next.entries[a.Name] = newEntry(old, earlier[a.Name], a)
		next.keys += len(a.Keys)
	}
	if old == nil || len(old.shards) != shardCount(next.keys) {
		next.build()
	} else {
		next.change(old)
	}
	return next
}

// newEntry returns the entry of an account. It is that of the account before if that is the same, and
// uses its digests if the keys are.
func newEntry(old *Keyring, before, a *routing.Account) *entry {
	var known *entry
	if old != nil && before != nil && slices.Equal(before.Keys, a.Keys) {
		known = old.entries[a.Name]
	}
	if known != nil && before.Equal(a) {
		return known
	}
	account := *a
	account.Keys = nil
	if known != nil {
		return &entry{account: &account, digests: known.digests}
	}
	e := &entry{account: &account, digests: make([]digest, 0, len(a.Keys))}
	for _, key := range a.Keys {
		e.digests = append(e.digests, digestOf(key))
	}
	return e
}

func shardCount(keys int) int {
	if keys > maxUnsharded {
		return manyShards
	}
	return 1
}

// build fills the shards.
func (k *Keyring) build() {
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

// change takes over the shards of an earlier index, and copies those in which keys change. A key may
// move from one account to another, so keys are removed before others are added.
func (k *Keyring) change(old *Keyring) {
	k.shards = slices.Clone(old.shards)
	copied := make([]bool, len(k.shards))
	shardFor := func(d digest) shard {
		n := k.shardOf(d)
		if !copied[n] {
			k.shards[n], copied[n] = maps.Clone(k.shards[n]), true
		}
		return k.shards[n]
	}
	for name, e := range old.entries {
		if k.entries[name] != e {
			for _, d := range e.digests {
				delete(shardFor(d), d)
			}
		}
	}
	for name, e := range k.entries {
		if old.entries[name] != e {
			for _, d := range e.digests {
				shardFor(d)[d] = e.account
			}
		}
	}
}
