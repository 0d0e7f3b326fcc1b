package soak

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamaracktiller.example/tamaracktiller/platform/platformtest"
)

const ms = time.Millisecond

// validHistory returns a history without violations: a safe request is served each second,
// and the configuration changes once.
func validHistory() *History {
	h := &History{Hosts: []int{0, 1}, Length: 20 * time.Second, DrainStarts: map[string]time.Duration{}, Stops: map[process]time.Duration{}, Versions: []Version{{Number: 1, Written: -time.Second}, {Number: 2, Written: 8 * time.Second}}}
	for n := range 20 {
		start := time.Duration(n) * time.Second
		id := fmt.Sprintf("r-%d", n)
		h.Attempts = append(h.Attempts, Attempt{ID: id, Incarnation: 1, Start: start, End: start + 20*ms, Status: 200, Signed: true, Body: "t for " + id + " ran 0 bytes"})
		h.TargetEvents = append(h.TargetEvents, TargetEvent{Target: "t", Kind: platformtest.Started, At: start + 10*ms, ID: id})
	}
	return h
}

// unsafeAttempt returns an unsafe request that starts at second 5.
func unsafeAttempt(status int, modify func(a *Attempt)) Attempt {
	a := Attempt{ID: "x", Incarnation: 1, Unsafe: true, Start: 5 * time.Second, End: 5*time.Second + 50*ms, Status: status}
	if modify != nil {
		modify(&a)
	}
	return a
}

// started returns the event that a target started the request of unsafeAttempt.
func started(target string, at time.Duration) TargetEvent {
	return TargetEvent{Target: target, Kind: platformtest.Started, At: at, ID: "x"}
}

// addAttempts adds requests that start at target t shortly after second 10.
func addAttempts(h *History, n int) {
	const at = 10 * time.Second
	for i := range n {
		id := fmt.Sprintf("more-%d", i)
		h.Attempts = append(h.Attempts, Attempt{ID: id, Incarnation: 1, Start: at, End: at + 20*ms, Status: 200, Signed: true, Body: "t for " + id + " ran 0 bytes"})
		h.TargetEvents = append(h.TargetEvents, TargetEvent{Target: "t", Kind: platformtest.Started, At: at + time.Duration(i)*ms, ID: id})
	}
}

// cutHost adds a cut of host 1 from second 4 to 14 with requests at second 10.
func cutHost(h *History, failed, served int) {
	h.Cuts = append(h.Cuts, &CutSpan{Hosts: []int{1}, From: 4 * time.Second, To: 14 * time.Second})
	for n := range failed + served {
		a := Attempt{ID: fmt.Sprintf("cut-%d", n), Host: 1, Incarnation: 1, Start: 10 * time.Second, End: 10*time.Second + 20*ms, Status: 503}
		if n < served {
			a.Status, a.Signed, a.Body = 200, true, "t for "+a.ID+" ran 0 bytes"
		}
		h.Attempts = append(h.Attempts, a)
	}
}

// stoppedRequest adds a request that ran on target t, and a SIGTERM to its host before it.
func stoppedRequest(h *History, sent, took time.Duration, status int, modify func(a *Attempt)) {
	a := unsafeAttempt(status, func(a *Attempt) { a.End, a.Timeout, a.Late = a.Start+took, longTimeout, true })
	if modify != nil {
		modify(&a)
	}
	h.Attempts = append(h.Attempts, a)
	h.TargetEvents = append(h.TargetEvents, started("t", a.Start+10*ms))
	h.Stops[process{0, 1}] = a.Start - sent
	h.Disturbances = append(h.Disturbances, Span{Kind: HostStop, From: a.Start - sent, To: a.Start + 3*time.Second})
}

// limitedRequests adds requests of an account with a quota of 0.5 a second, of which 25 may run in 5 s.
func limitedRequests(h *History, n, hosts int) {
	h.Quota = Quota{PerSecond: 0.5, Burst: 2.1}
	addAttempts(h, n)
	for i := range n {
		h.Attempts[20+i].Limited, h.Attempts[20+i].Host = true, i%hosts
	}
}

// evacuate adds an evacuation of the domain of target t, from second 4.5 to 13.
func evacuate(h *History) {
	h.Domains = map[string]string{"t": "d-0"}
	h.Evacuations = []EvacuationSpan{{Domain: "d-0", From: 4500 * ms, To: 13 * time.Second}}
}

