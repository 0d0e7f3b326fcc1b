package soak

// This file defines the faults and their seeded schedule.

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of fault.
type Kind string

// The kinds of faults. Those of hosts act on a process by signals or on its link to the
// store, those of targets on a stand-in or on the link to it.
const (
	HostKill        Kind = "host-kill"
	HostPause       Kind = "host-pause"
	HostStop        Kind = "host-stop"
	HostReload      Kind = "host-reload"
	HostStoreSlow   Kind = "host-store-slow"
	HostStoreSilent Kind = "host-store-silent"
	HostStoreOneWay Kind = "host-store-one-way"
	HostStoreReset  Kind = "host-store-reset"

	StoreDown    Kind = "store-down"
	StoreSlow    Kind = "store-slow"
	StoreLost    Kind = "store-lost-answers"
	StoreLate    Kind = "store-late-writes"
	StoreSilent  Kind = "store-silent-watches"
	StoreCompact Kind = "store-compact"
	// StoreCopy lets the store come back from a copy that is some time old.
	StoreCopy Kind = "store-copy"

	TargetSlow   Kind = "target-slow"
	TargetFail   Kind = "target-fail"
	TargetShed   Kind = "target-shed"
	TargetLose   Kind = "target-lose-answers"
	TargetCrash  Kind = "target-crash"
	TargetLeave  Kind = "target-leave"
	TargetSilent Kind = "target-link-silent"
	TargetOneWay Kind = "target-link-one-way"
	TargetReset  Kind = "target-link-reset"
	TargetDelay  Kind = "target-link-slow"

	ConfigChange Kind = "config-change"
	ConfigStorm  Kind = "config-storm"
	StrangeEntry Kind = "strange-entry"
)

var kinds = []Kind{
	HostKill, HostPause, HostStop, HostReload, HostStoreSlow, HostStoreSilent, HostStoreOneWay, HostStoreReset,
	StoreDown, StoreSlow, StoreLost, StoreLate, StoreSilent, StoreCompact, StoreCopy,
	TargetSlow, TargetFail, TargetShed, TargetLose, TargetCrash, TargetLeave, TargetSilent, TargetOneWay, TargetReset, TargetDelay,
	ConfigChange, ConfigChange, ConfigStorm, StrangeEntry,
}

// Fault is a fault of a schedule.
type Fault struct {
	Kind Kind          `json:"kind"`
	At   time.Duration `json:"at-ns"`
	For  time.Duration `json:"for-ns"`
	// Index is that of the host or the target; others ignore it.
	Index int `json:"index"`
}

const (
	// warmUp is the time before the first fault, quiet that after the last one, in
	// which the fleet must serve again.
	warmUp = 2 * time.Second
	quiet  = 5 * time.Second
	// maxGap bounds the time between two faults, so that they overlap, and maxFor
	// their length.
	maxGap = 900 * time.Millisecond
	minFor = 200 * time.Millisecond
	maxFor = 3 * time.Second
	// seriesShare is the share of the faults that repeat the one before.
	seriesShare = 0.25
)

// Schedule returns the faults of a seed, by their time. only limits the kinds unless
// it is empty.
func Schedule(seed uint64, length time.Duration, hosts, targets int, only []Kind) []Fault {
	rng := rand.New(rand.NewPCG(seed, uint64(length)))
	from := kinds
	if len(only) > 0 {
		from = only
	}
	var list []Fault
	for at := warmUp; ; at += upTo(rng, maxGap) {
		f := Fault{Kind: from[rng.IntN(len(from))], At: at, For: minFor + upTo(rng, maxFor-minFor), Index: rng.IntN(hosts * targets)}
		if len(list) > 0 && rng.Float64() < seriesShare {
			f.Kind, f.Index = list[len(list)-1].Kind, list[len(list)-1].Index
		}
		if at > length-quiet {
			return list
		}
		f.For = min(f.For, length-quiet-at)
		if f.ofHost() {
			f.Index %= hosts
		} else {
			f.Index %= targets
		}
		list = append(list, f)
	}
}

func (f Fault) ofHost() bool {
	return slices.Contains(kinds[:8], f.Kind)
}

func (f Fault) ofStore() bool {
	return slices.Contains(kinds[8:15], f.Kind)
}

// upTo returns a random time below d.
func upTo(rng *rand.Rand, d time.Duration) time.Duration {
	return time.Duration(rng.Int64N(int64(d)))
}
