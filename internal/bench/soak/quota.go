package soak

// This file defines the client account with a quota and the check of that.

import (
	"cmp"
	"slices"
	"time"
)

// quotaAccount is the account to which Config.Quota applies.
const quotaAccount = "account-limited"

// quotaInterval is the number of requests of which one is of quotaAccount.
const quotaInterval = 8

// Quota bounds the requests of a client account.
type Quota struct{ PerSecond, Burst float64 }

// limitedRun is a request of quotaAccount that ran.
type limitedRun struct {
	sent, started time.Duration
	id            string
}

// checkQuota verifies that of the requests of quotaAccount that are sent within any span of
// Bounds.QuotaWindow, no more than the quota arrive at targets and run within that span. It returns the
// number of requests that were judged.
func (c *checker) checkQuota() (judged int) {
	if c.h.Quota.PerSecond == 0 {
		return 0
	}
	allowed := (c.b.QuotaWindow.Seconds()*c.h.Quota.PerSecond+c.h.Quota.Burst)*(1+c.b.QuotaOverage) + c.b.QuotaSlack
	var ran []limitedRun
	for _, a := range c.h.Attempts {
		if runs := c.runs(a); a.Limited && len(runs) > 0 {
			started := slices.MinFunc(runs, func(a, b TargetEvent) int { return cmp.Compare(a.At, b.At) }).At
			ran = append(ran, limitedRun{sent: a.Start, started: started, id: a.ID})
		}
	}
	for _, first := range ran {
		n := 0
		for _, r := range ran {
			if r.sent >= first.sent && r.started <= first.sent+c.b.QuotaWindow {
				n++
			}
		}
		if float64(n) > allowed {
			c.report("quota of an account", first.sent, first.id, "%d requests ran in %s, allowed are %g", n, c.b.QuotaWindow, allowed)
			break
		}
	}
	return len(ran)
}
