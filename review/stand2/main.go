// Command stand plays the scripted cases of the second review: stand CASE RECORD.
//
// It starts the hosts as separate processes, with a store, servers and clients of its own on loopback
// addresses. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxLength is the time after which a case is given up.
const maxLength = 115 * time.Second

const (
	held     = 0
	violated = 1
	failed   = 2
)

func main() {
	cases := map[string]func(w *world) (broken bool, err error){
		"pipeline": playPipeline, "poison": playPoison, "slash": playSlash, "headers": playHeaders, "late": playLate, "busy": playBusy, "smuggle": playSmuggle,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE RECORD")
		os.Exit(failed)
	}
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-stop:
		case <-time.After(maxLength):
		}
		w.say("the case was given up")
		w.close()
		os.Exit(failed)
	}()
	broken, err := cases[os.Args[1]](w)
	if err != nil {
		w.say("the case could not run: %v", err)
	}
	w.close()
	switch {
	case err != nil:
		os.Exit(failed)
	case broken:
		os.Exit(violated)
	}
	os.Exit(held)
}
