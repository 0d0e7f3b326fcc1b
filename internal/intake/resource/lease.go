package resource

// This file defines Lease.

import "sync/atomic"

// Lease is what one request holds of the bytes of its connection. It is safe for concurrent use.
type Lease struct {
	h     *Holder
	bytes atomic.Int64
	// over is set by End. A hedged attempt may outlast its request.
	over atomic.Bool
}

// NewLease reserves bytes for a request. It returns false if the budget is short. The lease is nil if
// the holder is.
func NewLease(h *Holder, bytes int64) (*Lease, bool) {
	if h == nil {
		return nil, true
	}
	l := &Lease{h: h}
	return l, l.Grow(bytes)
}

// Grow reserves n more bytes. It returns false if the budget is short.
func (l *Lease) Grow(n int64) bool { return l.grow(n, false) }

// NewResponse returns the function that reserves bytes for a response, as Grow does. Its request has run,
// so the first smallBytes may use the part of the budget that is kept for small requests.
func (l *Lease) NewResponse() func(n int64) bool {
	reserved := int64(0)
	return func(n int64) bool {
		if !l.grow(n, reserved+n <= smallBytes) {
			return false
		}
		reserved += n
		return true
	}
}

func (l *Lease) grow(n int64, small bool) bool {
	if l == nil {
		return true
	}
	if !l.h.grow(n, small) {
		return false
	}
	l.bytes.Add(n)
	if l.over.Load() {
		l.h.Release(l.bytes.Swap(0))
		return false
	}
	return true
}

// SetPhase records what the connection does from now on. It does nothing after End.
func (l *Lease) SetPhase(p Phase) {
	if l != nil && !l.over.Load() {
		l.h.SetPhase(p)
	}
}

// Over reports whether nothing more can be reserved: the request is over, or its connection was ended.
func (l *Lease) Over() bool { return l != nil && (l.over.Load() || l.h.Ended()) }

// Ended reports whether the connection was ended because the budget was short.
func (l *Lease) Ended() bool { return l != nil && l.h.Ended() }

// End returns all bytes. The connection is idle again.
func (l *Lease) End() {
	if l != nil {
		l.over.Store(true)
		l.h.Release(l.bytes.Swap(0))
		l.h.SetPhase(Idle)
	}
}
