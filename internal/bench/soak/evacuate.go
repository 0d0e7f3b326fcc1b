package soak

// This file defines evacuations of failure domains and the check that their targets get no requests.

import (
	"context"
	"fmt"
	"time"

	"tamaracktiller.example/tamaracktiller/internal/kernel/timer"
	"tamaracktiller.example/tamaracktiller/platform/platformtest"
)

const (
	domainCount = 2
	// evacuationLength is the length of Evacuate. It exceeds Bounds.Evacuate, so that there is a time in
	// which the evacuation must hold.
	evacuationLength = 9 * time.Second
)

// EvacuationSpan is a period in which a failure domain was evacuated, from the acknowledgement on.
type EvacuationSpan struct {
	Domain   string
	From, To time.Duration
}

// domainName returns the failure domain of the host or target with an index.
func domainName(n int) string { return fmt.Sprintf("d-%d", n%domainCount) }

// evacuate evacuates a failure domain, unless one is evacuated already: without both, no request
// could be served.
func (r *run) evacuate(ctx context.Context, f Fault) {
	if !r.evacuating.CompareAndSwap(false, true) {
		return
	}
	defer r.evacuating.Store(false)
	span := EvacuationSpan{Domain: domainName(f.Index)}
	r.store.Put(platformtest.EvacuationPrefix+span.Domain, []byte("{}"))
	span.From = r.sinceStart(time.Now())
	timer.Sleep(ctx, f.Length)
	span.To = r.sinceStart(time.Now())
	r.store.Delete(platformtest.EvacuationPrefix + span.Domain)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Evacuations = append(r.history.Evacuations, span)
}

// checkEvacuations verifies that targets of an evacuated domain get no requests that were sent
// later than Bounds.Evacuate after the acknowledgement, from hosts that nothing disturbed in that
// time. It returns the number of requests that were judged.
func (c *checker) checkEvacuations() (judged int) {
	for _, span := range c.h.Evacuations {
		for _, a := range c.h.Attempts {
			if a.Start < span.From+c.b.Evacuate || a.End > span.To || c.disturbed(a.Host, a.Start-c.b.Evacuate, a.End) {
				continue
			}
			judged++
			for _, e := range c.events[a.ID] {
				if c.h.Domains[e.Target] == span.Domain && !c.disturbed(e.From, a.Start-c.b.Evacuate, e.At) {
					c.report("no requests to an evacuated domain", e.At, a.ID, "%s in %s got a request of host %d, evacuated since %s", e.Target, span.Domain, e.From, span.From)
				}
			}
		}
	}
	return judged
}
