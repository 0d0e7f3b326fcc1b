package targets

// This file defines how Links checks whether this host has lost its own links to the targets.

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"tamaracktiller.example/tamaracktiller/internal/kernel/timer"
	"tamaracktiller.example/tamaracktiller/internal/traffic/reachability"
	"tamaracktiller.example/tamaracktiller/internal/traffic/relay"
	"tamaracktiller.example/tamaracktiller/internal/traffic/tunnel"
)

const (
	// checkedTargets is the number of targets that a check probes.
	checkedTargets = 3
	// checkTimeout bounds a check. directGrace is the time that direct probes have to catch
	// up with those through another host.
	checkTimeout = 350 * time.Millisecond
	directGrace  = 100 * time.Millisecond
	// awaitTimeout bounds the time for which a retry waits for a check.
	awaitTimeout = 200 * time.Millisecond
	// pooledTargets is the number of targets that are probed over open connections before a
	// check because of a silent request, and pooledTimeout bounds the wait for them.
	pooledTargets = 2
	pooledTimeout = 50 * time.Millisecond
	// maxRounds bounds the rounds of a check.
	maxRounds = 4
	// directHeadStart is the time for which only direct probes run. A target that is well
	// responds within milliseconds, on small hosts within some tens of them.
	directHeadStart = 50 * time.Millisecond
	// recheckPeriod is the interval at which a host that is cut off probes a target directly,
	// and confirmDelay the time between two probes while targets respond.
	recheckPeriod = 400 * time.Millisecond
	confirmDelay  = 50 * time.Millisecond
)

// silentRequest is the reason of a check for a request without a response.
const silentRequest = "a request is silent"

// SuspectSilence starts a check since a request at a target has no response and no target was
// heard in the meantime.
func (l *Links) SuspectSilence(target string) { l.startCheck(target, silentRequest) }

// Suspect records a failure at a target. It starts a check whether this host is cut off if
// other targets failed as well since a new connection last worked.
func (l *Links) Suspect(target, reason string) {
	known := l.count()
	l.reachMu.Lock()
	suspicious := l.monitor.RecordFailure(target, known)
	l.reachMu.Unlock()
	if suspicious {
		l.startCheck(target, reason)
	}
}

// startCheck starts a check whether this host is cut off, unless one is running or has just
// run.
func (l *Links) startCheck(target, reason string) {
	if l.cfg.Tunnels == nil {
		return
	}
	l.reachMu.Lock()
	defer l.reachMu.Unlock()
	if l.checking != nil || !l.monitor.StartCheck(time.Now()) {
		return
	}
	done := make(chan struct{})
	l.checking = done
	l.g.Go("check reachability", func(ctx context.Context) error {
		l.check(ctx, target, reason)
		l.reachMu.Lock()
		l.checking = nil
		l.reachMu.Unlock()
		close(done)
		return nil
	})
}

// AwaitCheck waits for the end of a running check whether this host is cut off, for
// awaitTimeout at most.
func (l *Links) AwaitCheck(ctx context.Context) {
	l.reachMu.Lock()
	done := l.checking
	l.reachMu.Unlock()
	if done == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, awaitTimeout)
	defer cancel()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// sample returns the target first, if it is known, and random others, and the number of known
// targets. Targets with a limited rate come last, since health checks count against it.
func (l *Links) sample(first string, n int) (list []*Link, known int) {
	l.mu.Lock()
	for _, link := range l.links {
		list = append(list, link)
	}
	l.mu.Unlock()
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	slices.SortStableFunc(list, func(a, b *Link) int {
		return cmp.Or(compareBool(l.isLimited(a), l.isLimited(b)), compareBool(b.Target.ID == first, a.Target.ID == first))
	})
	return list[:min(n, len(list))], len(list)
}

