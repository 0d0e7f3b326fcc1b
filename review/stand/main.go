// Command stand runs one case of the review: it starts hosts with the command of the deploy file,
// with stand-ins for the platform, servers and clients, and checks one rule.
//
// Usage: RUN="target/tamaracktiller entry" CASE_DIR=review/1 stand NAME
//
// Exit codes: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"
)

// runLimit bounds the time of a run.
const runLimit = 115 * time.Second

// trouble reports whether the disruption is played.
func trouble() bool { return os.Getenv("TROUBLE") != "0" }

// cases maps the name of a case to its function, which returns whether the rule held.
var cases = map[string]func(f *fleet) (bool, error){
	"queued":        queued,
	"poison-upload": poisonUpload, "poison-removed": poisonRemoved, "restarted-pause": restartedPause,
	"longer-grace": longerGrace,
	"old-beat":     oldBeat,
	"slow-uploads": slowUploads,
}

func main() {
	runtime.LockOSThread()
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand NAME")
		os.Exit(2)
	}
	f, err := newFleet()
	if err != nil {
		fmt.Fprintln(os.Stderr, "stand:", err)
		os.Exit(2)
	}
	time.AfterFunc(runLimit, func() {
		f.close()
		os.Exit(2)
	})
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-interrupted
		f.close()
		os.Exit(2)
	}()
	held, err := cases[os.Args[1]](f)
	switch {
	case err != nil:
		f.logf("could not run: %v", err)
		fmt.Println("could not run:", err)
	case held:
		f.logf("the rule held")
		fmt.Println("the rule held")
	default:
		f.logf("the rule was broken")
		fmt.Println("the rule was broken")
	}
	f.close()
	switch {
	case err != nil:
		os.Exit(2)
	case !held:
		os.Exit(1)
	}
}
