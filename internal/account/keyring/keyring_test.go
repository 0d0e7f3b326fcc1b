package keyring_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"tamaracktiller.example/tamaracktiller/internal/account/keyring"
	"tamaracktiller.example/tamaracktiller/internal/contract/routing"
)

// accounts returns n accounts with a key each.
func accounts(n int) []routing.Account {
	list := make([]routing.Account, 0, n)
	for i := range n {
		list = append(list, routing.Account{Name: fmt.Sprintf("a-%d", i), Keys: []string{fmt.Sprintf("key-%d", i)}})
	}
	return list
}

// Guards against an index that is changed in steps and then differs from one that is built at once:
// a removed key that is still found, or the wrong account for a key that has moved.
func TestUpdatedIndexFindsWhatANewOneFinds(t *testing.T) {
	// The larger number crosses the limit from which on the index is divided.
	for _, most := range []int{12, 1500} {
		rng := rand.New(rand.NewPCG(7, uint64(most)))
		var keys *keyring.Keyring
		var before []routing.Account
		all := make([]string, 0, 2*most)
		for i := range 2 * most {
			all = append(all, fmt.Sprintf("key-%d", i))
		}
		for round := range 60 {
			next := slices.Clone(before)
			if round%20 == 0 {
				next = accounts(rng.IntN(most))
			}
			switch rng.IntN(6) {
			case 0:
				rng.Shuffle(len(next), func(i, j int) { next[i], next[j] = next[j], next[i] })
			case 1:
				if len(next) > 0 {
					n := rng.IntN(len(next))
					next = slices.Delete(next, n, n+1)
				}
			case 2:
				next = slices.Insert(next, rng.IntN(len(next)+1), routing.Account{Name: fmt.Sprintf("new-%d", round)})
			}
			free := slices.Clone(all)
			rng.Shuffle(len(free), func(i, j int) { free[i], free[j] = free[j], free[i] })
			used := map[string]bool{}
			for _, a := range next {
				for _, key := range a.Keys {
					used[key] = true
				}
			}
			for range min(len(next), 3) {
				a := &next[rng.IntN(len(next))]
				a.Priority = rng.IntN(4)
				a.HasPriority = true
				a.Keys = slices.Clone(a.Keys)
				if len(a.Keys) > 0 && rng.IntN(2) == 0 {
					used[a.Keys[0]] = false
					a.Keys = a.Keys[1:]
				}
				for _, key := range free {
					if !used[key] {
						used[key] = true
						a.Keys = append(a.Keys, key)
						break
					}
				}
			}
			keys = keyring.Update(keys, before, next)
			fresh := keyring.Update(nil, nil, next)
			require.Equal(t, fresh == nil, keys == nil)
			for _, key := range all {
				if keys == nil {
					break
				}
				want, wantOK := fresh.Find(key)
				got, ok := keys.Find(key)
				require.Equal(t, wantOK, ok, "round %d, %s", round, key)
				require.Equal(t, want, got, "round %d, %s", round, key)
			}
			before = next
		}
	}
}

// Guards against work for accounts that did not change, and against an index in use that changes.
func TestUpdateReusesWhatDidNotChange(t *testing.T) {
	for _, n := range []int{88, 3000} {
		first := accounts(n)
		keys := keyring.Update(nil, nil, first)
		require.Same(t, keys, keyring.Update(keys, first, accounts(n)), "no account changed")
		next := accounts(n)
		next[3].Keys = []string{"another"}
		next[4].Priority, next[4].HasPriority = 2, true
		updated := keyring.Update(keys, first, next)
		unchanged, _ := keys.Find("key-5")
		same, ok := updated.Find("key-5")
		require.True(t, ok)
		require.Same(t, unchanged, same)
		_, ok = updated.Find("key-3")
		require.False(t, ok, "the key was removed")
		_, ok = keys.Find("key-3")
		require.True(t, ok, "the index before must not change")
		changed, ok := updated.Find("key-4")
		require.True(t, ok)
		require.Equal(t, 2, changed.Priority)
		require.Nil(t, keyring.Update(updated, next, nil))
	}
}

// Guards against keys in the log: an account that a look-up returns may be printed.
func TestFoundAccountsContainNoKeys(t *testing.T) {
	keys := keyring.Update(nil, nil, accounts(2))
	a, ok := keys.Find("key-1")
	require.True(t, ok)
	require.Equal(t, "a-1", a.Name)
	require.NotContains(t, fmt.Sprintf("%+v", *a), "key-1")
}

// Guards against keys that are not found because of their length, or found in part.
func TestKeysOfAnyLengthAreFound(t *testing.T) {
	for _, n := range []int{1, 255, 256, 257, 416, 60_000} {
		list := accounts(2)
		key := strings.Repeat("k", n)
		list[1].Keys = []string{key}
		keys := keyring.Update(nil, nil, list)
		a, ok := keys.Find(key)
		require.True(t, ok, n)
		require.Equal(t, "a-1", a.Name)
		for _, other := range []string{key + "k", key[1:], key[1:] + "x"} {
			_, ok = keys.Find(other)
			require.False(t, ok, n)
		}
		list[1].Keys = nil
		_, ok = keyring.Update(keys, nil, list).Find(key)
		require.False(t, ok, "the key was removed")
	}
}

var benchmarkSizes = []int{88, 1_000, 100_000}

func BenchmarkFind(b *testing.B) {
	for _, n := range benchmarkSizes {
		keys := keyring.Update(nil, nil, accounts(n))
		for _, key := range []string{"key-7", "unknown"} {
			b.Run(fmt.Sprintf("%d keys, %s", n, key), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					keys.Find(key)
				}
			})
		}
	}
}

// BenchmarkUpdate covers the first index, a configuration without changed accounts, and one with one
// changed key.
func BenchmarkUpdate(b *testing.B) {
	for _, n := range benchmarkSizes {
		before, same, changed := accounts(n), accounts(n), accounts(n)
		changed[7].Keys = []string{"another"}
		keys := keyring.Update(nil, nil, before)
		tests := []struct {
			name         string
			old          *keyring.Keyring
			before, next []routing.Account
		}{
			{name: "first", next: before},
			{name: "unchanged", old: keys, before: before, next: same},
			{name: "one key", old: keys, before: before, next: changed},
		}
		for _, tt := range tests {
			b.Run(fmt.Sprintf("%d keys, %s", n, tt.name), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					keyring.Update(tt.old, tt.before, tt.next)
				}
			})
		}
	}
}
