package entry_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamaracktiller.example/tamaracktiller/platform/platformtest"
)

// keyHistory holds the times at which the store acknowledged that keys were added and removed.
type keyHistory struct {
	mu      sync.Mutex
	changes map[string][]keyChange
}

type keyChange struct {
	// from and acknowledged are the times before and after the write.
	from, acknowledged time.Time
	present            bool
}

func (k *keyHistory) add(key string, c keyChange) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.changes[key] = append(k.changes[key], c)
}

// at returns the last change of a key that was acknowledged before a time.
func (k *keyHistory) at(key string, t time.Time) keyChange {
	k.mu.Lock()
	defer k.mu.Unlock()
	var last keyChange
	for _, c := range k.changes[key] {
		if c.acknowledged.Before(t) {
			last = c
		}
	}
	return last
}

// changedBetween reports whether a write of a key overlaps a span.
func (k *keyHistory) changedBetween(key string, from, to time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.ContainsFunc(k.changes[key], func(c keyChange) bool { return c.from.Before(to) && c.acknowledged.After(from) })
}

// Guards against a removed key that works after the bound, and against a known key that is denied, while
// keys change several times a second and hosts lose the store at random. One host keeps it.
func TestKeysAreRevokedInTimeWhileHostsLoseTheStore(t *testing.T) {
	const (
		revoke       = 1500 * time.Millisecond
		duration     = 15 * time.Second
		changePeriod = 250 * time.Millisecond
		sendPeriod   = 15 * time.Millisecond
		// knownTime is the time since its last change from which on a key is known to hosts whose
		// view is up to date.
		knownTime = 2500 * time.Millisecond
		keys      = 24
	)
	cl := newFleet(t, fleet{hosts: 3, revoke: revoke}, platformtest.NewTarget("t-1", "svc", "d", 64, platformtest.Behaviour{}))
	rng := rand.New(rand.NewPCG(31, 1))
	history := &keyHistory{changes: map[string][]keyChange{}}
	present := map[string]bool{}
	write := func(key string) {
		present[key] = !present[key]
		account := platformtest.Account{Name: "alder"}
		for key, ok := range present {
			if ok {
				account.Keys = append(account.Keys, key)
			}
		}
		cl.version++
		c := keyChange{from: time.Now(), present: present[key]}
		cl.store.Put("op/config", platformtest.ConfigWithAccounts(cl.version, []platformtest.Route{{Host: "shop.example", Prefix: "/search/", Service: "svc", Safe: true, TimeoutMillis: 1500}}, []platformtest.Account{account}))
		c.acknowledged = time.Now()
		history.add(key, c)
	}
	for n := range keys {
		write(fmt.Sprintf("k-%d", n))
	}
	type keyRequest struct {
		keyTry
		key  string
		host int
		done time.Time
	}
	var mu sync.Mutex
	var requests []keyRequest
	var wg sync.WaitGroup
	end := time.Now().Add(duration)
	wg.Go(func() {
		// Changes of keys, and faults of the store.
		faults := rand.New(rand.NewPCG(31, 2))
		for time.Now().Before(end) {
			write(fmt.Sprintf("k-%d", rng.IntN(keys)))
			state := platformtest.LinkUp
			if faults.IntN(2) == 0 {
				state = platformtest.LinkSilent
			}
			cl.storeProxies[fmt.Sprintf("host-%d", faults.IntN(2))].Set(state)
			if faults.IntN(6) == 0 {
				cl.store.SetFaults(platformtest.Faults{Down: true})
			} else if faults.IntN(14) == 0 {
				cl.store.SetFaults(platformtest.Faults{})
			}
			time.Sleep(changePeriod)
		}
	})
	senders := rand.New(rand.NewPCG(31, 3))
	for n := 0; time.Now().Before(end); n++ {
		r := keyRequest{key: fmt.Sprintf("k-%d", senders.IntN(keys)), host: senders.IntN(3)}
		r.id = fmt.Sprintf("r-%d", n)
		wg.Go(func() {
			r.sent = time.Now()
			r.status = cl.sendWith(cl.hosts[r.host], r.id, "/search/x", "", credential(r.key)).status
			r.done = time.Now()
			mu.Lock()
			defer mu.Unlock()
			requests = append(requests, r)
		})
		time.Sleep(sendPeriod)
	}
	wg.Wait()
	counts := map[int]int{}
	revoked, known := 0, 0
	for _, r := range requests {
		counts[r.status]++
		last := history.at(r.key, r.sent)
		if !last.present && r.sent.After(last.acknowledged.Add(revoke)) && !history.changedBetween(r.key, r.sent, r.done) {
			revoked++
			require.Zero(t, cl.runCount(r.id), "%s ran at %s, %s after its key was removed", r.id, cl.hosts[r.host].cfg.Name, r.sent.Sub(last.acknowledged))
		}
		if last.present && !history.changedBetween(r.key, r.sent.Add(-knownTime), r.done) {
			known++
			require.NotEqual(t, http.StatusUnauthorized, r.status, "%s was denied at %s, %s after its key was added", r.id, cl.hosts[r.host].cfg.Name, r.sent.Sub(last.acknowledged))
		}
	}
	t.Logf("statuses %v; %d requests with a key that was removed long enough ago, %d with one that must be known", counts, revoked, known)
	require.Positive(t, revoked)
	require.Positive(t, known)
	require.Positive(t, counts[http.StatusOK])
	require.Positive(t, strings.Count(cl.hosts[0].log.String()+cl.hosts[1].log.String()+cl.hosts[2].log.String(), "the configuration is too old to use keys"), "no host was without the store for long enough")
}
