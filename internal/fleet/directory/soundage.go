package directory

// This file computes the age of the view by the time since boot, which includes the time in which a
// machine was suspended.
//
// Strict revocation of keys depends on that age: the view contains every write that the store applied
// before now minus the age. Each step takes the earliest time at which the data can have been complete,
// so that a suspension at any point (of this host, of the host that is polled, while bytes lie in a
// socket buffer) makes the view look older and never younger.

import (
	"time"

	"tamaracktiller.example/tamaracktiller/internal/platform/store"
)

// SoundAge returns the age of the view by the time since boot.
func (d *Directory) SoundAge() time.Duration {
	// The clock is read last: a suspension in between must count.
	asOf := time.Duration(d.soundAsOf.Load())
	return soundAgeOf(d.bootNow(), asOf)
}

// bootNow returns the time since baseBoot.
func (d *Directory) bootNow() time.Duration { return d.cfg.SinceBoot() - d.baseBoot }

// soundAgeOf returns the age at now of a view that is complete up to asOf; zero stands for never.
func soundAgeOf(now, asOf time.Duration) time.Duration {
	if asOf == 0 {
		return unknownAge
	}
	return max(0, now-asOf)
}

// storeSoundAsOf returns the time up to which a response of the store to a call at sent is complete.
// The store held an empty watch for the whole wait, so it responded no earlier than that after the call.
// took is the time of the call by the monotonic clock, which does not count suspensions. If it is shorter
// than the wait, this host has not seen the wait pass, and only the time of the call is certain.
func storeSoundAsOf(sent, took, wait time.Duration, page store.Page, full bool) time.Duration {
	// The store gets the wait in milliseconds.
	held := wait.Truncate(time.Millisecond)
	if full || len(page.Items) > 0 || took < held {
		return sent
	}
	return sent + held
}

// peerSoundAsOf returns the time up to which a response of another host to a poll at sent is complete;
// zero if that is not known. The other host built its response no earlier than sent and the time for
// which it held the poll.
//
// Builds without SoundAge send only ages by the monotonic clock. Such a host may be suspended while it
// holds a poll, so its hold time is not added. That it was suspended before the poll is not visible, but
// these builds don't check keys at all.
func (c *changesResponse) peerSoundAsOf(sent, now time.Duration) time.Duration {
	age, held := c.Age, time.Duration(0)
	if c.SoundAge != nil {
		age, held = *c.SoundAge, c.SoundHeld
	}
	if age >= unknownAge {
		return 0
	}
	return min(now, sent+max(0, held)-max(0, age))
}

// addSoundAge adds the age of a response to a poll that arrived at start and whose data is complete up
// to asOf. Deployments without client accounts don't need it.
func (d *Directory) addSoundAge(c *changesResponse, start, asOf time.Duration) {
	if d.Snapshot().Keys == nil {
		return
	}
	now := d.bootNow()
	age := soundAgeOf(now, asOf)
	c.SoundAge, c.SoundHeld = &age, now-start
}

// peerSoundAsOf returns the time up to which a response of another host to a poll at sent is complete;
// zero if that is not known. A host whose view has no accounts does not know its sound age: if its data is
// older than this host's, it may have been suspended since, and its response proves nothing.
func (d *Directory) peerSoundAsOf(c *changesResponse, sent time.Duration) time.Duration {
	if c.SoundAge == nil && d.Snapshot().Keys != nil && d.cache.applied().After(c.Revision) {
		return 0
	}
	return c.peerSoundAsOf(sent, d.bootNow())
}
