package soak

// This file defines client accounts, faults that remove their keys, and the checks of both.

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"tamaracktiller.example/tamaracktiller/internal/kernel/timer"
	"tamaracktiller.example/tamaracktiller/platform/platformtest"
)

const (
	// accountCount is the number of client accounts, each of which has keysPerAccount keys. Callers
	// use the oldest one, which hosts have known for the longest time.
	accountCount   = 3
	keysPerAccount = 3
	// claimedAccount is the account that callers name themselves, which targets must never see.
	claimedAccount = "claimed"
	unknownKey     = "key-unknown"
	// badKeyInterval is the number of requests of which one has a key that hosts should refuse.
	badKeyInterval = 8
	// unseenRemoval is the length of KeyRemoveUnseen. It exceeds Bounds.WatchTime and Bounds.Revoke, so
	// that there is a time in which hosts must refuse a key of whose removal they cannot know.
	unseenRemoval = 5 * time.Second
)

// KeySpan is the period in which a client account has a key. Removed is 0 until it ends.
type KeySpan struct {
	Key, Account   string
	Added, Removed time.Duration
}

// addKey adds a key to an account. The caller holds the mutex.
func (r *run) addKey(account string) *KeySpan {
	k := &KeySpan{Key: fmt.Sprintf("key-%d", len(r.history.Keys)), Account: account, Added: r.sinceStart(time.Now())}
	r.history.Keys = append(r.history.Keys, k)
	return k
}

// addAccounts adds the keys of all accounts. Early builds don't know accounts, so upgrades have none.
func (r *run) addAccounts() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cfg.UpgradeFrom != "" {
		return
	}
	for n := range accountCount * keysPerAccount {
		r.addKey(accountName(n))
	}
	if r.history.Quota = r.cfg.Quota; r.cfg.Quota.PerSecond > 0 {
		r.quotaKey = r.addKey(quotaAccount).Key
	}
}

// accountName returns the name of an account by its number, beginning anew after the last one.
func accountName(n int) string { return fmt.Sprintf("account-%d", n%accountCount) }

// accounts returns the accounts with their keys. The caller holds the mutex.
func (r *run) accounts() []platformtest.Account {
	var accounts []platformtest.Account
	for _, k := range r.history.Keys {
		i := slices.IndexFunc(accounts, func(a platformtest.Account) bool { return a.Name == k.Account })
		if i < 0 {
			i = len(accounts)
			accounts = append(accounts, platformtest.Account{Name: k.Account})
			if k.Account == quotaAccount {
				accounts[i].PerSecond, accounts[i].Burst = r.cfg.Quota.PerSecond, r.cfg.Quota.Burst
			}
		}
		if k.Removed == 0 {
			accounts[i].Keys = append(accounts[i].Keys, k.Key)
		}
	}
	return accounts
}

// removeKey replaces the oldest key of an account by a new one.
func (r *run) removeKey(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.currentKey(n)
	if old == nil {
		return
	}
	added := r.addKey(old.Account)
	old.Removed = added.Added
	r.writeVersion()
	old.Removed = r.sinceStart(time.Now())
	added.Added = old.Removed
}

const (
	oddAccount = "odd"
	oddKey     = "odd-key"
	// oddPartTime is the time for which such accounts stay longer than other faults, so that requests with the key
	// that the same version removes are judged meanwhile.
	oddPartTime = 5 * time.Second
)

// oddAccounts are accounts that cannot be applied, each in a version of its own.
var oddAccounts = [][]platformtest.Account{
	{{Name: oddAccount, Keys: []string{strings.Repeat("k", 2000)}}},
	{{Name: strings.Repeat("n", 2000), Keys: []string{oddKey}}},
	{{Keys: []string{oddKey}}},
	{{Name: oddAccount, Keys: []string{oddKey}, PerSecond: -1}},
	{{Name: oddAccount, Keys: []string{oddKey}}, {Name: oddAccount, Keys: []string{"other-" + oddKey}}},
	{{Name: oddAccount, Keys: []string{""}}},
}

// writeOddParts writes versions with accounts that cannot be applied, the first of which also replaces a key.
func (r *run) writeOddParts(ctx context.Context, f Fault) {
	set := func(odd []platformtest.Account, faults int) {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.oddFaults += faults; r.oddFaults == 0 || odd != nil {
			r.oddParts = odd
		}
	}
	if r.keyOf(f.Index) == "" {
		r.writeNextVersion()
		return
	}
	set(oddAccounts[int(f.At/time.Millisecond)%len(oddAccounts)], 1)
	r.removeKey(f.Index)
	timer.Sleep(ctx, f.Length)
	set(nil, -1)
	r.writeNextVersion()
}

// removeKeyUnseen removes a key while the store is down.
func (r *run) removeKeyUnseen(ctx context.Context, f Fault) {
	start := r.sinceStart(time.Now())
	r.adjustStoreFaults(StoreDown, 1)
	// A watch that began before would be answered with the removal.
	timer.Sleep(ctx, r.bounds.WatchTime)
	r.removeKey(f.Index)
	timer.Sleep(ctx, f.Length-r.bounds.WatchTime)
	r.adjustStoreFaults(StoreDown, -1)
	r.recordSpan(StoreDown, allHosts, start)
}