func (l *Links) isLimited(link *Link) bool {
	return l.cfg.Limited != nil && l.cfg.Limited(link.Target.ID)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// report is the progress of one probe of a check.
type report struct {
	index    int
	viaPeer  bool
	progress reachability.Progress
	// ended is set when there will be no further progress.
	ended bool
}

// check probes some targets directly and through other hosts, and records the verdict. Hosts
// that help may have lost their own links and not know it yet, so an inconclusive round is
// repeated through others if they opened connections that stayed silent.
func (l *Links) check(ctx context.Context, first, reason string) {
	started := time.Now()
	c := &checkState{}
	v := reachability.Inconclusive
	if reason == silentRequest && l.pooledResponds(ctx, first) {
		v = reachability.Reached
	}
	for round := 0; round < maxRounds && v == reachability.Inconclusive && (round == 0 || c.peersConnected()); round++ {
		c, v = l.checkOnce(ctx, first)
	}
	if v == reachability.CutOff && c.onlySilent() && l.HeardSince(started) {
		// Busy targets respond late, and by chance first to the other hosts.
		v = reachability.Reached
	}
	l.finishCheck(started, v, c.checks, first, reason)
}

// pooledResponds reports whether a target other than the suspected one responds to a probe over
// a connection that is already open, which costs less than new connections.
func (l *Links) pooledResponds(ctx context.Context, suspected string) bool {
	ctx, cancel := context.WithTimeout(ctx, pooledTimeout)
	defer cancel()
	list, _ := l.sample(suspected, l.count())
	list = slices.DeleteFunc(list, func(link *Link) bool { return link.Target.ID == suspected || !link.Pool.HasIdle() || l.isLimited(link) })
	list = list[:min(len(list), pooledTargets)]
	responses := make(chan bool, len(list))
	for _, link := range list {
		l.g.Go("probe open connection", func(context.Context) error {
			_, err := l.probe(ctx, link.Target.ID, l.healthPath(link.Target.Service), relay.Options{Idempotent: true})
			responses <- err == nil
			return nil
		})
	}
	for range list {
		if <-responses {
			return true
		}
	}
	return false
}

// count returns the number of known targets.
func (l *Links) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.links)
}

// checkOnce runs a round of a check.
func (l *Links) checkOnce(ctx context.Context, first string) (*checkState, reachability.Verdict) {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	list, known := l.sample(first, checkedTargets)
	c := &checkState{checks: make([]reachability.Check, len(list)), directEnded: make([]bool, len(list)), reports: make(chan report, maxReports*len(list)), known: known}
	for i, link := range list {
		c.checks[i].Target = link.Target.ID
		l.startProbe(ctx, link, report{index: i}, l.connectDirectly, c.reports)
	}
	v := c.wait(ctx, directHeadStart, len(list))
	if v == reachability.Reached {
		return c, v
	}
	for i, link := range list {
		l.startProbe(ctx, link, report{index: i, viaPeer: true}, l.tunnel, c.reports)
	}
	return c, c.wait(ctx, checkTimeout, 2*len(list))
}

// maxReports is the maximum number of reports on the two probes of one target.
const maxReports = 4

// startProbe probes a target over a new connection and reports the progress.
func (l *Links) startProbe(ctx context.Context, link *Link, r report, connect func(context.Context, *Link) (net.Conn, error), reports chan<- report) {
	l.g.Go("probe reachability", func(context.Context) error {
		started := time.Now()
		conn, err := connect(ctx, link)
		if err == nil {
			r.progress = reachability.Connected
			reports <- r
			if l.responds(ctx, link, conn) {
				r.progress = reachability.Responded
			} else if t, ok := conn.(*tunnel.Conn); ok {
				t.AvoidIfSilent(started)
			}
		}
		r.ended = true
		reports <- r
		return nil
	})
}

// responds sends a health check over a connection and reports whether there is a response.
func (l *Links) responds(ctx context.Context, link *Link, conn net.Conn) bool {
	once := relay.NewPool(link.Target.Address, relay.Config{
		MaxConnections: 1, DialTimeout: dialTimeout, Dial: func(context.Context, netip.AddrPort) (net.Conn, error) { return conn, nil },
	}, l.g)
	defer once.Close()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+link.Target.Address.String()+l.healthPath(link.Target.Service), nil)
	if err != nil {
		_ = conn.Close()
		return false
	}
	req.Header.Set("User-Agent", "")
	req.Close = true
	res, err := once.RoundTrip(ctx, req, relay.Options{
		Idempotent: true, AllowCloseDelimited: true, MaySend: func() error { return l.MaySend(link.Target.ID) },
	})
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return true
}

// checkState collects the reports of a check.
type checkState struct {
	checks []reachability.Check
	// directEnded tells for each target whether its direct probe has ended.
	directEnded []bool
	reports     chan report
	known       int
	// ended counts the probes that have ended.
	ended int
	// inGrace is set once the probes through other hosts have got far enough.
	inGrace bool
}

// startGrace lets the round end after directGrace, the first time that it is called.
func (c *checkState) startGrace(timer *time.Timer) {
	if !c.inGrace {
		c.inGrace = true
		timer.Reset(directGrace)
	}
}

func (c *checkState) add(r report) {
	check := &c.checks[r.index]
	if r.viaPeer {
		check.ViaPeer = max(check.ViaPeer, r.progress)
	} else {
		check.Direct = max(check.Direct, r.progress)
		c.directEnded[r.index] = r.ended
	}
	if r.ended {
		c.ended++
	}
}

// peersConnected reports whether a probe through another host got a connection.
func (c *checkState) peersConnected() bool {
	return slices.ContainsFunc(c.checks, func(check reachability.Check) bool { return check.ViaPeer >= reachability.Connected })
}

