package main

// This file defines the command that runs an entry host on the platform.

import (
	"context"
	"os"
	"runtime/debug"

	"tamaracktiller.example/tamaracktiller/internal/intake/resource"
	"tamaracktiller.example/tamaracktiller/internal/process/entry"
	"tamaracktiller.example/tamaracktiller/internal/process/settings"
	"tamaracktiller.example/tamaracktiller/platform"
)

// gcPercent is the garbage collection target percentage (GOGC). It is low because entry
// hosts are small and mostly idle, so memory costs more than garbage collection.
const gcPercent = 30

type entryCommand struct {
	Settings   string `arg:"" optional:"" help:"Settings file; the platform sets its path in the environment." env:"TAMARACKTILLER_SETTINGS"`
	BindSource bool   `help:"Open connections to targets from the address that serves callers, so that targets and firewalls can tell hosts on one machine apart."`
}

// load reads the settings.
func (c *entryCommand) load() (*settings.Entry, error) {
	s, err := platform.LoadSettings(c.Settings)
	if err == nil && c.BindSource {
		s.Source = s.Callers.Addr()
	}
	return s, err
}

// Run runs an entry host until it receives a signal.
func (c *entryCommand) Run(ctx context.Context, hangups chan os.Signal) error {
	s, err := c.load()
	if err != nil {
		return err
	}
	debug.SetGCPercent(gcPercent)
	if limit := resource.LimitsOf(s.MemoryBytes, s.Descriptors).RuntimeBytes; limit > 0 {
		debug.SetMemoryLimit(limit)
	}
	p, err := entry.New(s, entry.Platform{
		Dialect: platform.Dialect{}, Decoder: platform.Decoder{},
		OpenStore: platform.OpenStore, ReadyPath: platform.ReadyPath, Hangups: hangups,
	}, c.load, os.Stdout)
	if err != nil {
		return err
	}
	return p.Run(ctx)
}
