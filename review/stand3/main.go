//go:build review3

package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// errBroken reports that the rule of a case was broken.
var errBroken = errors.New("the rule was broken")

// maxTime ends a case that hangs.
const maxTime = 115 * time.Second

var cases = map[string]func(w *world) error{
	"poison-of-one-tenant":    poisonOfOneTenant,
	"poison-while-rolling":    poisonWhileRolling,
	"last-tenant-leaves":      lastTenantLeaves,
	"long-key":                longKey,
	"host-starts-from-a-copy": hostStartsFromACopy,
	"pipelined-give-up":       pipelinedGiveUp,
}

func main() {
	file := flag.String("record", "record.txt", "file of what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "play the disruption")
	verbose := flag.Bool("logs", false, "keep the logs of hosts")
	control := flag.Bool("control", false, "play a variant of the case in which the rule is expected to hold")
	flag.Parse()
	play, ok := cases[flag.Arg(0)]
	if !ok {
		fmt.Fprintln(os.Stderr, "stand3: unknown case", flag.Arg(0))
		os.Exit(2)
	}
	os.Exit(run(flag.Arg(0), play, *file, *trouble, *verbose, *control))
}

func run(name string, play func(w *world) error, file string, trouble, verbose, control bool) int {
	r, err := newRecord(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, "stand3:", err)
		return 2
	}
	defer r.close()
	w, err := newWorld(r, trouble, verbose)
	if err != nil {
		fmt.Fprintln(os.Stderr, "stand3:", err)
		return 2
	}
	defer w.close()
	w.control = control
	r.note("case %s, disruption %t, control %t", name, trouble, control)
	done := make(chan error, 1)
	go func() { done <- play(w) }()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	select {
	case err = <-done:
	case <-stop:
		err = errors.New("the case was interrupted")
	case <-time.After(maxTime):
		err = errors.New("the case took too long")
	}
	switch {
	case err == nil:
		r.note("result: the rule held")
		return 0
	case errors.Is(err, errBroken):
		r.note("result: %v", err)
		return 1
	}
	r.note("result: the case could not run: %v", err)
	return 2
}
