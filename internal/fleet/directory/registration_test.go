package directory

import (
	"context"
	"io"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"tamaracktiller.example/tamaracktiller/internal/platform/store"
)

// fakeLeaser records the writes, and holds the state that a host would read back.
type fakeLeaser struct {
	mu     sync.Mutex
	state  RegistrationState
	grants int
	// refuseGrants makes all grants fail.
	refuseGrants bool
	expired      map[uint64]bool
	// droppedCommits is the number of commits that fail with an unknown outcome and are not
	// applied.
	droppedCommits int
	entries        []uint64
	secrets        [][]byte
	// sizes are the recorded sizes of the fleet.
	sizes []string
	// accountsAt is the time of the record of client accounts; zero for none.
	accountsAt time.Time
	self       Host
}

var _ store.Leaser = (*fakeLeaser)(nil)

func (l *fakeLeaser) Grant(context.Context, time.Duration) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.grants++
	if l.refuseGrants {
		return 0, store.ErrUnavailable
	}
	return uint64(l.grants), nil
}

func (l *fakeLeaser) Renew(_ context.Context, lease uint64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.expired[lease] {
		return store.ErrNotFound
	}
	return nil
}

func (l *fakeLeaser) Revoke(context.Context, uint64) error { return nil }

func (l *fakeLeaser) Commit(_ context.Context, conditions []store.Condition, writes []store.Put, _ []string) (store.Revision, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.droppedCommits > 0 {
		l.droppedCommits--
		return store.Revision{}, store.ErrOutcomeUnknown
	}
	if writes[0].Key == SizeKey {
		if len(conditions) != 1 || conditions[0].Revision != l.state.SizeRevision {
			return store.Revision{}, store.ErrConflict
		}
		l.sizes = append(l.sizes, string(writes[0].Value))
		l.state.RecordedHosts, l.state.SizeRevision = l.state.Hosts, store.NewRevision(l.state.Era, uint64(len(l.sizes)))
		return l.state.SizeRevision, nil
	}
	if writes[0].Key == AccountsKey {
		l.accountsAt, l.state.AccountsStored = time.Now(), true
		return store.NewRevision(l.state.Era, 1), nil
	}
	if writes[0].Key == SecretKey {
		if len(conditions) != 1 || !conditions[0].Revision.IsZero() || l.state.SecretStored {
			return store.Revision{}, store.ErrConflict
		}
		l.secrets = append(l.secrets, writes[0].Value)
		l.state.SecretStored, l.state.Secret = true, writes[0].Value
	} else {
		l.entries = append(l.entries, writes[0].Lease)
		l.state.Entry = l.self
	}
	return store.NewRevision(l.state.Era, 1), nil
}

func (l *fakeLeaser) registrationState() RegistrationState {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state
}

func (l *fakeLeaser) change(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
}

