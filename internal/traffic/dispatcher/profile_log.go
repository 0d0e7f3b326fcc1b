package dispatcher

// This file defines the log of the learned profiles of targets.

import (
	"time"

	"github.com/sirupsen/logrus"
)

// profileLogPeriod is the minimum time between two checks for changed profiles, so that a
// profile that oscillates does not flood the log.
const profileLogPeriod = time.Second

// profileSummary is the part of a service's profile that decides assignments.
type profileSummary struct {
	reportsLoad     bool
	bestConcurrency int
}

// logProfiles logs a line for each service whose profile summary has changed. The caller
// holds the mutex.
func (d *Dispatcher) logProfiles(now time.Time) {
	if now.Sub(d.profilesChecked) < profileLogPeriod {
		return
	}
	d.profilesChecked = now
	for service, cells := range d.services {
		c := cells[0]
		if c.targets == 0 {
			continue
		}
		p, slots := d.chooser.Profile(service), c.slots/c.targets
		summary := profileSummary{reportsLoad: p.ReportsLoad(), bestConcurrency: p.BestConcurrency(slots)}
		if d.loggedProfiles[service] == summary {
			continue
		}
		d.loggedProfiles[service] = summary
		d.cfg.Log.WithFields(logrus.Fields{
			"service": service, "slots": slots, "tells-load": summary.reportsLoad, "comfortable": summary.bestConcurrency, "slowdown-full": p.Slowdown(slots, slots),
			"slowness-mean": p.MeanSlowness(), "report-memory-ms": p.DecayTime().Milliseconds(), "slowdown-cold": p.ColdSlowdown(),
		}).Info("targets are taken to be like this")
	}
}
