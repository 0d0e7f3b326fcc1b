package directory

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"tamaracktiller.example/tamaracktiller/internal/fleet/belief"
	"tamaracktiller.example/tamaracktiller/internal/platform/store"
)

// Guards against blocked requests that a host does not know, or knows although they are not in the store any more.
func TestSnapshotHoldsTheBlockedRequestsOfTheStore(t *testing.T) {
	a, b := blockedKey(0xa), blockedKey(1<<63)
	tests := []struct {
		name    string
		apply   func(s *State)
		blocked map[uint64]bool
		changes int
	}{
		{name: "none", apply: func(s *State) { s.Load(now, pageIn(1, 5)) }},
		{name: "in the first read", apply: func(s *State) { s.Load(now, pageIn(1, 5, itemIn(1, a, "", 3), itemIn(1, b, "", 4))) }, blocked: map[uint64]bool{0xa: true, 1 << 63: true}, changes: 2},
		{name: "later", apply: func(s *State) { s.Load(now, pageIn(1, 5)); s.Apply(now, itemIn(1, a, "", 6)) }, blocked: map[uint64]bool{0xa: true}, changes: 1},
		{name: "written again", apply: func(s *State) { s.Apply(now, itemIn(1, a, "", 6)); s.Apply(now, itemIn(1, a, "x", 7)) }, blocked: map[uint64]bool{0xa: true}, changes: 1},
		{name: "deleted", apply: func(s *State) {
			s.Apply(now, itemIn(1, a, "", 6))
			s.Apply(now, itemIn(1, b, "", 7))
			s.Apply(now, deletedItem(1, a, 8))
		}, blocked: map[uint64]bool{1 << 63: true}, changes: 3},
		{name: "missing in a copy", apply: func(s *State) {
			s.Load(now, pageIn(1, 6, itemIn(1, a, "", 6)))
			s.Load(now, pageIn(2, 5))
		}, changes: 2},
		{name: "other keys", apply: func(s *State) {
			for n, key := range []string{"fleet/blocked/", "fleet/blocked/xyz", "fleet/blocked/11112222333344445", "blocked/a"} {
				s.Apply(now, itemIn(1, key, "", uint64(n+1)))
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newState()
			tt.apply(s)
			snapshot := s.Snapshot()
			require.Len(t, snapshot.Blocked, len(tt.blocked))
			for fingerprint := range tt.blocked {
				require.True(t, snapshot.Blocked[fingerprint])
			}
			require.Equal(t, tt.changes, snapshot.BlockedChanges)
			s.Apply(now, itemIn(3, blockedKey(77), "", 1))
			require.False(t, snapshot.Blocked[77], "a snapshot does not change")
		})
	}
}

// blockLeaser is a store that fails in part.
type blockLeaser struct {
	store.Leaser
	commitErr error
	ttl       time.Duration
	put       store.Put
	condition store.Condition
	revoked   uint64
}

const blockLease = 9

// Grant implements store.Leaser.
func (l *blockLeaser) Grant(_ context.Context, ttl time.Duration) (uint64, error) {
	l.ttl = ttl
	return blockLease, nil
}

// Revoke implements store.Leaser.
func (l *blockLeaser) Revoke(_ context.Context, lease uint64) error {
	l.revoked = lease
	return nil
}

// Commit implements store.Leaser.
func (l *blockLeaser) Commit(_ context.Context, conditions []store.Condition, writes []store.Put, _ []string) (store.Revision, error) {
	l.condition, l.put = conditions[0], writes[0]
	return store.Revision{}, l.commitErr
}

// Guards against leases that are left over, and against a block that does not end by itself.
func TestBlockEndsWithItsLease(t *testing.T) {
	tests := []struct {
		name    string
		err     error
		revoked uint64
		fails   bool
	}{
		{name: "written"},
		{name: "another host was first", err: store.ErrConflict, revoked: blockLease},
		{name: "not written", err: store.ErrUnavailable, fails: true},
		{name: "may be written", err: errors.Wrap(store.ErrOutcomeUnknown, "commit"), fails: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := &blockLeaser{commitErr: tt.err}
			err := Blocks{Store: l}.PutBlock(t.Context(), 0xabc, time.Minute)
			require.Equal(t, tt.fails, err != nil)
			require.Equal(t, tt.revoked, l.revoked)
			require.Equal(t, time.Minute, l.ttl)
			require.Equal(t, store.Put{Key: "fleet/blocked/abc", Lease: blockLease}, l.put)
			require.Equal(t, store.Condition{Key: "fleet/blocked/abc"}, l.condition, "only if there is none")
		})
	}
}

// fixedBelief is a belief with fixed records.
type fixedBelief struct{ records []byte }

// Name implements belief.Belief.
func (fixedBelief) Name() string { return "fixed" }

// Export implements belief.Belief.
func (b fixedBelief) Export() ([]byte, error) { return b.records, nil }

// Import implements belief.Belief.
func (fixedBelief) Import([]byte) error { return nil }

// Guards against beliefs that a host which starts does not get, and against ones in every response.
func TestBeliefsAreSentToHostsThatAsk(t *testing.T) {
	d := viewOf(t)
	d.cfg.Beliefs = belief.NewRegistry(logrus.NewEntry(logrus.New()))
	d.cfg.Beliefs.Register(fixedBelief{[]byte("known")})
	d.feed(update{page: pageIn(1, 2, itemIn(1, SecretKey, "secret", 1), itemIn(1, "config", "1", 2)), full: true, source: sourceStore})
	for _, query := range []string{"", "&memory="} {
		w := httptest.NewRecorder()
		d.ServeHTTP(w, httptest.NewRequest(http.MethodGet, ChangesPath+"?after=1.2&wait=0s"+query, nil))
		var res changesResponse
		require.NoError(t, cbor.Unmarshal(w.Body.Bytes(), &res))
		if query == "" {
			require.Empty(t, res.Beliefs)
		} else {
			require.Equal(t, map[string][]byte{"fixed": []byte("known")}, res.Beliefs)
		}
	}
}