func TestEntryAndSecretAreRewrittenWhenMissing(t *testing.T) {
	secret := []byte("known")
	tests := []struct {
		name string
		// droppedCommits is the number of first commits that are dropped.
		droppedCommits int
		// fault is injected into the store while the lease is valid.
		fault func(l *fakeLeaser)
		// within is the time in which the entry and the secret must be written again.
		within  time.Duration
		entries []uint64
		secrets int
	}{
		{name: "the first writes are dropped", droppedCommits: 2, within: 3 * time.Second, entries: []uint64{2}, secrets: 1},
		{name: "no fault", within: 3 * time.Second, entries: []uint64{1}, secrets: 1},
		{
			name: "the store is restored without entry and secret", within: 1200 * time.Millisecond, entries: []uint64{1, 2}, secrets: 2,
			fault: func(l *fakeLeaser) {
				l.state.Era, l.state.Entry, l.state.SecretStored = 2, Host{}, false
			},
		},
		{
			name: "the store is restored with an entry of an earlier run", within: 1200 * time.Millisecond, entries: []uint64{1, 2}, secrets: 1,
			fault: func(l *fakeLeaser) { l.state.Era, l.state.Entry.Incarnation = 2, "earlier" },
		},
		{
			name: "the store is restored with the entry and without the lease", within: 1200 * time.Millisecond, entries: []uint64{1, 2}, secrets: 1,
			fault: func(l *fakeLeaser) { l.state.Era, l.expired[1] = 2, true },
		},
		{
			name: "the store is restored with entry and secret", within: 3 * time.Second, entries: []uint64{1}, secrets: 1,
			fault: func(l *fakeLeaser) { l.state.Era = 2 },
		},
		{
			name: "the lease expires", within: 3 * time.Second, entries: []uint64{1, 2}, secrets: 1,
			fault: func(l *fakeLeaser) { l.expired[1] = true },
		},
		{
			name: "the entry is deleted, but the lease is valid", within: 6 * time.Second, entries: []uint64{1, 2}, secrets: 1,
			fault: func(l *fakeLeaser) { l.state.Entry = Host{} },
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := logrus.New()
				log.SetOutput(io.Discard)
				l := &fakeLeaser{
					expired: map[uint64]bool{}, droppedCommits: tt.droppedCommits, self: Host{Name: "a", Incarnation: "1"},
					state: RegistrationState{Loaded: true, Fresh: true, Era: 1, Hosts: 13, Secret: secret},
				}
				r := &Registration{Self: l.self, Store: l, State: l.registrationState, HostsChanged: func() <-chan struct{} { return nil }, Log: logrus.NewEntry(log)}
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan error)
				go func() { done <- r.Run(ctx) }()
				time.Sleep(time.Second)
				if tt.fault != nil {
					l.change(func() { tt.fault(l) })
				}
				time.Sleep(tt.within)
				cancel()
				require.NoError(t, <-done)
				require.Equal(t, tt.entries, l.entries)
				require.Len(t, l.secrets, tt.secrets)
				for _, s := range l.secrets {
					require.Equal(t, secret, s, "the known secret must stay in use")
				}
			})
		})
	}
}

// A host that already knows the new secret sends changes to one that does not.
func TestChangesSpreadDuringSecretRotation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2)
		defer f.stop()
		ranked := f.ranked()
		root, follower := f.hosts[ranked[0]], f.hosts[ranked[1]]
		f.store.mu.Lock()
		f.store.rejected[follower.cfg.Self.Name] = true
		f.store.mu.Unlock()
		f.store.put(SecretKey, "another")
		time.Sleep(100 * time.Millisecond)
		require.Equal(t, "another", string(root.Snapshot().Secret()))
		require.Equal(t, "another", string(follower.Snapshot().Secret()), "the change itself must arrive under the old secret")
		f.store.put("config", "2")
		time.Sleep(100 * time.Millisecond)
		require.EqualValues(t, 2, follower.Snapshot().Table.Config.Version)
	})
}

func TestFirstHostRecordsTheLargestSizeOfTheFleet(t *testing.T) {
	for _, first := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			log := logrus.New()
			log.SetOutput(io.Discard)
			l := &fakeLeaser{expired: map[uint64]bool{}, self: Host{Name: "a"}, state: RegistrationState{Loaded: true, Fresh: true, Era: 1, Hosts: 3, First: first}}
			r := &Registration{Self: l.self, Store: l, State: l.registrationState, HostsChanged: func() <-chan struct{} { return nil }, Log: logrus.NewEntry(log)}
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan error)
			go func() { done <- r.Run(ctx) }()
			for _, hosts := range []int{13, 9, 13, 17} {
				time.Sleep(10 * time.Second)
				l.change(func() { l.state.Hosts = hosts })
			}
			time.Sleep(10 * time.Second)
			l.change(func() { l.state.RecordedHosts, l.state.SizeRevision = 0, store.Revision{} })
			time.Sleep(10 * time.Second)
			cancel()
			require.NoError(t, <-done)
			if first {
				require.Equal(t, []string{"3", "13", "17", "17"}, l.sizes)
			} else {
				require.Empty(t, l.sizes)
			}
		})
	}
}

