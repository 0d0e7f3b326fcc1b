package soak

// This file defines the kinds of faults and their seeded schedule.

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of fault.
type Kind string

// The kinds of faults. Host faults send signals to a process or disturb its link to the
// store. Target faults change the behavior of a fake target or disturb the link to it.
const (
	HostKill        Kind = "host-kill"
	HostPause       Kind = "host-pause"
	HostStop        Kind = "host-stop"
	HostReload      Kind = "host-reload"
	HostStoreSlow   Kind = "host-store-slow"
	HostStoreSilent Kind = "host-store-silent"
	HostStoreOneWay Kind = "host-store-one-way"
	HostStoreReset  Kind = "host-store-reset"

	// The kinds of cuts separate hosts from all targets, for cutFactor times Fault.Length:
	// Fault.Index selects a host, its domain or all hosts but that one.
	CutSilent Kind = "hosts-cut-silent"
	CutReset  Kind = "hosts-cut-reset"
	// CutRefuse lets open connections live on.
	CutRefuse Kind = "hosts-cut-refuse"
	// HostKillSeries kills and restarts all hosts one after the other, killSeries times.
	HostKillSeries Kind = "host-kill-series"

	StoreDown           Kind = "store-down"
	StoreSlow           Kind = "store-slow"
	StoreDropResponses  Kind = "store-lost-answers"
	StoreDelayWrites    Kind = "store-late-writes"
	StoreSuppressEvents Kind = "store-silent-watches"
	StoreCompact        Kind = "store-compact"
	// StoreRestore restores the store from a backup that was taken Fault.Length earlier.
	StoreRestore Kind = "store-copy"

	TargetSlow          Kind = "target-slow"
	TargetFail          Kind = "target-fail"
	TargetShed          Kind = "target-shed"
	TargetDropResponses Kind = "target-lose-answers"
	TargetCrash         Kind = "target-crash"
	TargetDrain         Kind = "target-leave"
	// TargetLateEntry makes a target drain, after which the store applies an older entry of it, and
	// again after the deletion of its entry.
	TargetLateEntry  Kind = "target-late-entry"
	TargetLinkSilent Kind = "target-link-silent"
	TargetLinkOneWay Kind = "target-link-one-way"
	TargetLinkReset  Kind = "target-link-reset"
	TargetLinkSlow   Kind = "target-link-slow"
	// TargetLimit makes a target name a rate limit for limitFactor times Fault.Length.
	TargetLimit Kind = "target-limit"
	// TargetSayLeaving makes a target say that it leaves, while its entry says nothing, and
	// TargetPause makes it reject requests and name a time for which it wants no others.
	TargetSayLeaving Kind = "target-say-leaving"
	TargetPause      Kind = "target-pause"

	ConfigChange Kind = "config-change"
	ConfigBurst  Kind = "config-storm"
	// ConfigOddPart writes versions with parts that cannot be applied, and replaces a key of a client account.
	ConfigOddPart  Kind = "config-odd-part"
	MalformedEntry Kind = "strange-entry"

	// KeyRemove replaces a key of a client account. KeyRemoveUnseen does so while the store is down.
	KeyRemove       Kind = "key-remove"
	KeyRemoveUnseen Kind = "key-remove-unseen"

	// Evacuate evacuates a failure domain.
	Evacuate Kind = "evacuate"

	// RequestCrash sends requests that crash targets, and ClientLeave those of clients that leave while they run.
	RequestCrash Kind = "request-crash"
	ClientLeave  Kind = "client-leave"
)

