package controller

// This file implements the sending and handling of heartbeats.

import (
	"time"

	"tamaracktiller.example/tamaracktiller/internal/fleet/member"
	"tamaracktiller.example/tamaracktiller/internal/fleet/message"
)

// linkState is the state of the link to one peer.
type linkState struct {
	// ackedAlive and ackedDrains are the digests of the alive list and of the drain marks
	// of this host that the peer has acknowledged.
	ackedAlive  uint64
	ackedDrains uint64
	// mergedDrains is the digest of the last list of drain marks received from the peer.
	mergedDrains uint64
	// ackedFrom is set when the peer has acknowledged the description of this host.
	ackedFrom bool
	// host describes the peer. It is empty until the peer's first heartbeat.
	host   member.Host
	period time.Duration
	domain string
	// lastHeartbeat is the time of the last heartbeat on the link, initially the time at
	// which the link was opened.
	lastHeartbeat time.Time
}

// sendHeartbeats sends a heartbeat on every link.
func (s *state) sendHeartbeats(now time.Time, a *actions) {
	s.lastHeartbeatSent = now
	base := s.heartbeat(now)
	for host, l := range s.links {
		s.send(host, l, base, a)
	}
}

func (s *state) sendHeartbeat(now time.Time, host string, a *actions) {
	s.send(host, s.links[host], s.heartbeat(now), a)
}

// heartbeat returns a heartbeat with all optional parts; send removes those that the peer
// has acknowledged.
func (s *state) heartbeat(now time.Time) member.Heartbeat {
	hb := s.table.Heartbeat(now, len(s.links), s.holder.Head().Revision)
	hb.DrainMarks, hb.DrainMarksDigest = s.marks.all()
	return hb
}

// send queues a heartbeat for a link, without the parts that the peer has acknowledged.
// The alive list is sent only to other failure domains.
func (s *state) send(host string, l *linkState, hb member.Heartbeat, a *actions) {
	if l.domain == s.table.Self().Domain {
		hb.Alive, hb.AliveDigest = nil, 0
	} else {
		hb.AliveAck = s.table.AliveAck(host)
	}
	if l.ackedAlive == hb.AliveDigest {
		hb.Alive = nil
	}
	if l.ackedFrom && !s.draining {
		hb.From = nil
	}
	hb.FromAck = l.host.Name != ""
	if l.ackedDrains == hb.DrainMarksDigest {
		hb.DrainMarks = nil
	}
	hb.DrainMarksAck = l.mergedDrains
	a.send = append(a.send, outgoing{to: host, e: &message.Envelope{Heartbeat: &hb}})
}

func (s *state) handleHeartbeat(now time.Time, from string, hb member.Heartbeat, a *actions) {
	l := s.links[from]
	if l == nil {
		return
	}
	if hb.From != nil {
		if hb.From.Name != from {
			a.log("heartbeat names a different host; closing the link", map[string]any{"link": from, fieldHost: hb.From.Name})
			a.close = append(a.close, from)
			return
		}
		l.host, l.domain = *hb.From, hb.From.Domain
	}
	if l.host.Name == "" {
		return
	}
	l.recordHeartbeat(now, hb)
	isNew := s.table.RecordHeartbeat(now, l.host, hb)
	a.viewStale = isNew || hb.Alive != nil
	if isNew {
		a.log("host is alive", map[string]any{fieldHost: from, "domain": l.domain, "incarnation": l.host.Incarnation})
	}
	for _, d := range hb.DrainMarks {
		if s.marks.merge(now, d) {
			a.changed = true
		}
	}
	s.pullIfBehind(now, a)
}

// recordHeartbeat records the time, the period and the acknowledgements of a heartbeat.
func (l *linkState) recordHeartbeat(now time.Time, hb member.Heartbeat) {
	l.lastHeartbeat = now
	l.period = max(l.period, time.Duration(hb.PeriodMillis)*time.Millisecond)
	l.ackedAlive, l.ackedDrains, l.ackedFrom = hb.AliveAck, hb.DrainMarksAck, hb.FromAck
	if hb.DrainMarks != nil {
		l.mergedDrains = hb.DrainMarksDigest
	}
}

// minPullInterval is the minimum time between two pull requests.
const minPullInterval = 200 * time.Millisecond

// pullIfBehind requests a configuration update from a linked peer that has a newer
// revision.
func (s *state) pullIfBehind(now time.Time, a *actions) {
	if now.Sub(s.lastPull) < minPullInterval {
		return
	}
	host, ok := s.table.NewestPeer(now, s.holder.Head().Revision)
	if !ok || s.links[host.Name] == nil {
		return
	}
	s.lastPull = now
	pull := &message.Pull{Revision: s.holder.Head().Revision}
	a.send = append(a.send, outgoing{to: host.Name, e: &message.Envelope{Pull: pull}})
}
