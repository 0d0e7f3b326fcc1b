package main

// This file defines the command that shows the timeline of a request.

import (
	"os"

	"github.com/pkg/errors"

	"tamaracktiller.example/tamaracktiller/internal/report/trace"
)

type traceCommand struct {
	Request string   `arg:"" help:"ID of the request."`
	Logs    []string `arg:"" optional:"" help:"Log files of the hosts. Without any, standard input is read." type:"existingfile"`
}

// Run prints the log lines about one request and the cause of its outcome.
func (c *traceCommand) Run() error {
	t := trace.New(c.Request)
	if len(c.Logs) == 0 {
		if err := t.Read(os.Stdin); err != nil {
			return err
		}
	}
	for _, name := range c.Logs {
		if err := readLog(t, name); err != nil {
			return err
		}
	}
	return t.Write(os.Stdout)
}

func readLog(t *trace.Trace, name string) error {
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer f.Close()
	return errors.Wrap(t.Read(f), name)
}