// Guards against accounts that are recorded seconds late, or not at all because the first host of the ranking does not
// reach the store.
func TestAccountsAreRecordedByTheNextHostOfTheRanking(t *testing.T) {
	const settledAt, length = sizeSettleTime + 700*time.Millisecond, time.Minute
	tests := []struct {
		name string
		rank int
		// growing is set if the accounts are seen while the fleet still grows.
		growing bool
		// dropped is the number of commits that are not applied, from the time on at which accounts are seen.
		dropped int
		// byOther is the time after the accounts were seen at which another host writes the record; zero for never.
		byOther time.Duration
		// want is the earliest time of the record after the accounts were seen, and within the time it takes at
		// most then; never if within is zero.
		want, within time.Duration
	}{
		{name: "first host", within: time.Millisecond},
		{name: "first host, writes are lost", dropped: 2, within: 3 * renewPeriod},
		{name: "second host", rank: 1, want: accountsStep, within: 2 * renewPeriod},
		{name: "fourth host", rank: 3, want: 3 * accountsStep, within: 2 * renewPeriod},
		{name: "second host, recorded by the first", rank: 1, byOther: time.Second},
		{name: "first host while the fleet grows, recorded by the first that it did not know", growing: true, byOther: time.Second},
		{name: "first host while the fleet grows", growing: true, want: sizeSettleTime, within: maxRoleWait},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				changed := make(chan struct{})
				l := &fakeLeaser{expired: map[uint64]bool{}, self: Host{Name: "a"}, state: RegistrationState{Loaded: true, Fresh: true, Era: 1, Hosts: 4, RecordedHosts: 4, Secret: []byte("s"), SecretStored: true, First: tt.rank == 0, Rank: tt.rank}}
				r := &Registration{Self: l.self, Store: l, State: l.registrationState, HostsChanged: func() <-chan struct{} { return changed }, Log: discardLog()}
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan error)
				go func() { done <- r.Run(ctx) }()
				time.Sleep(settledAt)
				l.change(func() { l.state.AccountsSeen, l.droppedCommits = true, tt.dropped })
				if tt.growing {
					l.change(func() { l.state.Hosts++ })
				}
				seen := time.Now()
				wake := changed
				changed = make(chan struct{})
				close(wake)
				if tt.byOther > 0 {
					time.Sleep(tt.byOther)
					l.change(func() { l.state.AccountsStored = true })
				}
				time.Sleep(length)
				cancel()
				require.NoError(t, <-done)
				if tt.within == 0 {
					require.Zero(t, l.accountsAt)
					return
				}
				at := l.accountsAt.Sub(seen)
				require.GreaterOrEqual(t, at, tt.want)
				require.LessOrEqual(t, at, tt.want+tt.within)
			})
		})
	}
}

func TestProcessThatStartsWhileFewHostsAreListedKnowsTheSizeOfTheFleet(t *testing.T) {
	put := func(key, value string, revision uint64) store.Item {
		return store.Item{Key: key, Value: []byte(value), Revision: store.NewRevision(1, revision)}
	}
	tests := []struct {
		name  string
		items []store.Item
		want  int
	}{
		{name: "no record", items: []store.Item{put(HostPrefix+"b", `{"name":"b"}`, 1)}, want: 1},
		{name: "larger record", items: []store.Item{put(HostPrefix+"b", `{"name":"b"}`, 1), put(SizeKey, "13", 2)}, want: 13},
		{name: "smaller record", items: []store.Item{put(SizeKey, "1", 1), put(HostPrefix+"b", `{"name":"b"}`, 2), put(HostPrefix+"c", `{"name":"c"}`, 3)}, want: 2},
		{name: "record is lowered", items: []store.Item{put(SizeKey, "13", 1), put(SizeKey, "2", 2)}, want: 13},
		{name: "record is deleted", items: []store.Item{put(SizeKey, "13", 1), {Key: SizeKey, Deleted: true, Revision: store.NewRevision(1, 2)}}, want: 13},
		{name: "invalid record", items: []store.Item{put(SizeKey, "many", 1)}, want: 0},
		{name: "negative record", items: []store.Item{put(SizeKey, "-4", 1)}, want: 0},
		{name: "impossible record", items: []store.Item{put(SizeKey, "99999999999", 1)}, want: 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := NewState(Host{Name: "a"}, plainDecoder{}, time.Second, func(store.Item) {})
			for _, item := range tt.items {
				s.Apply(time.Now(), item)
			}
			require.Equal(t, tt.want, s.Snapshot().MaxHosts)
		})
	}
}

