package main

// This file defines the command that runs an entry host on the platform.

import (
	"context"
	"os"
	"runtime/debug"

	"tamaracktiller.example/tamaracktiller/internal/process/entry"
	"tamaracktiller.example/tamaracktiller/internal/process/settings"
	"tamaracktiller.example/tamaracktiller/platform"
)

// gcPercent is the garbage collection target percentage (GOGC). It is low because entry
// hosts are small and mostly idle, so memory costs more than garbage collection.
const gcPercent = 30

type entryCommand struct {
	Settings string `arg:"" optional:"" help:"Settings file; the platform sets its path in the environment." env:"TAMARACKTILLER_SETTINGS"`
}

// Run runs an entry host until it receives a signal.
func (c *entryCommand) Run(ctx context.Context) error {
	s, err := platform.LoadSettings(c.Settings)
	if err != nil {
		return err
	}
	debug.SetGCPercent(gcPercent)
	p, err := entry.New(s, entry.Platform{
		Dialect: platform.Dialect{}, Decoder: platform.Decoder{},
		OpenStore: platform.OpenStore, ReadyPath: platform.ReadyPath,
	}, func() (*settings.Entry, error) { return platform.LoadSettings(c.Settings) }, os.Stdout)
	if err != nil {
		return err
	}
	return p.Run(ctx)
}
