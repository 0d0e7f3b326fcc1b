package controller

// This file defines the heartbeats that a host sends and takes in.

import (
	"time"

	"tamaracktiller.example/tamaracktiller/internal/fleet/member"
	"tamaracktiller.example/tamaracktiller/internal/fleet/message"
)

// linkState is what the host keeps of one link.
type linkState struct {
	// holdsHears and holdsMarks are the digests of what the peer holds of this
	// host: the list of mates and the drain marks.
	holdsHears uint64
	holdsMarks uint64
	// marksTaken is the digest of the peer's drain marks that were taken in.
	marksTaken uint64
	// holdsFrom says that the peer holds the description of this host.
	holdsFrom bool
	// host is the peer's description, once it came.
	host   member.Host
	period time.Duration
	domain string
	// heard is the time of the last heartbeat on the link, or of its opening.
	heard time.Time
}

func (s *state) heartbeatAll(now time.Time, a *actions) {
	s.beaten = now
	base := s.heartbeat(now)
	for host, l := range s.links {
		s.send(host, l, base, a)
	}
}

func (s *state) heartbeatTo(now time.Time, host string, a *actions) {
	s.send(host, s.links[host], s.heartbeat(now), a)
}

// heartbeat returns the heartbeat with everything that a peer may lack.
func (s *state) heartbeat(now time.Time) member.Heartbeat {
	hb := s.table.Heartbeat(now, len(s.links), s.holder.Head().Revision)
	hb.Draining, hb.DrainingSum = s.marks.all()
	return hb
}

// send sends a heartbeat on a link, without what the peer holds already. The
// list of mates goes only to other domains.
func (s *state) send(host string, l *linkState, hb member.Heartbeat, a *actions) {
	if l.domain == s.table.Self().Domain {
		hb.Hears, hb.HearsSum = nil, 0
	} else {
		hb.HearsHeld = s.table.HearsHeld(host)
	}
	if l.holdsHears == hb.HearsSum {
		hb.Hears = nil
	}
	if l.holdsFrom && !s.leaving {
		hb.From = nil
	}
	hb.FromHeld = l.host.Name != ""
	if l.holdsMarks == hb.DrainingSum {
		hb.Draining = nil
	}
	hb.DrainingHeld = l.marksTaken
	a.send = append(a.send, outgoing{to: host, e: &message.Envelope{Heartbeat: &hb}})
}

func (s *state) takeHeartbeat(now time.Time, from string, hb member.Heartbeat, a *actions) {
	l := s.links[from]
	if l == nil {
		return
	}
	if hb.From != nil {
		if hb.From.Name != from {
			a.log("heartbeat names another host", map[string]any{"link": from, fieldHost: hb.From.Name})
			a.close = append(a.close, from)
			return
		}
		l.host, l.domain = *hb.From, hb.From.Domain
	}
	if l.host.Name == "" {
		return
	}
	l.take(now, hb)
	isNew := s.table.Heard(now, l.host, hb)
	a.viewStale = isNew || hb.Hears != nil
	if isNew {
		a.log("host is heard", map[string]any{fieldHost: from, "domain": l.domain, "incarnation": l.host.Incarnation})
	}
	for _, d := range hb.Draining {
		if s.marks.merge(now, d) {
			a.changed = true
		}
	}
	s.pullIfBehind(now, a)
}

// take notes what the peer holds.
func (l *linkState) take(now time.Time, hb member.Heartbeat) {
	l.heard = now
	l.period = max(l.period, time.Duration(hb.PeriodMillis)*time.Millisecond)
	l.holdsHears, l.holdsMarks, l.holdsFrom = hb.HearsHeld, hb.DrainingHeld, hb.FromHeld
	if hb.Draining != nil {
		l.marksTaken = hb.DrainingSum
	}
}

// pullPeriod is the least time between two pulls.
const pullPeriod = 200 * time.Millisecond

func (s *state) pullIfBehind(now time.Time, a *actions) {
	if now.Sub(s.pulled) < pullPeriod {
		return
	}
	host, ok := s.table.Behind(now, s.holder.Head().Revision)
	if !ok || s.links[host.Name] == nil {
		return
	}
	s.pulled = now
	pull := &message.Pull{Revision: s.holder.Head().Revision}
	a.send = append(a.send, outgoing{to: host.Name, e: &message.Envelope{Pull: pull}})
}