// addKeyed adds keys, of which key-0 is removed at second 8, and requests with a key. Those with status
// 504 run on target t, which sees header.
func addKeyed(h *History, key string, at time.Duration, status, n int, header platformtest.AccountHeaders, modify func(a *Attempt)) {
	h.Headers = map[string][]platformtest.AccountHeaders{}
	h.Keys = []*KeySpan{{Key: "key-0", Account: "a", Added: -time.Second, Removed: 8 * time.Second}, {Key: "key-1", Account: "a", Added: -time.Second}, {Key: "key-2", Account: "b", Added: 10 * time.Second}}
	for i := range n {
		a := Attempt{ID: fmt.Sprintf("key-%d", i), Host: 1, Incarnation: 1, Start: at, End: at + 20*ms, Status: status, Key: key}
		if modify != nil {
			modify(&a)
		}
		h.Attempts = append(h.Attempts, a)
		if status == 504 {
			h.TargetEvents = append(h.TargetEvents, TargetEvent{Target: "t", Kind: platformtest.Started, At: at + 10*ms, ID: a.ID})
			h.Headers[a.ID] = []platformtest.AccountHeaders{header}
		}
	}
}

func TestCheck(t *testing.T) {
	const (
		removedKey = "no use of removed keys"
		knownKey   = "known keys are not refused"
		atTarget   = "account at the target"
		oldView    = "no refusals by hosts with an old view"
	)
	ofA, none := platformtest.AccountHeaders{Tenant: []string{"a"}}, platformtest.AccountHeaders{}
	public := func(a *Attempt) { a.Route = 2 }
	storeDown := func(h *History) {
		h.Disturbances = append(h.Disturbances, Span{Kind: StoreDown, Host: allHosts, From: 11 * time.Second, To: 15 * time.Second})
	}
	storeRestored := func(h *History) {
		h.Disturbances = append(h.Disturbances, Span{Kind: StoreRestore, Host: allHosts, From: 10500 * ms, To: 11 * time.Second})
	}

	const stopped = "response of the target around a planned stop"
	probe := func(at time.Duration, status, route int) Attempt {
		return unsafeAttempt(status, func(a *Attempt) {
			a.Unsafe, a.Route, a.Start, a.End, a.Signed, a.Body = false, route, at, at+ms, true, "t for x ran 0 bytes"
		})
	}
	tests := []struct {
		name   string
		modify func(h *History)
		// want is the violated guarantee; empty if none.
		want string
	}{
		{name: "no violation"},
		{name: "response to another request", modify: func(h *History) { h.Attempts[3].Body = h.Attempts[4].Body }, want: "complete response to the request"},
		{name: "truncated response", modify: func(h *History) { h.Attempts[3].Body = "t for r-3" }, want: "complete response to the request"},
		{name: "unsigned response", modify: func(h *History) { h.Attempts[3].Signed = false }, want: "complete response to the request"},
		{name: "unsafe request runs twice", modify: func(h *History) {
			h.Attempts = append(h.Attempts, unsafeAttempt(502, nil))
			h.TargetEvents = append(h.TargetEvents, started("t", 5010*ms), started("u", 5020*ms))
		}, want: "at most once"},
		{name: "request runs after status 503", modify: func(h *History) {
			h.Attempts = append(h.Attempts, unsafeAttempt(503, nil))
			h.TargetEvents = append(h.TargetEvents, started("t", 6*time.Second))
		}, want: "no run after a not-run status"},
		{name: "hosts without links to targets fail", modify: func(h *History) { cutHost(h, 12, 0) }, want: "service at hosts without links to targets"},
		{name: "hosts without links to targets serve half", modify: func(h *History) { cutHost(h, 12, 12) }, want: "service at hosts without links to targets"},
		{name: "hosts without links to targets serve most", modify: func(h *History) { cutHost(h, 6, 18) }},
		{name: "hosts without links to targets get few requests", modify: func(h *History) { cutHost(h, 9, 0) }},
		{name: "hosts without links to targets while no host has links", modify: func(h *History) {
			cutHost(h, 12, 0)
			h.Cuts = append(h.Cuts, &CutSpan{Hosts: []int{0}, From: 9 * time.Second, To: 11 * time.Second})
		}},
		{name: "hosts without links to targets while the store is down", modify: func(h *History) {
			cutHost(h, 12, 0)
			h.Disturbances = append(h.Disturbances, Span{Kind: StoreDown, Host: allHosts, From: 8 * time.Second, To: 9 * time.Second})
		}},
		{name: "request runs after status 504", modify: func(h *History) {
			h.Attempts = append(h.Attempts, unsafeAttempt(504, nil))
			h.TargetEvents = append(h.TargetEvents, started("t", 6*time.Second))
		}},
		{name: "connection closed while the request runs", modify: func(h *History) {
			h.Attempts = append(h.Attempts, unsafeAttempt(0, func(a *Attempt) { a.Error = "EOF" }))
			h.TargetEvents = append(h.TargetEvents, started("t", 5010*ms))
			h.Disturbances = append(h.Disturbances, Span{Kind: HostStop, From: 5 * time.Second, To: 6 * time.Second})
		}, want: "response to every started request"},
		{name: "connection closed because the host is killed", modify: func(h *History) {
			h.Attempts = append(h.Attempts, unsafeAttempt(0, func(a *Attempt) { a.Error = "EOF" }))
			h.TargetEvents = append(h.TargetEvents, started("t", 5010*ms))
			h.Disturbances = append(h.Disturbances, Span{Kind: HostKill, From: 5 * time.Second, To: 6 * time.Second})
		}},
		{name: "connection closed before the request runs", modify: func(h *History) {
			h.Attempts = append(h.Attempts, unsafeAttempt(0, func(a *Attempt) { a.Error, a.End = "EOF", a.Start+300*ms }))
			h.Disturbances = append(h.Disturbances, Span{Kind: HostStop, From: 5 * time.Second, To: 6 * time.Second})
		}, want: "response to every accepted request"},
		{name: "connection closed as the request arrives", modify: func(h *History) {
			h.Attempts = append(h.Attempts, unsafeAttempt(0, func(a *Attempt) { a.Error = "EOF" }))
			h.Disturbances = append(h.Disturbances, Span{Kind: HostStop, From: 5 * time.Second, To: 6 * time.Second})
		}},
		{name: "response after the timeout", modify: func(h *History) {
			h.Attempts = append(h.Attempts, unsafeAttempt(504, func(a *Attempt) { a.End = a.Start + 2100*ms }))
		}, want: "response within the timeout"},
		{name: "response after the timeout from a paused host", modify: func(h *History) {
			h.Attempts = append(h.Attempts, unsafeAttempt(504, func(a *Attempt) { a.End = a.Start + 2100*ms }))
			h.Disturbances = append(h.Disturbances, Span{Kind: HostPause, From: 5500 * ms, To: 7 * time.Second})
		}},
		{name: "new route is missing after the apply time", modify: func(h *History) { h.Attempts = append(h.Attempts, probe(10600*ms, 404, 2)) }, want: "active configuration"},
		{name: "new route is missing within the apply time", modify: func(h *History) { h.Attempts = append(h.Attempts, probe(10400*ms, 404, 2)) }},
		{name: "new route is missing on a host disconnected from the store", modify: func(h *History) {
			h.Attempts = append(h.Attempts, probe(10600*ms, 404, 2))
			h.Disturbances = append(h.Disturbances, Span{Kind: HostStoreSilent, From: 7 * time.Second, To: 9 * time.Second})
		}},
		{name: "new route is missing while watches hear nothing", modify: func(h *History) {
			h.Attempts = append(h.Attempts, probe(15400*ms, 404, 2))
			h.Disturbances = append(h.Disturbances, Span{Kind: StoreSuppressEvents, Host: allHosts, From: 12500 * ms, To: 13 * time.Second})
		}},
		{name: "new route is missing for too long while watches hear nothing", modify: func(h *History) {
			h.Attempts = append(h.Attempts, probe(15600*ms, 404, 2))
			h.Disturbances = append(h.Disturbances, Span{Kind: StoreSuppressEvents, Host: allHosts, From: 13 * time.Second, To: 15 * time.Second})
		}, want: "active configuration"},
		{name: "new route is missing after watches heard nothing", modify: func(h *History) {
			h.Attempts = append(h.Attempts, probe(10600*ms, 404, 2))
			h.Disturbances = append(h.Disturbances, Span{Kind: StoreSuppressEvents, Host: allHosts, From: 6 * time.Second, To: 8 * time.Second})
		}, want: "active configuration"},
		{name: "route that was never configured", modify: func(h *History) { h.Attempts = append(h.Attempts, probe(12*time.Second, 200, 3)) }, want: "active configuration"},
		{name: "host goes back to an older version", modify: func(h *History) {
			h.Attempts = append(h.Attempts, probe(8100*ms, 200, 2), probe(8500*ms, 404, 2))
		}, want: "active configuration"},
		{name: "restarted process uses an older version", modify: func(h *History) {
			h.Attempts = append(h.Attempts, probe(8100*ms, 200, 2), probe(8500*ms, 404, 2))
			h.Attempts[len(h.Attempts)-1].Incarnation = 2
		}},
		{name: "request sent to a draining target", modify: func(h *History) { h.DrainStarts["t"] = time.Second }, want: "no new requests to draining targets"},
		{name: "extra attempts within the budget", modify: func(h *History) {
			for n := range 70 {
				id := fmt.Sprintf("again-%d", n)
				h.TargetEvents = append(h.TargetEvents, TargetEvent{Target: "t", Kind: platformtest.Rejected, At: 9 * time.Second, ID: id}, TargetEvent{Target: "u", Kind: platformtest.Rejected, At: 9010 * ms, ID: id})
			}
		}, want: ""},
		{name: "extra attempts beyond the budget", modify: func(h *History) {
			for n := range 90 {
				id := fmt.Sprintf("again-%d", n)
				h.TargetEvents = append(h.TargetEvents, TargetEvent{Target: "t", Kind: platformtest.Rejected, At: 9 * time.Second, ID: id}, TargetEvent{Target: "u", Kind: platformtest.Rejected, At: 9010 * ms, ID: id})
			}
		}, want: "retry budget"},
		{name: "load probes beyond the budget", modify: func(h *History) {
			for n := range 1300 {
				h.TargetEvents = append(h.TargetEvents, TargetEvent{Target: "t", Kind: platformtest.Probed, At: time.Duration(n) * 10 * ms})
			}
		}, want: "load probe budget"},
		{name: "requests to a target that a host passed on as leaving", modify: func(h *History) { h.Attempts[3].Leaver = "t" }, want: "no new requests to targets that say that they leave"},
		{name: "requests of another host to a target that leaves", modify: func(h *History) { h.Attempts[3].Leaver, h.Attempts[3].Host = "t", 1 }},
		{name: "requests of a restarted host to a target that leaves", modify: func(h *History) {
			h.Attempts[3].Leaver = "t"
			h.Disturbances = append(h.Disturbances, Span{Kind: HostKill, From: 4 * time.Second, To: 5 * time.Second})
		}},
		{name: "requests in a pause", modify: func(h *History) {
			h.Pauses = append(h.Pauses, PauseSpan{Target: "t", From: 3 * time.Second, To: 7 * time.Second})
		}, want: "no requests to targets in a pause"},
		{name: "requests of another host in a pause", modify: func(h *History) {
			h.Pauses = append(h.Pauses, PauseSpan{Target: "t", Host: 1, From: 3 * time.Second, To: 7 * time.Second})
		}},
		{name: "two requests in a pause", modify: func(h *History) {
			h.Pauses = append(h.Pauses, PauseSpan{Target: "t", From: 3 * time.Second, To: 5500 * ms})
		}},
		{name: "requests in a pause that a link held back", modify: func(h *History) {
			h.Pauses = append(h.Pauses, PauseSpan{Target: "t", From: 3 * time.Second, To: 7 * time.Second})
			h.LinkFaults = append(h.LinkFaults, LinkSpan{Target: "t", From: 2 * time.Second, To: 3200 * ms})
		}},
		{name: "requests of a cut host in a pause", modify: func(h *History) {
			h.Pauses = append(h.Pauses, PauseSpan{Target: "t", From: 3 * time.Second, To: 7 * time.Second})
			h.Cuts = append(h.Cuts, &CutSpan{Hosts: []int{0}, From: 6 * time.Second, To: 9 * time.Second})
		}},
		{name: "requests within the rate limit", modify: func(h *History) {
			h.Limits = append(h.Limits, &LimitSpan{Target: "t", PerSecond: 1, From: 4 * time.Second, To: 16 * time.Second})
		}},
		{name: "requests beyond the rate limit", modify: func(h *History) {
			h.Limits = append(h.Limits, &LimitSpan{Target: "t", PerSecond: 1, From: 4 * time.Second})
			addAttempts(h, 9)
		}, want: "rate limit of a target"},
		{name: "requests beyond the rate limit at a limit of zero", modify: func(h *History) {
			h.Limits = append(h.Limits, &LimitSpan{Target: "t", From: 4 * time.Second, To: 16 * time.Second})
			addAttempts(h, 3)
		}, want: "rate limit of a target"},
		{name: "requests before the rate limit must hold", modify: func(h *History) {
			h.Limits = append(h.Limits, &LimitSpan{Target: "t", PerSecond: 1, From: 8 * time.Second, To: 16 * time.Second})
			addAttempts(h, 9)
		}},
		{name: "requests beyond the rate limit from a restarted host", modify: func(h *History) {
			h.Limits = append(h.Limits, &LimitSpan{Target: "t", PerSecond: 1, From: 4 * time.Second})
			addAttempts(h, 9)
			h.Disturbances = append(h.Disturbances, Span{Kind: HostKill, From: 7500 * ms, To: 8 * time.Second})
		}},
		{name: "late requests are not served after the faults", modify: func(h *History) {
			for _, status := range []int{0, 503} {
				h.Attempts = append(h.Attempts, unsafeAttempt(status, func(a *Attempt) {
					a.Late, a.Start, a.End, a.Error = true, 19*time.Second, 19*time.Second+20*ms, "EOF"
				}))
			}
		}},
		{name: "late requests to hosts without links to targets", modify: func(h *History) {
			cutHost(h, 12, 0)
			for i := range h.Attempts[20:] {
				h.Attempts[20+i].Late = true
			}
		}},
		{name: "request with a long timeout", modify: func(h *History) {
			h.Attempts = append(h.Attempts, unsafeAttempt(504, func(a *Attempt) { a.Timeout, a.End = longTimeout, a.Start+10400*ms }))
		}},
		{name: "response after a long timeout", modify: func(h *History) {
			h.Attempts = append(h.Attempts, unsafeAttempt(504, func(a *Attempt) { a.Timeout, a.End = longTimeout, a.Start+10600*ms }))
		}, want: "response within the timeout"},
		{name: "late request is cut", modify: func(h *History) { stoppedRequest(h, 4800*ms, 800*ms, 504, nil) }, want: stopped},
		{name: "late request is cut after a short time", modify: func(h *History) { stoppedRequest(h, 3010*ms, 50*ms, 502, nil) }, want: stopped},
		{name: "late request is cut shortly before its timeout", modify: func(h *History) {
			stoppedRequest(h, 4*time.Second, 1400*ms, 504, func(a *Attempt) { a.Timeout = 0 })
		}, want: stopped},
		{name: "late request reaches its timeout", modify: func(h *History) {
			stoppedRequest(h, 4*time.Second, 1490*ms, 504, func(a *Attempt) { a.Timeout = 0 })
		}},
		{name: "late request with the usual timeout reaches the end of the host", modify: func(h *History) {
			stoppedRequest(h, 4*time.Second, 1490*ms, 502, func(a *Attempt) { a.Timeout = 0 })
		}, want: stopped},
		{name: "late request is served", modify: func(h *History) {
			stoppedRequest(h, 4800*ms, 800*ms, 200, func(a *Attempt) { a.Signed, a.Body = true, "t for x ran 10 bytes" })
		}},
		{name: "late request gets the error of its target", modify: func(h *History) {
			stoppedRequest(h, 4800*ms, 800*ms, 500, func(a *Attempt) { a.Signed = true })
		}},
		{name: "late request gets a part of the response", modify: func(h *History) {
			stoppedRequest(h, 4800*ms, 800*ms, 0, func(a *Attempt) { a.Signed, a.Error = true, "unexpected EOF" })
		}, want: stopped},
		{name: "late request gets no response", modify: func(h *History) {
			stoppedRequest(h, 4800*ms, 100*ms, 0, func(a *Attempt) { a.Error = "EOF" })
		}, want: "response to every started request"},
		{name: "late request runs and is refused", modify: func(h *History) { stoppedRequest(h, 4800*ms, 100*ms, 503, nil) }, want: "no run after a not-run status"},
		{name: "late request is refused", modify: func(h *History) {
			stoppedRequest(h, 4800*ms, 100*ms, 503, nil)
			h.TargetEvents = h.TargetEvents[:20]
		}},
		{name: "late request that waits reaches the end of the host", modify: func(h *History) {
			stoppedRequest(h, 4800*ms, 800*ms, 504, nil)
			h.TargetEvents = h.TargetEvents[:20]
		}},
		{name: "early request is cut in the last sixth of the grace period", modify: func(h *History) { stoppedRequest(h, 2900*ms, 2200*ms, 504, nil) }},
		{name: "early request is cut before the last sixth of the grace period", modify: func(h *History) { stoppedRequest(h, 2900*ms, 2*time.Second, 504, nil) }, want: stopped},
		{name: "request from before the SIGTERM is cut by it", modify: func(h *History) { stoppedRequest(h, -500*ms, 700*ms, 504, nil) }, want: stopped},
		{name: "request is cut before the SIGTERM", modify: func(h *History) { stoppedRequest(h, -500*ms, 400*ms, 504, nil) }},
		{name: "late request to another process is cut", modify: func(h *History) {
			stoppedRequest(h, 4800*ms, 800*ms, 504, func(a *Attempt) { a.Incarnation = 2 })
		}},
		{name: "late request is cut while the host is reloaded", modify: func(h *History) {
			stoppedRequest(h, 4800*ms, 800*ms, 504, nil)
			h.Disturbances = append(h.Disturbances, Span{Kind: HostReload, From: 3 * time.Second, To: 6 * time.Second})
		}, want: stopped},
		{name: "late request is cut while another host is killed", modify: func(h *History) {
			stoppedRequest(h, 4800*ms, 800*ms, 504, nil)
			h.Disturbances = append(h.Disturbances, Span{Kind: HostKill, Host: 1, From: 3 * time.Second, To: 6 * time.Second})
		}, want: stopped},
		{name: "late request is cut as the host is killed", modify: func(h *History) {
			stoppedRequest(h, 4800*ms, 800*ms, 504, nil)
			h.Disturbances = append(h.Disturbances, Span{Kind: HostKill, From: 5200 * ms, To: 6 * time.Second})
		}},
		{name: "late request is cut shortly after a fault of the store", modify: func(h *History) {
			stoppedRequest(h, 4800*ms, 800*ms, 504, nil)
			h.Disturbances = append(h.Disturbances, Span{Kind: StoreDown, Host: allHosts, From: time.Second, To: 2100 * ms})
		}},
		{name: "late request is cut long after a fault of the store", modify: func(h *History) {
			stoppedRequest(h, 4800*ms, 800*ms, 504, nil)
			h.Disturbances = append(h.Disturbances, Span{Kind: StoreDown, Host: allHosts, From: time.Second, To: 1900 * ms})
		}, want: stopped},
		{name: "late request is cut as the host is separated from all targets", modify: func(h *History) {
			stoppedRequest(h, 4800*ms, 800*ms, 504, nil)
			h.Cuts = append(h.Cuts, &CutSpan{Hosts: []int{0}, From: time.Second, To: 3 * time.Second})
		}},
		{name: "late request is cut as the link to its target is disturbed", modify: func(h *History) {
			stoppedRequest(h, 4800*ms, 800*ms, 504, nil)
			h.LinkFaults = append(h.LinkFaults, LinkSpan{Target: "t", From: 5200 * ms, To: 6 * time.Second})
		}},
		{name: "late request is cut as the link to another target is disturbed", modify: func(h *History) {
			stoppedRequest(h, 4800*ms, 800*ms, 504, nil)
			h.LinkFaults = append(h.LinkFaults, LinkSpan{Target: "u", From: 5200 * ms, To: 6 * time.Second})
		}, want: stopped},
		{name: "target ends the connection of a late request", modify: func(h *History) {
			stoppedRequest(h, 4800*ms, 800*ms, 502, nil)
			h.Breaks = append(h.Breaks, LinkSpan{Target: "t", From: 5200 * ms, To: 6 * time.Second})
		}},
		{name: "target ended connections before a late request", modify: func(h *History) {
			stoppedRequest(h, 4800*ms, 800*ms, 502, nil)
			h.Breaks = append(h.Breaks, LinkSpan{Target: "t", From: 4 * time.Second, To: 4900 * ms})
		}, want: stopped},
		{name: "requests within a quota", modify: func(h *History) { limitedRequests(h, 25, 1) }},
		{name: "requests beyond a quota", modify: func(h *History) { limitedRequests(h, 26, 1) }, want: "quota of an account"},
		{name: "requests beyond a quota at several hosts", modify: func(h *History) { limitedRequests(h, 26, 2) }, want: "quota of an account"},
		{name: "requests beyond a quota at killed hosts", modify: func(h *History) {
			limitedRequests(h, 26, 2)
			h.Disturbances = append(h.Disturbances, Span{Kind: HostKill, From: 9 * time.Second, To: 9500 * ms})
		}, want: "quota of an account"},
		{name: "refused requests beyond a quota", modify: func(h *History) {
			limitedRequests(h, 40, 1)
			h.TargetEvents = h.TargetEvents[:20+25]
		}},
		{name: "requests beyond a quota that were sent before", modify: func(h *History) {
			limitedRequests(h, 40, 1)
			for i := range h.Attempts[20:40] {
				h.Attempts[20+i].Start -= 5 * time.Second
				h.Attempts[20+i].Timeout = longTimeout
			}
		}},
		{name: "request to an evacuated domain", modify: func(h *History) { evacuate(h) }, want: "no requests to an evacuated domain"},
		{name: "request to another domain than the evacuated one", modify: func(h *History) {
			evacuate(h)
			h.Domains["t"] = "d-1"
		}},
		{name: "requests before the evacuation must hold", modify: func(h *History) {
			evacuate(h)
			h.Evacuations[0].To = 9500 * ms
		}},
		{name: "request to an evacuated domain from a disturbed host", modify: func(h *History) {
			evacuate(h)
			h.Disturbances = append(h.Disturbances, Span{Kind: HostStoreSilent, From: 9 * time.Second, To: 12 * time.Second})
		}},
		{name: "request to an evacuated domain while another host is disturbed", modify: func(h *History) {
			evacuate(h)
			h.Disturbances = append(h.Disturbances, Span{Kind: HostStoreSilent, Host: 1, From: 9 * time.Second, To: 12 * time.Second})
		}, want: "no requests to an evacuated domain"},
		{name: "request to an evacuated domain that arrives later from a disturbed helper", modify: func(h *History) {
			evacuate(h)
			for i := range h.TargetEvents {
				h.TargetEvents[i].From = 1
			}
			h.Disturbances = append(h.Disturbances, Span{Kind: HostPause, Host: 1, From: 9 * time.Second, To: 12 * time.Second})
		}},
		{name: "request with a known key", modify: func(h *History) { addKeyed(h, "key-1", 5*time.Second, 504, 1, ofA, nil) }},
		{name: "request with a removed key runs", modify: func(h *History) { addKeyed(h, "key-0", 11100*ms, 504, 1, ofA, nil) }, want: removedKey},
		{name: "request with a removed key runs on a paused host", modify: func(h *History) {
			addKeyed(h, "key-0", 11100*ms, 504, 1, ofA, nil)
			h.Disturbances = append(h.Disturbances, Span{Kind: HostPause, Host: 1, From: 7 * time.Second, To: 11 * time.Second})
		}, want: removedKey},
		{name: "request with a removed key runs while the store is down", modify: func(h *History) {
			addKeyed(h, "key-0", 11100*ms, 504, 1, ofA, nil)
			h.Disturbances = append(h.Disturbances, Span{Kind: StoreDown, Host: allHosts, From: 7 * time.Second, To: 12 * time.Second})
		}, want: removedKey},
		{name: "request with a removed key runs before the bound", modify: func(h *History) { addKeyed(h, "key-0", 10900*ms, 504, 1, ofA, nil) }},
		{name: "request with a removed key runs after the store lost the removal", modify: func(h *History) {
			addKeyed(h, "key-0", 11100*ms, 504, 1, ofA, nil)
			storeRestored(h)
		}},
		{name: "request with a removed key runs long after the store lost the removal", modify: func(h *History) {
			addKeyed(h, "key-0", 14100*ms, 504, 1, ofA, nil)
			storeRestored(h)
		}, want: removedKey},
		{name: "request with a removed key is refused", modify: func(h *History) { addKeyed(h, "key-0", 11100*ms, 401, 1, none, nil) }},
		{name: "request with a removed key runs on a public route", modify: func(h *History) { addKeyed(h, "key-0", 12100*ms, 504, 1, none, public) }},
		{name: "known key is refused", modify: func(h *History) { addKeyed(h, "key-1", 5*time.Second, 401, 1, none, nil) }, want: knownKey},
		{name: "key is refused before its removal", modify: func(h *History) { addKeyed(h, "key-0", 7800*ms, 401, 1, none, nil) }, want: knownKey},
		{name: "key is refused as it is removed", modify: func(h *History) { addKeyed(h, "key-0", 7990*ms, 401, 1, none, nil) }},
		{name: "new key is refused", modify: func(h *History) { addKeyed(h, "key-2", 12*time.Second, 401, 1, none, nil) }},
		{name: "new key is refused for too long", modify: func(h *History) { addKeyed(h, "key-2", 12300*ms, 401, 1, none, nil) }, want: knownKey},
		{name: "new key that the store lost is refused", modify: func(h *History) {
			addKeyed(h, "key-2", 12300*ms, 401, 1, none, nil)
			storeRestored(h)
		}},
		{name: "public route needs a key", modify: func(h *History) { addKeyed(h, "", 12*time.Second, 401, 1, none, public) }, want: "public routes need no key"},
		{name: "target sees a key", modify: func(h *History) {
			addKeyed(h, "key-1", 5*time.Second, 504, 1, platformtest.AccountHeaders{Tenant: []string{"a"}, Credential: []string{"key-1"}}, nil)
		}, want: atTarget},
		{name: "target of a public route sees a key", modify: func(h *History) {
			addKeyed(h, unknownKey, 12*time.Second, 504, 1, platformtest.AccountHeaders{Credential: []string{unknownKey}}, public)
		}, want: atTarget},
		{name: "target sees another account", modify: func(h *History) {
			addKeyed(h, "key-1", 5*time.Second, 504, 1, platformtest.AccountHeaders{Tenant: []string{"b"}}, nil)
		}, want: atTarget},
		{name: "target sees two accounts", modify: func(h *History) {
			addKeyed(h, "key-1", 5*time.Second, 504, 1, platformtest.AccountHeaders{Tenant: []string{"a", claimedAccount}}, nil)
		}, want: atTarget},
		{name: "target sees no account", modify: func(h *History) { addKeyed(h, "key-1", 5*time.Second, 504, 1, none, nil) }, want: atTarget},
		{name: "target of a public route sees no account", modify: func(h *History) { addKeyed(h, "key-1", 12*time.Second, 504, 1, none, public) }},
		{name: "target of a public route sees the account that the client claims", modify: func(h *History) {
			addKeyed(h, unknownKey, 12*time.Second, 504, 1, platformtest.AccountHeaders{Tenant: []string{claimedAccount}}, public)
		}, want: atTarget},
		{name: "request with an unknown key reaches a target", modify: func(h *History) { addKeyed(h, unknownKey, 5*time.Second, 504, 1, none, nil) }, want: atTarget},
		{name: "request without a key reaches a target", modify: func(h *History) { addKeyed(h, "", 5*time.Second, 504, 1, none, nil) }, want: atTarget},
		{name: "hosts refuse keys while the store is down", modify: func(h *History) {
			addKeyed(h, unknownKey, 13900*ms, 401, 4, none, nil)
			storeDown(h)
		}, want: oldView},
		{name: "hosts refuse a few keys while the store is down", modify: func(h *History) {
			addKeyed(h, unknownKey, 13900*ms, 401, 3, none, nil)
			storeDown(h)
		}},
		{name: "hosts refuse keys shortly after the store went down", modify: func(h *History) {
			addKeyed(h, unknownKey, 13700*ms, 401, 4, none, nil)
			storeDown(h)
		}},
		{name: "bad keys are refused after the faults", modify: func(h *History) {
			addKeyed(h, unknownKey, 19*time.Second, 401, 4, none, func(a *Attempt) { a.BadKey = true })
		}},
		{name: "requests are not served after the faults", modify: func(h *History) { h.Attempts[19].Status = 503; h.TargetEvents = h.TargetEvents[:19] }, want: "recovery after the faults"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := validHistory()
			if tt.modify != nil {
				tt.modify(h)
			}
			violations := Check(h, DefaultBounds())
			if tt.want == "" {
				require.Empty(t, violations)
				return
			}
			require.NotEmpty(t, violations)
			for _, v := range violations {
				require.Equal(t, tt.want, v.Guarantee, v.Text)
			}
		})
	}
}

func TestScheduleIsDeterministic(t *testing.T) {
	first := Schedule(3, 30*time.Second, 5, 6, nil)
	require.Equal(t, first, Schedule(3, 30*time.Second, 5, 6, nil))
	require.NotEqual(t, first, Schedule(4, 30*time.Second, 5, 6, nil))
	seen := map[Kind]bool{}
	for seed := range uint64(30) {
		for _, f := range Schedule(seed, 30*time.Second, 5, 6, nil) {
			seen[f.Kind] = true
			require.LessOrEqual(t, f.At+f.Length, 30*time.Second-recoveryTime)
		}
	}
	for _, k := range kinds {
		require.True(t, seen[k], k)
	}
}
