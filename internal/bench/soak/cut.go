package soak

// This file defines faults that separate hosts from all targets, or restart hosts in series,
// and the check of what callers of separated hosts get.

import (
	"context"
	"net/http"
	"slices"
	"syscall"
	"time"

	"tamaracktiller.example/tamaracktiller/internal/kernel/group"
	"tamaracktiller.example/tamaracktiller/internal/kernel/timer"
	"tamaracktiller.example/tamaracktiller/platform/platformtest"
)

const (
	// killSeries is the number of times that HostKillSeries kills each host, and killStagger
	// the pause between two hosts.
	killSeries  = 2
	killStagger = 150 * time.Millisecond
)

// CutSpan is a period in which hosts were separated from all targets.
type CutSpan struct {
	Hosts    []int
	From, To time.Duration
}

// cutState is the current cut of a host.
type cutState struct {
	span  *CutSpan
	state platformtest.LinkState
}

// cutHosts separates hosts from all targets for the length of the fault. Of two cuts of a host,
// the later one counts.
func (r *run) cutHosts(ctx context.Context, f Fault) {
	states := map[Kind]platformtest.LinkState{CutSilent: platformtest.LinkSilent, CutReset: platformtest.LinkReset, CutRefuse: platformtest.LinkRefuse}
	span := &CutSpan{}
	for n, h := range r.hosts {
		if selected := []bool{n == f.Index, h.domain == r.hosts[f.Index].domain, n != f.Index}; selected[f.Index%len(selected)] {
			span.Hosts = append(span.Hosts, n)
		}
	}
	r.mu.Lock()
	span.From = r.sinceStart(time.Now())
	for _, n := range span.Hosts {
		r.cuts[n] = cutState{span: span, state: states[f.Kind]}
	}
	r.mu.Unlock()
	r.applyCuts()
	timer.Sleep(ctx, f.Length)
	r.mu.Lock()
	span.To = r.sinceStart(time.Now())
	r.history.Cuts = append(r.history.Cuts, span)
	for _, n := range span.Hosts {
		if r.cuts[n].span == span {
			r.cuts[n] = cutState{state: platformtest.LinkUp}
		}
	}
	r.mu.Unlock()
	r.applyCuts()
}

// applyCuts sets the states of the links of all hosts to all targets.
func (r *run) applyCuts() {
	for _, b := range r.targets {
		_, link := b.current()
		r.applyCutsTo(link)
	}
}

func (r *run) applyCutsTo(link *platformtest.Proxy) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for n, cut := range r.cuts {
		link.SetFrom(r.hosts[n].ip, cut.state)
	}
}

// killInSeries kills and restarts all hosts one after the other, several times.
func (r *run) killInSeries(ctx context.Context) {
	g := group.New(ctx)
	for range killSeries {
		for _, h := range r.hosts {
			g.Go("kill", func(ctx context.Context) error {
				start := r.sinceStart(time.Now())
				h.terminate(syscall.SIGKILL)
				r.restart(ctx, h)
				r.recordSpan(HostKill, h.index, start)
				return nil
			})
			timer.Sleep(ctx, killStagger)
		}
	}
	_ = g.Wait()
}

// cutTally counts the requests that callers sent to hosts during a cut, and the served ones.
type cutTally struct{ served, all int }

func (t *cutTally) add(a Attempt) {
	t.all++
	if a.Status == http.StatusOK {
		t.served++
	}
}

func (t *cutTally) share() float64 { return float64(t.served) / float64(max(1, t.all)) }

// checkCuts verifies that callers of separated hosts are served nearly as often as those of the
// others. It returns the number of requests at separated hosts that count.
func (c *checker) checkCuts() (judged int) {
	for _, span := range c.h.Cuts {
		var cut, others cutTally
		for _, a := range c.h.Attempts {
			if a.Route != 0 || a.Late || a.mayBeRefused() || a.Start < span.From+c.b.CutNotice || a.Start > span.To || !c.inTouch(a) {
				continue
			}
			switch {
			case !slices.Contains(span.Hosts, a.Host) && !c.cutOff(a.Host, a.Start):
				others.add(a)
			case slices.Contains(span.Hosts, a.Host) && c.anySound(a):
				cut.add(a)
			}
		}
		judged += cut.all
		failed := float64(cut.all - cut.served)
		if others.all > 0 && cut.share() < c.b.MinCutRatio*others.share() && failed > c.b.CutSlack+c.b.CutShare*float64(cut.all+others.all) {
			c.report("service at hosts without links to targets", span.From, "", "hosts %v served %d of %d requests, the others %d of %d", span.Hosts, cut.served, cut.all, others.served, others.all)
		}
	}
	return judged
}

// inTouch reports whether the host of a request was not disturbed in the time before it.
func (c *checker) inTouch(a Attempt) bool {
	return !c.disturbed(a.Host, a.Start-c.b.CutNotice, a.End)
}

// anySound reports whether some host that could help was running and not separated from the
// targets at the time of a request. Cuts overlap, so there may be none.
func (c *checker) anySound(a Attempt) bool {
	return slices.ContainsFunc(c.h.Hosts, func(host int) bool {
		return host != a.Host && !c.cutOff(host, a.Start) && !c.cutOff(host, a.End) && !c.disturbed(host, a.Start-startupTime, a.End, HostKill, HostStop, HostPause)
	})
}

// startupTime is the time after its start in which a host may not help others yet.
const startupTime = 500 * time.Millisecond

// cutOff reports whether a host was separated from the targets at a time or shortly before.
func (c *checker) cutOff(host int, at time.Duration) bool {
	return slices.ContainsFunc(c.h.Cuts, func(s *CutSpan) bool {
		return slices.Contains(s.Hosts, host) && s.From <= at && at <= s.To+c.b.CutNotice
	})
}
