package entry

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamaracktiller.example/tamaracktiller/internal/account/keyring"
	"tamaracktiller.example/tamaracktiller/internal/contract/routing"
	"tamaracktiller.example/tamaracktiller/internal/fleet/directory"
	"tamaracktiller.example/tamaracktiller/internal/process/settings"
)

// keyDialect reads keys from the header Key.
type keyDialect struct{ Dialect }

func (keyDialect) Credential(h http.Header) (string, bool) { return h.Get("Key"), h.Get("Key") != "" }

func (keyDialect) HasCredential(h http.Header) bool { return h.Get("Key") != "" }

// newKeySnapshot returns a snapshot whose only account has the given keys; without any, there is no
// account.
func newKeySnapshot(keys ...string) *directory.Snapshot {
	c := &routing.Config{Routes: []routing.Route{{Name: "r", Host: "h", Prefix: "/"}}}
	if len(keys) > 0 {
		c.Accounts = []routing.Account{{Name: "a", Keys: keys, Priority: 0, HasPriority: true}}
	}
	return &directory.Snapshot{Table: routing.NewTable(c), Keys: keyring.Update(nil, nil, c.Accounts)}
}

// keyHandler is a handler whose snapshot changes while the check of a key reads something.
type keyHandler struct {
	*Handler
	snapshot *directory.Snapshot
	fresh    bool
	soundAge time.Duration
	// onAge and onFresh are called once, when the age or the freshness is read.
	onAge, onFresh func()
}

func newKeyHandler(strict bool, s *directory.Snapshot) *keyHandler {
	k := &keyHandler{snapshot: s, fresh: true}
	once := func(f *func()) {
		if call := *f; call != nil {
			*f = nil
			call()
		}
	}
	k.Handler = &Handler{cfg: Config{
		Dialect:  keyDialect{},
		Snapshot: func() *directory.Snapshot { return k.snapshot },
		Fresh:    func(time.Time) bool { once(&k.onFresh); return k.fresh },
		SoundAge: func() time.Duration { once(&k.onAge); return k.soundAge },
	}}
	k.setRevocation(settings.Bounds{StrictRevoke: strict, Revoke: 5 * time.Second})
	return k
}

// Guards against a key that is admitted or denied by a view that is not the one whose age was read, and
// against a view that is too old.
func TestKeyIsCheckedAgainstAViewOfKnownAge(t *testing.T) {
	tests := []struct {
		name    string
		strict  bool
		disturb func(k *keyHandler)
		public  bool
		key     string
		status  int
		close   bool
		account bool
	}{
		{name: "known", key: "k", account: true},
		{name: "known, old view, not strict", key: "k", account: true, disturb: func(k *keyHandler) { k.fresh, k.soundAge = false, time.Hour }},
		{name: "unknown", key: "x", status: http.StatusUnauthorized},
		{name: "unknown, old view", key: "x", disturb: func(k *keyHandler) { k.fresh = false }, status: http.StatusServiceUnavailable},
		{name: "unknown, view is old since a suspension", key: "x", disturb: func(k *keyHandler) { k.soundAge = directory.FreshAge }, status: http.StatusServiceUnavailable},
		{name: "key is added before the view is found to be up to date", key: "x", disturb: func(k *keyHandler) { k.onFresh = func() { k.snapshot = newKeySnapshot("x") } }, account: true},
		{name: "accounts are removed before the view is found to be up to date", key: "x", disturb: func(k *keyHandler) { k.onFresh = func() { k.snapshot = newKeySnapshot() } }},
		{name: "strict, known", strict: true, key: "k", account: true, disturb: func(k *keyHandler) { k.soundAge = 5*time.Second - revokeMargin - 1 }},
		{name: "strict, too old", strict: true, key: "k", disturb: func(k *keyHandler) { k.soundAge = 5*time.Second - revokeMargin }, status: http.StatusServiceUnavailable, close: true},
		{name: "strict, too old, no key", strict: true, disturb: func(k *keyHandler) { k.soundAge = time.Hour }, status: http.StatusServiceUnavailable, close: true},
		{name: "strict, too old, public", strict: true, public: true, key: "k", disturb: func(k *keyHandler) { k.soundAge = time.Hour }},
		{name: "strict, key is removed after the age was read", strict: true, key: "k", disturb: func(k *keyHandler) { k.onAge = func() { k.snapshot = newKeySnapshot("x") } }, status: http.StatusUnauthorized},
		{name: "public, unknown", public: true, key: "x"},
		{name: "public, known", public: true, key: "k", account: true},
		{name: "no accounts", key: "x", strict: true, disturb: func(k *keyHandler) { k.snapshot, k.soundAge = newKeySnapshot(), time.Hour }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			k := newKeyHandler(tt.strict, newKeySnapshot("k"))
			if tt.disturb != nil {
				tt.disturb(k)
			}
			a, rejection := k.checkKey(http.Header{"Key": {tt.key}}, tt.public)
			if tt.status != 0 {
				require.NotNil(t, rejection)
				require.Equal(t, tt.status, rejection.status)
				require.Equal(t, tt.close, rejection.closeConnection)
				require.NotEmpty(t, rejection.keyRefusal)
				require.Equal(t, tt.status == http.StatusServiceUnavailable, rejection.retryAfter > 0)
				return
			}
			require.Nil(t, rejection)
			require.Equal(t, tt.account, a.account != nil)
		})
	}
}