// kinds are the kinds that Schedule draws from; a kind listed twice is drawn twice as
// often. isHostFault and isStoreFault depend on the order.
var kinds = []Kind{
	HostKill, HostPause, HostStop, HostReload, HostStoreSlow, HostStoreSilent, HostStoreOneWay, HostStoreReset, CutSilent, CutReset, CutRefuse, HostKillSeries,
	StoreDown, StoreSlow, StoreDropResponses, StoreDelayWrites, StoreSuppressEvents, StoreCompact, StoreRestore,
	TargetSlow, TargetFail, TargetShed, TargetDropResponses, TargetCrash, TargetDrain, TargetLateEntry, TargetLinkSilent, TargetLinkOneWay, TargetLinkReset, TargetLinkSlow, TargetLimit, TargetLimit, TargetSayLeaving, TargetPause, TargetPause,
	ConfigChange, ConfigChange, ConfigBurst, MalformedEntry, KeyRemove, KeyRemove, KeyRemoveUnseen, Evacuate, RequestCrash, ClientLeave, ConfigOddPart,
}

// Fault is one fault of a schedule.
type Fault struct {
	Kind   Kind          `json:"kind"`
	At     time.Duration `json:"at-ns"`
	Length time.Duration `json:"for-ns"`
	// Index is the index of the host or target; other faults ignore it.
	Index int `json:"index"`
}

const (
	// warmUp is the time before the first fault. recoveryTime is the time without faults
	// at the end of a run, in which the fleet must serve requests again.
	warmUp       = 2 * time.Second
	recoveryTime = 5 * time.Second
	// maxGap bounds the time between the starts of two faults. It is shorter than
	// maxDuration, so that faults overlap.
	maxGap      = 900 * time.Millisecond
	minDuration = 200 * time.Millisecond
	maxDuration = 3 * time.Second
	// cutFactor makes cuts last long enough for a time in which hosts must serve again.
	cutFactor = 3
	// limitFactor makes rate limits last long enough for a window in which they must hold.
	limitFactor = 4
	// repeatProbability is the probability that a fault has the kind and index of the one
	// before.
	repeatProbability = 0.25
)

// Schedule returns the faults of a run in the order of their start. Equal arguments give
// equal schedules. If only is not empty, it limits the kinds.
func Schedule(seed uint64, length time.Duration, hosts, targets int, only []Kind) []Fault {
	rng := rand.New(rand.NewPCG(seed, uint64(length)))
	choices := kinds
	if len(only) > 0 {
		choices = only
	}
	var faults []Fault
	for at := warmUp; ; at += randomDuration(rng, maxGap) {
		f := Fault{Kind: choices[rng.IntN(len(choices))], At: at, Length: minDuration + randomDuration(rng, maxDuration-minDuration), Index: rng.IntN(hosts * targets)}
		if len(faults) > 0 && rng.Float64() < repeatProbability {
			f.Kind, f.Index = faults[len(faults)-1].Kind, faults[len(faults)-1].Index
		}
		if at > length-recoveryTime {
			return faults
		}
		switch {
		case f.Kind == TargetLimit:
			f.Length *= limitFactor
		case f.Kind == KeyRemoveUnseen:
			f.Length = unseenRemoval
		case f.Kind == Evacuate:
			f.Length = evacuationLength
		case f.Kind == RequestCrash:
			f.Length += crashTime
		case f.Kind == ConfigOddPart:
			f.Length += oddPartTime
		case f.isCut():
			f.Length *= cutFactor
		}
		f.Length = min(f.Length, length-recoveryTime-at)
		if f.isHostFault() {
			f.Index %= hosts
		} else {
			f.Index %= targets
		}
		faults = append(faults, f)
	}
}

func (f Fault) isHostFault() bool {
	return slices.Contains(kinds[:12], f.Kind)
}

func (f Fault) isCut() bool {
	return f.Kind == CutSilent || f.Kind == CutReset || f.Kind == CutRefuse
}

func (f Fault) isStoreFault() bool {
	return slices.Contains(kinds[12:19], f.Kind)
}

// randomDuration returns a random duration in [0, d).
func randomDuration(rng *rand.Rand, d time.Duration) time.Duration {
	return time.Duration(rng.Int64N(int64(d)))
}
