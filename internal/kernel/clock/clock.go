// Package clock reads the time since boot.
//
// That time also counts while the process or the machine is suspended, and it never jumps. Limits
// of time that must hold for hosts which were stopped are therefore counted by it: a credit that
// expired during a suspension is not used after it.
//
// # Usage
//
//	now := clock.SinceBoot()
package clock

// This file defines SinceBoot.

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the machine was started, by CLOCK_BOOTTIME.
func SinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
