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

// heapGrowth is the growth of the heap, in per cent, after which it is collected.
// Hosts are small and mostly idle, so memory costs more than collecting.
const heapGrowth = 30

type entryCommand struct {
	Settings string `arg:"" optional:"" help:"Settings file; the platform names it in the environment." env:"TAMARACKTILLER_SETTINGS"`
}

// Run runs an entry host until a signal comes.
func (c *entryCommand) Run(ctx context.Context) error {
	s, err := platform.LoadSettings(c.Settings)
	if err != nil {
		return err
	}
	debug.SetGCPercent(heapGrowth)
	p, err := entry.New(s, entry.Platform{
		Dialect: platform.Dialect{}, Decoder: platform.Decoder{},
		OpenStore: platform.OpenStore, ReadyPath: platform.ReadyPath,
	}, func() (*settings.Entry, error) { return platform.LoadSettings(c.Settings) }, os.Stdout)
	if err != nil {
		return err
	}
	return p.Run(ctx)
}
