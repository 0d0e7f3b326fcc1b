package entry

// This file defines how the key of a client account is checked: when a request arrives, and before
// each send.

import (
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"tamaracktiller.example/tamaracktiller/internal/account/keyring"
	"tamaracktiller.example/tamaracktiller/internal/contract/routing"
	"tamaracktiller.example/tamaracktiller/internal/fleet/directory"
	"tamaracktiller.example/tamaracktiller/internal/fleet/packet"
	"tamaracktiller.example/tamaracktiller/internal/process/settings"
	"tamaracktiller.example/tamaracktiller/internal/traffic/fairshare"
)

const (
	// otherHostRetryAfter is the Retry-After of a request that another host may admit. It is short,
	// since a client uses it only up to a third of the time that it has left.
	otherHostRetryAfter = 20 * time.Millisecond
	// revokeMargin is the time before the end of settings.Bounds.Revoke from which on keys are not
	// used. It covers clocks of different hosts that run at different rates along the chain by which
	// the view is updated: 250 ms of 5 s are a hundred times what crystals deviate.
	revokeMargin = 250 * time.Millisecond
)

// KeyRefusal is why a request was refused that needs the key of a client account.
type KeyRefusal string

// Reasons for refusals.
const (
	// KeyUnknown: the key is unknown, missing, empty or repeated.
	KeyUnknown KeyRefusal = "unknown-key"
	// KeyUnconfirmed: as KeyUnknown, but the view is not up to date.
	KeyUnconfirmed KeyRefusal = "unknown-key-old-view"
	// ViewTooOld: the view is too old to use a key that may have been removed.
	ViewTooOld KeyRefusal = "view-too-old"
	// ConfigUnreadable: the view lacks a newer configuration, which cannot be read and may have removed the key.
	ConfigUnreadable KeyRefusal = "unreadable-configuration"
	// KeyUnreadable: as KeyUnknown, but keys of the configuration cannot be read.
	KeyUnreadable KeyRefusal = "unreadable-keys"
	// AccountUnusable: the account of the key cannot be applied as the configuration has it.
	AccountUnusable KeyRefusal = "unusable-account"
)

// authorization is the result of the check of a key.
type authorization struct {
	// keys is the index that was used; nil if the configuration has no accounts.
	keys *keyring.Keyring
	// account is the account of the key; nil for none.
	account *routing.Account
}

// apply sets the headers of a request to a target. Without accounts they pass unchanged.
func (a authorization) apply(d Dialect, h http.Header) {
	if a.keys == nil {
		return
	}
	name := ""
	if a.account != nil {
		name = a.account.Name
	}
	d.SetAccount(h, name)
}

// refusedError reports that a request was refused directly before it was sent.
type refusedError struct{ response *finalResponse }

// Error implements error.
func (e *refusedError) Error() string { return e.response.reason }

// refusal returns the response to a request whose attempt was refused before it was sent; nil if the
// attempt was not.
func (r *attempt) refusal() *finalResponse {
	var refused *refusedError
	if r.cause != nil && errors.As(r.cause, &refused) {
		return refused.response
	}
	return nil
}

// authenticate checks the key of a request that has arrived. It returns a response if the request is
// refused.
func (req *clientRequest) authenticate(s *directory.Snapshot) *finalResponse {
	if s.Keys == nil {
		return nil
	}
	a, rejection := req.h.checkKey(req.incoming.Header, req.route.Public)
	req.keys, req.account = a.keys, a.account
	return rejection
}

// recheck checks the key once more, directly before a send: the request may have waited, and its key
// may have been removed meanwhile.
func (req *clientRequest) recheck() (authorization, *finalResponse) {
	h := req.h
	if req.keys == nil && h.cfg.Snapshot().Keys == nil {
		return authorization{}, nil
	}
	current := h.viewIsCurrent()
	s := h.cfg.Snapshot()
	if current && s.Keys == req.keys {
		return authorization{keys: req.keys, account: req.account}, nil
	}
	public := req.route.Public
	if route, ambiguous := s.Table.MatchTarget(req.incoming.Host, req.incoming.RequestURI); route != nil {
		public = route.Public && !ambiguous
	}
	return h.checkKey(req.incoming.Header, public)
}

// beforeSend returns a function that checks the key directly before a request to a target is written,
// and sets its headers.
func (req *clientRequest) beforeSend(out *http.Request) func() error {
	return func() error {
		a, rejection := req.recheck()
		if rejection != nil {
			return &refusedError{rejection}
		}
		a.apply(req.h.cfg.Dialect, out.Header)
		return nil
	}
}

// checkKey finds the account of a request. It returns a response if the request is refused.
func (h *Handler) checkKey(header http.Header, public bool) (authorization, *finalResponse) {
	// The age is read before the snapshot: if the snapshot is replaced in between, it only contains
	// more than the age says.
	current := h.viewIsCurrent()
	s := h.cfg.Snapshot()
	a := authorization{keys: s.Keys}
	switch {
	case s.Keys == nil, !h.needsKey(s, header):
		return a, nil
	case !current:
		return a.refuse(h, public, ViewTooOld)
	case h.missesRemovals(s):
		return a.refuse(h, public, ConfigUnreadable)
	case a.find(h.cfg.Dialect, header):
		return a.use(h, public)
	case public:
		return a, nil
	}
	fresh := h.viewIsFresh()
	s = h.cfg.Snapshot()
	a.keys = s.Keys
	switch {
	case s.Keys == nil, !h.needsKey(s, header):
		return a, nil
	case h.missesRemovals(s):
		return a.refuse(h, public, ConfigUnreadable)
	case a.find(h.cfg.Dialect, header):
		return a.use(h, public)
	case !fresh:
		return a.refuse(h, public, KeyUnconfirmed)
	case s.Table.Config.MissesKeys:
		return a.refuse(h, public, KeyUnreadable)
	}
	return a.refuse(h, public, KeyUnknown)
}