// currentKey returns the oldest key of an account, or nil if there are no accounts. The caller
// holds the mutex.
func (r *run) currentKey(n int) *KeySpan {
	account := accountName(n)
	if i := slices.IndexFunc(r.history.Keys, func(k *KeySpan) bool { return k.Account == account && k.Removed == 0 }); i >= 0 {
		return r.history.Keys[i]
	}
	return nil
}

// drawKey sets the key of a request: mostly a current one, else a removed one (often the latest), an
// unknown one or none.
func (r *run) drawKey(rng *rand.Rand, a *Attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	current := r.currentKey(rng.IntN(accountCount))
	if current == nil {
		return
	}
	if a.Limited = r.quotaKey != "" && a.Route == 0 && rng.IntN(quotaInterval) == 0; a.Limited {
		a.Key = r.quotaKey
		return
	}
	a.Key, a.BadKey = current.Key, rng.IntN(badKeyInterval) == 0
	if !a.BadKey {
		return
	}
	removed := slices.DeleteFunc(slices.Clone(r.history.Keys), func(k *KeySpan) bool { return k.Removed == 0 })
	slices.SortFunc(removed, func(a, b *KeySpan) int { return int(b.Removed - a.Removed) })
	choices := []string{"", unknownKey}
	for n, k := range removed {
		choices = append(choices, k.Key)
		if n == 0 {
			choices = append(choices, k.Key, k.Key, k.Key)
		}
	}
	a.Key = choices[rng.IntN(len(choices))]
}

// recordHeaders records which account headers the targets saw.
func (r *run) recordHeaders() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Headers = map[string][]platformtest.AccountHeaders{}
	for _, a := range r.history.Attempts {
		for _, t := range r.allTargets {
			r.history.Headers[a.ID] = append(r.history.Headers[a.ID], t.AccountHeaders(a.ID)...)
		}
	}
}

// keyTally counts the judged requests with keys that were removed, and the refusals (401) of bad keys.
type keyTally struct{ removed, refused int }

// checkKeys verifies that removed keys are not used, that known ones are not refused, and what targets
// see of both. It returns the numbers of judged requests.
func (c *checker) checkKeys() (judged keyTally) {
	if len(c.h.Keys) == 0 {
		return judged
	}
	keys := map[string]*KeySpan{}
	for _, k := range c.h.Keys {
		keys[k.Key] = k
	}
	for _, a := range c.h.Attempts {
		k := keys[a.Key]
		c.checkAccountHeaders(a, k)
		switch {
		case a.Status != http.StatusUnauthorized:
		case a.Route > 0:
			c.report("public routes need no key", a.End, a.ID, "host %d responded with status 401", a.Host)
		case k != nil && c.known(k, a):
			c.report("known keys are not refused", a.End, a.ID, "host %d refused %s, added at %s, sent at %s", a.Host, k.Key, k.Added, a.Start)
		case a.BadKey:
			judged.refused++
		}
		if a.Route == 0 && k != nil && k.Removed != 0 && a.Start > c.restored(k.Removed)+c.b.Revoke {
			judged.removed++
			if runs := c.runs(a); len(runs) > 0 {
				c.report("no use of removed keys", runs[0].At, a.ID, "%s was removed at %s, sent to host %d at %s", k.Key, k.Removed, a.Host, a.Start)
			}
		}
	}
	c.checkOldViews()
	return judged
}

// checkAccountHeaders verifies that targets get no key, the account of the key of a request, and no
// request without a known key except on public routes. There a host may be unable to use the key.
func (c *checker) checkAccountHeaders(a Attempt, k *KeySpan) {
	for _, h := range c.h.Headers[a.ID] {
		ok := len(h.Tenant) == 0 && a.Route > 0 || k != nil && slices.Equal(h.Tenant, []string{k.Account})
		if !ok || len(h.Credential) > 0 {
			c.report("account at the target", a.Start, a.ID, "key %q on route %d: keys %q, accounts %q", a.Key, a.Route, h.Credential, h.Tenant)
		}
	}
}

// known reports whether all hosts whose view is up to date must know a key while a request is handled.
func (c *checker) known(k *KeySpan, a Attempt) bool {
	// A host may hear of the removal before the time of its acknowledgement is recorded.
	const recordingTime = 100 * time.Millisecond
	return a.Start > c.restored(k.Added)+c.b.FreshAge && (k.Removed == 0 || a.End < k.Removed-recordingTime)
}

// restored returns the time of a write, or of its repetition if the store lost it.
func (c *checker) restored(at time.Duration) time.Duration {
	last := at
	for _, s := range c.h.Disturbances {
		if s.Kind == StoreRestore && s.From-maxDuration <= at && at <= s.To {
			last = max(last, s.To)
		}
	}
	return last
}

// checkOldViews verifies that hosts do not refuse keys while the store is down for so long that no view
// is up to date. The store answers watches that began before.
func (c *checker) checkOldViews() {
	for _, s := range c.h.Disturbances {
		if s.Kind != StoreDown {
			continue
		}
		n := 0
		for _, a := range c.h.Attempts {
			if a.Status == http.StatusUnauthorized && a.Start > s.From+c.b.WatchTime+c.b.FreshAge && a.End < s.To {
				n++
			}
		}
		if n > c.b.RefusalSlack {
			c.report("no refusals by hosts with an old view", s.From, "", "%d responses with status 401, the store was down until %s", n, s.To)
		}
	}
}
