// Package clock reads the time since the machine was started.
//
// The monotonic clock of package time (CLOCK_MONOTONIC) stands still while the machine is suspended, so
// a host that was suspended for a minute takes what it knew before for current. CLOCK_BOOTTIME counts
// that time, and changes of the wall clock do not affect it. The clocks of two machines have nothing in
// common: only differences may be sent to another host.
//
// # Usage
//
//	sent := clock.SinceBoot()
//	...
//	elapsed := clock.SinceBoot() - sent
package clock

// This file defines SinceBoot.

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the machine was started, with the time in which it was suspended.
func SinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(fmt.Sprintf("clock: CLOCK_BOOTTIME: %v", err))
	}
	return time.Duration(ts.Nano())
}