// refuse returns the response to a request whose key is not used. On a public route the request counts as one
// without a key.
func (a authorization) refuse(h *Handler, public bool, why KeyRefusal) (authorization, *finalResponse) {
	a.account = nil
	if public {
		return a, nil
	}
	return a, h.rejectKey(why)
}

// use returns the authorization of a key that was found, unless its account cannot be used.
func (a authorization) use(h *Handler, public bool) (authorization, *finalResponse) {
	if a.account.Unusable {
		return a.refuse(h, public, AccountUnusable)
	}
	return a, nil
}

// needsKey reports whether a request needs a key that is valid. Without accounts none does, but one that has a key had
// it from a configuration that has been replaced, so it must not run.
func (h *Handler) needsKey(s *directory.Snapshot, header http.Header) bool {
	return len(s.Table.Config.Accounts) > 0 || h.cfg.Dialect.HasCredential(header)
}

// missesRemovals reports whether strict revocation forbids to use keys, because a newer configuration cannot
// be read.
func (h *Handler) missesRemovals(s *directory.Snapshot) bool {
	return h.maxKeyAge.Load() != 0 && s.ConfigUnreadable
}

// find sets the account of the key in a header, and reports whether there is one.
func (a *authorization) find(d Dialect, header http.Header) bool {
	key, ok := d.Credential(header)
	if ok {
		a.account, ok = a.keys.Find(key)
	}
	return ok
}

// viewIsCurrent reports whether keys may be used: with strict revocation, the view must contain every
// removal that is as old as the bound allows.
func (h *Handler) viewIsCurrent() bool {
	limit := time.Duration(h.maxKeyAge.Load())
	return limit == 0 || h.soundAge() < limit
}

// viewIsFresh reports whether the view is up to date, also by a clock that counts suspensions.
func (h *Handler) viewIsFresh() bool {
	return h.soundAge() < directory.FreshAge && h.cfg.Fresh(time.Now())
}

func (h *Handler) soundAge() time.Duration { return h.cfg.SoundAge() }

// CanCheckKeys reports whether the requests on all routes can be admitted. With strict revocation they
// cannot while the view is too old.
func (h *Handler) CanCheckKeys() bool {
	current := h.viewIsCurrent()
	s := h.cfg.Snapshot()
	return current && !h.missesRemovals(s) || s.Table == nil || !s.Table.Config.NeedsKeys()
}

// setRevocation sets the age of the view from which on keys are not used.
func (h *Handler) setRevocation(b settings.Bounds) {
	limit := time.Duration(0)
	if b.StrictRevoke {
		limit = b.Revoke - min(revokeMargin, b.Revoke/2)
	}
	h.maxKeyAge.Store(int64(limit))
}

// rejectKey returns the response to a request that is refused because of its key.
func (h *Handler) rejectKey(why KeyRefusal) *finalResponse {
	var resp *finalResponse
	switch why {
	case KeyUnknown:
		resp = reject(http.StatusUnauthorized, "the key is unknown, missing or repeated", 0)
	case KeyUnconfirmed:
		resp = reject(http.StatusServiceUnavailable, "the key is not known, but the configuration may be old", otherHostRetryAfter)
	case KeyUnreadable:
		resp = reject(http.StatusServiceUnavailable, "the key is not known, but keys of the configuration cannot be read", 0)
	case AccountUnusable:
		resp = reject(http.StatusServiceUnavailable, "the account of the key cannot be applied as it is configured", 0)
	case ConfigUnreadable:
		resp = reject(http.StatusServiceUnavailable, "the newest configuration cannot be read and may have removed the key", 0)
	default:
		resp = reject(http.StatusServiceUnavailable, "the configuration is too old to use keys", otherHostRetryAfter)
		resp.closeConnection = true
	}
	resp.keyRefusal, resp.fields = why, logrus.Fields{"view-age-ms": h.soundAge().Milliseconds(), "max-age-ms": time.Duration(h.maxKeyAge.Load()).Milliseconds()}
	return resp
}

// priority returns the priority of a request: that of its account, or else of its route.
func (req *clientRequest) priority() int {
	if req.account != nil && req.account.HasPriority {
		return req.account.Priority
	}
	return req.route.Priority
}

// accountName returns the name of the account of a request in messages between hosts; empty for none.
func (req *clientRequest) accountName() string {
	if req.account == nil {
		return ""
	}
	return packet.ShortName(req.account.Name)
}

// accountWeight returns the weight of the request's account where accounts share the targets of a
// service; zero for none.
func (req *clientRequest) accountWeight() float64 {
	if req.account == nil {
		return 0
	}
	return fairshare.Weight(req.account.PerSecond)
}
