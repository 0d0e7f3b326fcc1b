package soak

// This file defines requests that crash the targets which run them, and the check that hosts stop sending these.

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"tamaracktiller.example/tamaracktiller/internal/kernel/timer"
	"tamaracktiller.example/tamaracktiller/platform/platformtest"
)

const (
	// crashPath is part of the path of requests that crash targets if they are of crashAccount. Those of another
	// account on the same path run as usual.
	crashPath    = "crash"
	crashAccount = 0
	// crashInterval is the time between two such requests, which are sent for crashTime longer than the fault lasts,
	// so that there is a time in which hosts must refuse them.
	crashInterval = 350 * time.Millisecond
	crashTime     = 8 * time.Second
	// crashTargets is the number of targets that such a request may crash before hosts must know it.
	crashTargets = 3
)

// sendCrashing sends requests that crash targets, on a path of their own for each fault, to all hosts by turns, and
// those of another account on the same path.
func (r *run) sendCrashing(ctx context.Context, f Fault) {
	rng := rand.New(rand.NewPCG(r.cfg.Seed, uint64(f.At)))
	path := fmt.Sprintf("/read/%s-%d", crashPath, f.At.Milliseconds())
	client := newClient()
	defer client.CloseIdleConnections()
	for end := time.Now().Add(f.Length); time.Now().Before(end) && ctx.Err() == nil; timer.Sleep(ctx, crashInterval) {
		if h := r.pickHost(rng); h != nil {
			r.send(ctx, client, h, path, Attempt{Crashing: path, Key: r.keyOf(crashAccount)})
		}
		if key := r.keyOf(crashAccount + 1); key != "" {
			if h := r.pickHost(rng); h != nil {
				r.send(ctx, client, h, path, Attempt{Key: key})
			}
		}
	}
}

// keyOf returns the current key of an account; empty if there are no accounts.
func (r *run) keyOf(account int) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if k := r.currentKey(account); k != nil {
		return k.Key
	}
	return ""
}

// crashBehaviour makes targets crash by the requests of sendCrashing.
func (r *run) crashBehaviour() platformtest.Behaviour {
	b := platformtest.Behaviour{ServiceTime: typicalServiceTime, CrashPath: crashPath}
	if r.keyOf(crashAccount) != "" {
		b.CrashAccount = accountName(crashAccount)
	}
	return b
}

// crashed replaces a target that a request has crashed.
func (b *backend) crashed(t *platformtest.Target, link *platformtest.Proxy) {
	link.Close()
	start := b.r.sinceStart(time.Now())
	b.r.g.Go("crashed target", func(ctx context.Context) error {
		timer.Sleep(ctx, entryTimeout)
		b.r.store.Delete(platformtest.TargetPrefix + t.ID)
		b.replace(ctx, t)
		b.r.recordBreak(t, start)
		return nil
	})
}

// checkCrashing verifies that at most Bounds.LateCrashes requests of a path run later than Bounds.StableWindow after
// it has crashed the third target. It ignores those of hosts that were paused meanwhile. It returns the number of
// paths that were judged.
func (c *checker) checkCrashing() (judged int) {
	runs := map[string][]TargetEvent{}
	for _, a := range c.h.Attempts {
		if a.Crashing != "" {
			runs[a.Crashing] = append(runs[a.Crashing], c.runs(a)...)
		}
	}
	for path, list := range runs {
		if len(list) < crashTargets {
			continue
		}
		judged++
		slices.SortFunc(list, func(a, b TargetEvent) int { return int(a.At - b.At) })
		known := list[crashTargets-1].At + c.b.StableWindow
		late := slices.DeleteFunc(slices.Clone(list), func(e TargetEvent) bool {
			return e.At <= known || c.disturbed(e.From, e.At-c.b.StableWindow, e.At, HostPause, OlderBuild)
		})
		if len(late) > c.b.LateCrashes {
			c.report("requests that crash targets are refused", late[0].At, late[0].ID, "%d of %d runs of %s later than %s", len(late), len(list), path, known)
		}
	}
	return judged
}