// Guards against keys that are used or denied although the configuration does not say so for certain: parts
// of it cannot be applied.
func TestKeysOfAConfigurationWithDefects(t *testing.T) {
	const known, unusable, unknown = "k", "u", "x"
	tests := []struct {
		name              string
		strict, unread    bool
		missesKeys        bool
		public            bool
		key               string
		want              KeyRefusal
		account, isDenied bool
	}{
		{name: "account that can be used", key: known, account: true},
		{name: "account that cannot be used", key: unusable, want: AccountUnusable},
		{name: "account that cannot be used, public", key: unusable, public: true},
		{name: "unknown", key: unknown, want: KeyUnknown, isDenied: true},
		{name: "unknown, keys cannot be read", key: unknown, missesKeys: true, want: KeyUnreadable},
		{name: "known, keys cannot be read", key: known, missesKeys: true, account: true},
		{name: "newer configuration cannot be read", key: known, unread: true, account: true},
		{name: "newer configuration cannot be read, strict", key: known, strict: true, unread: true, want: ConfigUnreadable},
		{name: "newer configuration cannot be read, strict, unknown", key: unknown, strict: true, unread: true, want: ConfigUnreadable},
		{name: "newer configuration cannot be read, strict, public", key: known, strict: true, unread: true, public: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := &routing.Config{
				MissesKeys: tt.missesKeys, Routes: []routing.Route{{Name: "r", Host: "h", Prefix: "/"}},
				Accounts: []routing.Account{{Name: "a", Keys: []string{known}}, {Name: "b", Keys: []string{unusable}, Unusable: true}},
			}
			k := newKeyHandler(tt.strict, &directory.Snapshot{Table: routing.NewTable(c), Keys: keyring.Update(nil, nil, c.Accounts), ConfigUnreadable: tt.unread})
			require.Equal(t, !tt.strict || !tt.unread, k.CanCheckKeys())
			a, rejection := k.checkKey(http.Header{"Key": {tt.key}}, tt.public)
			require.Equal(t, tt.account, a.account != nil)
			if tt.want == "" {
				require.Nil(t, rejection)
				return
			}
			require.Equal(t, tt.want, rejection.keyRefusal)
			require.Equal(t, tt.isDenied, rejection.status == http.StatusUnauthorized)
			require.Equal(t, !tt.isDenied, rejection.status == http.StatusServiceUnavailable)
		})
	}
}

// Guards against a host that stays ready although it refuses requests, or the reverse.
func TestReadinessFollowsTheAgeOfTheView(t *testing.T) {
	public := newKeySnapshot("k")
	public.Table.Config.Routes[0].Public = true
	tests := []struct {
		name     string
		strict   bool
		snapshot *directory.Snapshot
		age      time.Duration
		want     bool
	}{
		{name: "not strict", snapshot: newKeySnapshot("k"), age: time.Hour, want: true},
		{name: "young", strict: true, snapshot: newKeySnapshot("k"), want: true},
		{name: "old", strict: true, snapshot: newKeySnapshot("k"), age: 5 * time.Second},
		{name: "old, all routes are public", strict: true, snapshot: public, age: time.Hour, want: true},
		{name: "old, no accounts", strict: true, snapshot: newKeySnapshot(), age: time.Hour, want: true},
		{name: "no configuration", strict: true, snapshot: &directory.Snapshot{}, age: time.Hour, want: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			k := newKeyHandler(tt.strict, tt.snapshot)
			k.soundAge = tt.age
			require.Equal(t, tt.want, k.CanCheckKeys())
		})
	}
}

// Guards against settings of revocation that are not in force, and against a margin that leaves no time.
func TestRevocationBoundsApply(t *testing.T) {
	k := newKeyHandler(false, newKeySnapshot("k"))
	for _, tt := range []struct {
		strict bool
		revoke time.Duration
		want   time.Duration
	}{
		{strict: true, revoke: 5 * time.Second, want: 4750 * time.Millisecond},
		{revoke: 5 * time.Second},
		{strict: true, revoke: 200 * time.Millisecond, want: 100 * time.Millisecond},
	} {
		k.setRevocation(settings.Bounds{StrictRevoke: tt.strict, Revoke: tt.revoke})
		require.Equal(t, int64(tt.want), k.maxKeyAge.Load())
	}
}

// Guards against a priority of 0 that is taken for none.
func TestPriorityOfTheAccountTakesPrecedence(t *testing.T) {
	route := &routing.Route{Priority: 2}
	tests := []struct {
		account *routing.Account
		want    int
	}{
		{want: 2},
		{account: &routing.Account{Priority: 1}, want: 2},
		{account: &routing.Account{HasPriority: true}, want: 0},
		{account: &routing.Account{Priority: 7, HasPriority: true}, want: 7},
	}
	for _, tt := range tests {
		req := &clientRequest{route: route, account: tt.account}
		require.Equal(t, tt.want, req.priority(), "%+v", tt.account)
	}
}

// BenchmarkCheckKey covers both checks of a request, without the clock of the system.
func BenchmarkCheckKey(b *testing.B) {
	for _, bb := range []struct {
		name     string
		strict   bool
		snapshot *directory.Snapshot
	}{
		{name: "no accounts", snapshot: newKeySnapshot()},
		{name: "accounts", snapshot: newKeySnapshot("k")},
		{name: "strict", strict: true, snapshot: newKeySnapshot("k")},
	} {
		b.Run(bb.name, func(b *testing.B) {
			k := newKeyHandler(bb.strict, bb.snapshot)
			req := &clientRequest{h: k.Handler, route: &routing.Route{}, incoming: &http.Request{Header: http.Header{"Key": {"k"}}}}
			b.ReportAllocs()
			for b.Loop() {
				if rejection := req.authenticate(k.snapshot); rejection != nil {
					b.Fatal(rejection.reason)
				}
				if _, rejection := req.recheck(); rejection != nil {
					b.Fatal(rejection.reason)
				}
			}
		})
	}
}
