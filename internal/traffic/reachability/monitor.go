// Package reachability decides whether this host has lost its own links to the targets while
// other hosts still reach them.
//
// A failure at one target says nothing about the link, and a failure at all of them may have
// its cause at the targets. So a suspicion is checked: several targets are probed over new
// connections, directly and through another host at the same time. The host is cut off if
// the other host gets further at enough of them and no target responds directly. It is not
// cut off if one responds, and nothing changes if the probes through the other host fail
// too.
//
// The package does no I/O and does not read the clock. It is not safe for concurrent use.
//
// # Usage
//
//	m := reachability.NewMonitor()
//	m.RecordHeard(now) // bytes of a target arrived over a direct connection
//	if !m.HeardSince(sent) && m.StartCheck(now) {
//		changed := m.Record(now, reachability.Judge(checks, targets))
//	}
package reachability

// This file defines Monitor and Judge.

import "time"

// Progress is how far a probe of a target got.
type Progress int

// Progress of a probe.
const (
	// NotConnected: there is no connection yet, or it failed.
	NotConnected Progress = iota
	// Connected: there is a connection, but no response.
	Connected
	// Responded: the target responded.
	Responded
)

// String implements fmt.Stringer.
func (p Progress) String() string {
	return [...]string{"not connected", "connected", "responded"}[p]
}

// Check holds the progress of the two probes of one target.
type Check struct {
	Target string
	// Direct is the progress over this host's own links, ViaPeer that through another host.
	Direct, ViaPeer Progress
}

// Verdict is the conclusion from checks.
type Verdict int

// Verdicts.
const (
	// Inconclusive: no target responded either way, or too few did.
	Inconclusive Verdict = iota
	// Reached: this host reaches targets.
	Reached
	// CutOff: only other hosts reach targets.
	CutOff
)

// String implements fmt.Stringer.
func (v Verdict) String() string { return [...]string{"inconclusive", "reached", "cut off"}[v] }

// minTargets is the number of targets at which another host must get further. One alone may
// be a fault of the path between that target and this host.
const minTargets = 2

// Judge returns the verdict on checks of some of the known targets.
func Judge(checks []Check, knownTargets int) Verdict {
	further := 0
	for _, c := range checks {
		if c.Direct == Responded {
			return Reached
		}
		if c.ViaPeer > c.Direct {
			further++
		}
	}
	if further > 0 && further >= min(minTargets, knownTargets) {
		return CutOff
	}
	return Inconclusive
}

const (
	// minCheckInterval is the minimum time between the starts of two checks. It doubles up
	// to maxCheckInterval while checks are inconclusive, for example because many targets
	// are down.
	minCheckInterval = 200 * time.Millisecond
	maxCheckInterval = 800 * time.Millisecond
	// minReached is the number of checks in a row that must reach a target directly before
	// the host does not count as cut off any more.
	minReached = 2
)

// Monitor tracks whether this host is cut off from the targets.
type Monitor struct {
	heardAt   time.Time
	nextCheck time.Time
	interval  time.Duration
	cutOff    bool
	// changedAt is the time of the last change of cutOff.
	changedAt time.Time
	// reached counts the checks in a row that reached a target directly.
	reached int
	// failed holds the targets at which this host failed since a new connection last worked.
	failed map[string]bool
}

// NewMonitor returns a monitor of a host that is not cut off.
func NewMonitor() *Monitor { return &Monitor{interval: minCheckInterval, failed: map[string]bool{}} }

// RecordHeard records that bytes of a target arrived over a direct connection.
func (m *Monitor) RecordHeard(now time.Time) { m.heardAt = now }

// RecordNewConnection records that a new direct connection to a target has worked.
func (m *Monitor) RecordNewConnection() { clear(m.failed) }

// RecordFailure records a failure at a target, and reports whether it arouses suspicion: if
// this host has failed at as many targets as a verdict needs since a new connection last
// worked. A single one may be down, or refuse connections because it is busy.
func (m *Monitor) RecordFailure(target string, knownTargets int) bool {
	m.failed[target] = true
	return len(m.failed) >= min(minTargets, knownTargets)
}

// HeardAt returns the time at which bytes of a target last arrived over a direct connection;
// zero for never.
func (m *Monitor) HeardAt() time.Time { return m.heardAt }

// CutOff reports whether the host is cut off, and since when that is or is not the case.
func (m *Monitor) CutOff() (cutOff bool, since time.Time) { return m.cutOff, m.changedAt }

// StartCheck reports whether a check may start now. Checks are rate limited.
func (m *Monitor) StartCheck(now time.Time) bool {
	if m.cutOff || now.Before(m.nextCheck) {
		return false
	}
	m.nextCheck = now.Add(m.interval)
	return true
}

// Record records the verdict of a check, and reports whether the host is cut off now and was
// not before, or the reverse.
func (m *Monitor) Record(now time.Time, v Verdict) (changed bool) {
	before := m.cutOff
	switch v {
	case CutOff:
		m.cutOff, m.reached, m.interval = true, 0, minCheckInterval
	case Reached:
		m.interval = minCheckInterval
		m.reached++
		m.cutOff = m.cutOff && m.reached < minReached
	case Inconclusive:
		m.reached = 0
		m.interval = min(2*m.interval, maxCheckInterval)
	}
	if m.cutOff != before {
		m.reached, m.changedAt = 0, now
	}
	return m.cutOff != before
}