func TestOnlyProcessesThatRegisteredBeforeTheRecordOfTheSizeAreFounders(t *testing.T) {
	put := func(key, value string, revision uint64) store.Item {
		return store.Item{Key: key, Value: []byte(value), Revision: store.NewRevision(1, revision)}
	}
	const self = `{"name":"a","peers":"","incarnation":"2"}`
	tests := []struct {
		name  string
		items []store.Item
		want  bool
	}{
		{name: "no record", items: []store.Item{put(HostPrefix+"a", self, 1)}},
		{name: "no entry yet", items: []store.Item{put(SizeKey, "3", 2)}},
		{name: "registered before", items: []store.Item{put(HostPrefix+"a", self, 1), put(SizeKey, "3", 2)}, want: true},
		{name: "registered before, learned later", items: []store.Item{put(SizeKey, "3", 2), put(HostPrefix+"a", self, 1)}, want: true},
		{name: "registered after", items: []store.Item{put(SizeKey, "3", 1), put(HostPrefix+"a", self, 2)}},
		{name: "registered after, record changes", items: []store.Item{put(SizeKey, "3", 1), put(HostPrefix+"a", self, 2), put(SizeKey, "4", 3)}},
		{name: "registered again", items: []store.Item{put(HostPrefix+"a", self, 1), put(SizeKey, "3", 2), put(HostPrefix+"a", self, 3)}, want: true},
		{name: "the host had another process", items: []store.Item{put(HostPrefix+"a", `{"name":"a","peers":"","incarnation":"1"}`, 1), put(HostPrefix+"a", self, 2), put(SizeKey, "3", 3)}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := NewState(Host{Name: "a", Incarnation: "2"}, plainDecoder{}, time.Second, func(store.Item) {})
			for _, item := range tt.items {
				s.Apply(time.Now(), item)
			}
			require.Equal(t, tt.want, s.Snapshot().Founder)
		})
	}
}

// Guards against calls that grow with the fleet while the store refuses them.
func TestHostsOfALargeFleetRetryRegistrationLessOften(t *testing.T) {
	tests := []struct {
		hosts int
		// maxCalls is the highest number of calls a second of all hosts together: a tenth of the
		// writes that the store of such a fleet takes.
		maxCalls float64
	}{{hosts: 13, maxCalls: 40}, {hosts: 105, maxCalls: 120}, {hosts: 312, maxCalls: 320}}
	for _, tt := range tests {
		t.Run(strconv.Itoa(tt.hosts), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const length = 30 * time.Second
				log := logrus.New()
				log.SetOutput(io.Discard)
				l := &fakeLeaser{expired: map[uint64]bool{}, refuseGrants: true, self: Host{Name: "a"}, state: RegistrationState{Loaded: true, Fresh: true, Era: 1, Hosts: tt.hosts, SecretStored: true}}
				r := &Registration{Self: l.self, Store: l, State: l.registrationState, HostsChanged: func() <-chan struct{} { return nil }, Log: logrus.NewEntry(log)}
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan error)
				go func() { done <- r.Run(ctx) }()
				time.Sleep(length)
				cancel()
				require.NoError(t, <-done)
				require.LessOrEqual(t, float64(l.grants*tt.hosts)/length.Seconds(), tt.maxCalls)
			})
		})
	}
}

// expiringLeaser keeps leases for the time for which they were granted.
type expiringLeaser struct {
	*fakeLeaser
	ttls   map[uint64]time.Duration
	until  map[uint64]time.Time
	ended  int
	renews int
	// refusedUntil is the time until which the store refuses renewals.
	refusedUntil time.Time
}

