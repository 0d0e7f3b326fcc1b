package directory

import (
	"context"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"tamaracktiller.example/tamaracktiller/internal/platform/store"
)

// leaser records what is written, and holds what a host would read of it.
type leaser struct {
	mu       sync.Mutex
	standing Standing
	grants   int
	ended    map[uint64]bool
	// unclear commits are not performed and not answered.
	unclear int
	entries []uint64
	secrets [][]byte
	self    Host
}

var _ store.Leaser = (*leaser)(nil)

func (l *leaser) Grant(context.Context, time.Duration) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.grants++
	return uint64(l.grants), nil
}

func (l *leaser) Renew(_ context.Context, lease uint64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended[lease] {
		return store.ErrNotFound
	}
	return nil
}

func (l *leaser) Revoke(context.Context, uint64) error { return nil }

func (l *leaser) Commit(_ context.Context, conditions []store.Condition, writes []store.Put, _ []string) (store.Revision, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unclear > 0 {
		l.unclear--
		return store.Revision{}, store.ErrUnclear
	}
	if writes[0].Key == KeyKey {
		if len(conditions) != 1 || !conditions[0].Revision.IsZero() || l.standing.Stored {
			return store.Revision{}, store.ErrConflict
		}
		l.secrets = append(l.secrets, writes[0].Value)
		l.standing.Stored, l.standing.Secret = true, writes[0].Value
	} else {
		l.entries = append(l.entries, writes[0].Lease)
		l.standing.Entry = l.self
	}
	return store.At(l.standing.Era, 1), nil
}

func (l *leaser) now() Standing {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.standing
}

func (l *leaser) change(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
}

func TestEntryAndSecretAreWrittenAgainWhenTheStoreLacksThem(t *testing.T) {
	secret := []byte("known")
	tests := []struct {
		name string
		// unclear are commits that are lost at first.
		unclear int
		// happens at the store while the lease runs.
		happens func(l *leaser)
		// within is the time in which the writes come.
		within  time.Duration
		entries []uint64
		secrets int
	}{
		{name: "the first writes are lost", unclear: 2, within: 3 * time.Second, entries: []uint64{2}, secrets: 1},
		{name: "nothing", within: 3 * time.Second, entries: []uint64{1}, secrets: 1},
		{
			name: "it came back without both", within: 1200 * time.Millisecond, entries: []uint64{1, 2}, secrets: 2,
			happens: func(l *leaser) {
				l.standing.Era, l.standing.Entry, l.standing.Stored = 2, Host{}, false
			},
		},
		{
			name: "it came back with an entry of an earlier run", within: 1200 * time.Millisecond, entries: []uint64{1, 2}, secrets: 1,
			happens: func(l *leaser) { l.standing.Era, l.standing.Entry.Incarnation = 2, "earlier" },
		},
		{
			name: "it came back with the entry and without the lease", within: 1200 * time.Millisecond, entries: []uint64{1, 2}, secrets: 1,
			happens: func(l *leaser) { l.standing.Era, l.ended[1] = 2, true },
		},
		{
			name: "it came back with both", within: 3 * time.Second, entries: []uint64{1}, secrets: 1,
			happens: func(l *leaser) { l.standing.Era = 2 },
		},
		{
			name: "the lease ended", within: 3 * time.Second, entries: []uint64{1, 2}, secrets: 1,
			happens: func(l *leaser) { l.ended[1] = true },
		},
		{
			name: "the entry ended, and the lease did not", within: 6 * time.Second, entries: []uint64{1, 2}, secrets: 1,
			happens: func(l *leaser) { l.standing.Entry = Host{} },
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := logrus.New()
				log.SetOutput(io.Discard)
				l := &leaser{
					ended: map[uint64]bool{}, unclear: tt.unclear, self: Host{Name: "a", Incarnation: "1"},
					standing: Standing{Loaded: true, Fresh: true, Era: 1, Hosts: 13, Secret: secret},
				}
				r := &Registration{Self: l.self, Store: l, Standing: l.now, Log: logrus.NewEntry(log)}
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan error)
				go func() { done <- r.Run(ctx) }()
				time.Sleep(time.Second)
				if tt.happens != nil {
					l.change(func() { tt.happens(l) })
				}
				time.Sleep(tt.within)
				cancel()
				require.NoError(t, <-done)
				require.Equal(t, tt.entries, l.entries)
				require.Len(t, l.secrets, tt.secrets)
				for _, s := range l.secrets {
					require.Equal(t, secret, s, "the secret that is known stays in force")
				}
			})
		})
	}
}

// A host that knows the new secret already passes changes on to one that does not.
func TestHostsWithDifferentSecretsUnderstandEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2)
		defer f.stop()
		ranked := f.ranked()
		root, follower := f.hosts[ranked[0]], f.hosts[ranked[1]]
		f.store.mu.Lock()
		f.store.refused[follower.cfg.Self] = true
		f.store.mu.Unlock()
		f.store.put(KeyKey, "another")
		time.Sleep(100 * time.Millisecond)
		require.Equal(t, "another", string(root.Snapshot().Key()))
		require.Equal(t, "another", string(follower.Snapshot().Key()), "the change itself came under the old secret")
		f.store.put("config", "2")
		time.Sleep(100 * time.Millisecond)
		require.EqualValues(t, 2, follower.Snapshot().Table.Config.Version)
	})
}