// allPeersConnected reports whether each probe through another host got a connection.
func (c *checkState) allPeersConnected() bool {
	return !slices.ContainsFunc(c.checks, func(check reachability.Check) bool { return check.ViaPeer < reachability.Connected })
}

// onlySilent reports whether all direct probes that are behind have a connection that has not
// broken: the targets may respond yet.
func (c *checkState) onlySilent() bool {
	for i, check := range c.checks {
		if check.ViaPeer > check.Direct && (check.Direct < reachability.Connected || c.directEnded[i]) {
			return false
		}
	}
	return true
}

// directPending reports whether a direct probe may still catch up.
func (c *checkState) directPending() bool {
	for i, check := range c.checks {
		if check.ViaPeer > check.Direct && !c.directEnded[i] {
			return true
		}
	}
	return false
}

// wait returns the verdict as soon as the reports allow, when a number of probes have ended, or
// after a time.
func (c *checkState) wait(ctx context.Context, timeout time.Duration, probes int) reachability.Verdict {
	grace := time.NewTimer(timeout)
	defer grace.Stop()
	for c.ended < probes {
		select {
		case r := <-c.reports:
			c.add(r)
		case <-grace.C:
			return reachability.Judge(c.checks, c.known)
		case <-ctx.Done():
			return reachability.Judge(c.checks, c.known)
		}
		switch reachability.Judge(c.checks, c.known) {
		case reachability.Reached:
			return reachability.Reached
		case reachability.CutOff:
			if !c.directPending() {
				return reachability.CutOff
			}
			c.startGrace(grace)
		case reachability.Inconclusive:
			if c.allPeersConnected() {
				c.startGrace(grace)
			}
		}
	}
	return reachability.Judge(c.checks, c.known)
}

// finishCheck records and logs the verdict of a check.
func (l *Links) finishCheck(started time.Time, v reachability.Verdict, checks []reachability.Check, target, reason string) {
	now := time.Now()
	l.reachMu.Lock()
	heardAge := now.Sub(l.monitor.HeardAt())
	changed := l.monitor.Record(now, v)
	if changed {
		l.notifyChange()
	}
	l.reachMu.Unlock()
	line := l.cfg.Log.WithFields(logrus.Fields{
		"verdict": v.String(), "target": target, "reason": reason, "ms": now.Sub(started).Milliseconds(), "heard-age-ms": heardAge.Milliseconds(), "checks": describe(checks),
	})
	if !changed {
		line.Info("links to targets were checked")
		return
	}
	line.Warn("host reaches no target by itself; its requests go through other hosts")
	l.dropIdle()
	l.g.Go("recheck reachability", func(ctx context.Context) error {
		l.recheck(ctx)
		return nil
	})
}

// notifyChange tells those who wait that the verdict has changed. The caller holds reachMu.
func (l *Links) notifyChange() {
	close(l.changed)
	l.changed = make(chan struct{})
	if l.cfg.OnChange != nil {
		l.g.Go("reachability changed", func(context.Context) error {
			l.cfg.OnChange()
			return nil
		})
	}
}

func describe(checks []reachability.Check) []string {
	out := make([]string, 0, len(checks))
	for _, c := range checks {
		out = append(out, c.Target+": "+c.Direct.String()+", through another host "+c.ViaPeer.String())
	}
	return out
}

// recheck probes targets directly until this host reaches them again.
func (l *Links) recheck(ctx context.Context) {
	_, since := l.cutOffSince()
	pause := recheckPeriod
	for ctx.Err() == nil {
		timer.Sleep(ctx, pause)
		v := reachability.Inconclusive
		pause = recheckPeriod
		if list, _ := l.sample("", 1); len(list) > 0 && l.respondsDirectly(ctx, list[0]) {
			v, pause = reachability.Reached, confirmDelay
		}
		l.reachMu.Lock()
		changed := l.monitor.Record(time.Now(), v)
		if changed {
			l.notifyChange()
		}
		l.reachMu.Unlock()
		if changed {
			l.cfg.Log.WithField("ms", time.Since(since).Milliseconds()).Warn("host reaches targets by itself again")
			return
		}
	}
}

func (l *Links) cutOffSince() (cutOff bool, since time.Time) {
	l.reachMu.Lock()
	defer l.reachMu.Unlock()
	return l.monitor.CutOff()
}

func (l *Links) respondsDirectly(ctx context.Context, link *Link) bool {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	conn, err := l.connectDirectly(ctx, link)
	return err == nil && l.responds(ctx, link, conn)
}

// dropIdle closes the idle direct connections, which may be silent.
func (l *Links) dropIdle() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, link := range l.links {
		link.Pool.DropIdle()
	}
}

// healthPath returns the health check path of a service.
func (l *Links) healthPath(service string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.healthPaths[service]
}