func (l *expiringLeaser) Grant(ctx context.Context, ttl time.Duration) (uint64, error) {
	lease, err := l.fakeLeaser.Grant(ctx, ttl)
	l.ttls[lease], l.until[lease] = ttl, time.Now().Add(ttl)
	return lease, err
}

func (l *expiringLeaser) Renew(_ context.Context, lease uint64) error {
	l.renews++
	if time.Now().Before(l.refusedUntil) {
		return store.ErrUnavailable
	}
	if time.Now().After(l.until[lease]) {
		l.ended++
		return store.ErrNotFound
	}
	l.until[lease] = time.Now().Add(l.ttls[lease])
	return nil
}

// Guards against hosts that leave a fleet which has grown, since their leases are shorter than the
// time between renewals.
func TestEntriesStayWhileTheFleetGrows(t *testing.T) {
	for _, first := range []int{1, 20, 189, 312} {
		synctest.Test(t, func(t *testing.T) {
			l := &expiringLeaser{
				fakeLeaser: &fakeLeaser{expired: map[uint64]bool{}, self: Host{Name: "a"}, state: RegistrationState{Loaded: true, Fresh: true, Hosts: first, Secret: []byte("s"), SecretStored: true}},
				ttls:       map[uint64]time.Duration{}, until: map[uint64]time.Time{},
			}
			r := &Registration{Self: l.self, Store: l, State: l.registrationState, HostsChanged: func() <-chan struct{} { return nil }, Log: discardLog()}
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan error)
			go func() { done <- r.Run(ctx) }()
			time.Sleep(100 * time.Millisecond)
			l.change(func() { l.state.Hosts = 312 })
			time.Sleep(10 * time.Minute)
			cancel()
			require.NoError(t, <-done)
			require.Zero(t, l.ended, "leases that ended, of a host that first knew of %d", first)
			require.Equal(t, 1, l.grants)
			require.GreaterOrEqual(t, l.renews, 10)
		})
	}
}

// Guards against refused renewals of a large fleet that keep the store busy, though leases last.
func TestRefusedRenewalsAreRepeatedSlowly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const outage = 9 * time.Second
		l := &expiringLeaser{
			fakeLeaser: &fakeLeaser{expired: map[uint64]bool{}, self: Host{Name: "a"}, state: RegistrationState{Loaded: true, Fresh: true, Hosts: 312, Secret: []byte("s"), SecretStored: true}},
			ttls:       map[uint64]time.Duration{}, until: map[uint64]time.Time{},
		}
		r := &Registration{Self: l.self, Store: l, State: l.registrationState, HostsChanged: func() <-chan struct{} { return nil }, Log: discardLog()}
		period := r.period()
		l.refusedUntil = time.Now().Add(period + outage)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- r.Run(ctx) }()
		time.Sleep(period + outage)
		require.LessOrEqual(t, l.renews, 6, "calls in an outage of 9 s")
		time.Sleep(retryLimit)
		renewed := time.Until(l.until[1])
		cancel()
		require.NoError(t, <-done)
		require.Zero(t, l.ended)
		require.Greater(t, renewed, leasePeriods*period-retryLimit, "the lease is renewed soon after the outage")
	})
}

// Guards against a record of client accounts that waits for the next turn of the registration.
func TestHostsAreWokenByTheFirstAccounts(t *testing.T) {
	d := New(Config{Self: Host{Name: "a"}, Decoder: plainDecoder{}, Log: discardLog()}, nil)
	tests := []struct {
		name, config string
		want         bool
	}{
		{name: "no accounts", config: "1"},
		{name: "accounts", config: accountsPrefix + "k 2", want: true},
		{name: "accounts remain", config: accountsPrefix + "l 3"},
		{name: "accounts are gone", config: "4"},
	}
	for i, tt := range tests {
		changed := d.HostsChanged()
		d.publish(d.apply(now, &update{page: store.Page{Items: []store.Item{put("config", tt.config, uint64(i)+1)}}}), nil)
		select {
		case <-changed:
			require.True(t, tt.want, tt.name)
		default:
			require.False(t, tt.want, tt.name)
		}
		require.Equal(t, i > 0, d.RegistrationState().AccountsSeen, tt.name)
	}
}
