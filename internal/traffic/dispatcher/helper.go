package dispatcher

// This file defines how requests of a host that all targets of a cell have turned away for some
// time are sent through other hosts. A pause is between one host and one target, so a target may
// still take requests that arrive from another host.

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"tamaracktiller.example/tamaracktiller/internal/traffic/notice"
)

const (
	// helperHeardTime is the time without messages after which a host is not used as a helper.
	helperHeardTime = 2 * time.Second
	// helperRetryTime is the time for which a host that did not connect to a target, for instance
	// because it shuts down, is not used as a helper for it.
	helperRetryTime = time.Second
)

// recordHostPauses records the pauses of another host.
func (d *Dispatcher) recordHostPauses(now time.Time, host string, list []Pause) {
	if host == "" {
		return
	}
	for _, p := range list {
		if !d.chooser.Has(p.Target) {
			continue
		}
		hosts := d.hostPauses[p.Target]
		if hosts == nil {
			hosts = map[string]time.Time{}
			d.hostPauses[p.Target] = hosts
		}
		if until := now.Add(min(p.Left, notice.MaxPause)); until.After(hosts[host]) {
			hosts[host] = until
		}
	}
}

// expireHostPauses drops the pauses of other hosts that have ended, and those of targets that do
// not exist any more.
func (d *Dispatcher) expireHostPauses(now time.Time) {
	for target, hosts := range d.hostPauses {
		for host, until := range hosts {
			if !now.Before(until) {
				delete(hosts, host)
			}
		}
		if len(hosts) == 0 || !d.chooser.Has(target) {
			delete(d.hostPauses, target)
		}
	}
}

// hostName returns the name of the host with an address, or "" if it is not known.
func (d *Dispatcher) hostName(address netip.AddrPort) string {
	for name, h := range d.snapshot.Hosts {
		if h.PeerAddress == address {
			return name
		}
	}
	return ""
}

// helper returns a host through which a target takes requests of another host, or "" if none is
// known. This host comes first, since it knows its own pauses. The caller holds the mutex.
func (d *Dispatcher) helper(now time.Time, target, sender string) string {
	_, paused := d.chooser.PausedUntil(now, target)
	if !paused && sender != d.cfg.Self && !d.turnsAway() && !now.Before(d.hostPauses[target][d.cfg.Self]) {
		return d.cfg.Self
	}
	var names []string
	for name, h := range d.snapshot.Hosts {
		if name == sender || name == d.cfg.Self || now.Sub(d.lastReceived[h.PeerAddress]) > helperHeardTime || now.Before(d.hostPauses[target][name]) {
			continue
		}
		names = append(names, name)
	}
	if len(names) == 0 {
		return ""
	}
	return names[rand.IntN(len(names))]
}

// sendThroughHelpers lets a request of a host that all targets of a cell have turned away use
// those to which another host can send it, and reports whether there is one. The caller holds the
// mutex.
func (d *Dispatcher) sendThroughHelpers(now time.Time, w *waiter) bool {
	paused := map[string]time.Time{}
	for target, until := range w.request.Paused {
		if d.helper(now, target, w.from) == "" {
			paused[target] = until
		}
	}
	if len(paused) == len(w.request.Paused) {
		return false
	}
	w.request.Paused, w.through = paused, true
	d.cfg.Log.WithFields(logrus.Fields{fieldRequest: w.request.ID, "from": w.from, "targets": len(paused)}).Debug("request is sent through another host")
	return true
}

// observeHelpedPause tells the host through which a request was sent that the target turned it
// away. Its pause holds for that host.
func (d *Dispatcher) observeHelpedPause(n notice.Notice) {
	now := time.Now()
	d.mu.Lock()
	host, ok := d.snapshot.Hosts[n.Through]
	d.recordHostPauses(now, n.Through, []Pause{{Target: n.Target, Left: n.Pause}})
	d.mu.Unlock()
	if ok {
		d.send(host.PeerAddress, Message{Kind: kindPauses, Pauses: []Pause{{Target: n.Target, Left: n.Pause}}})
	}
}

// observeOwnPauses records pauses of this host that another one learned of by requests that it
// sent through this one.
func (d *Dispatcher) observeOwnPauses(list []Pause) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	for _, p := range list {
		if i, ok := d.chooser.Incarnation(p.Target); ok {
			d.recordPause(now, i, p.Left, "host")
		}
	}
}
