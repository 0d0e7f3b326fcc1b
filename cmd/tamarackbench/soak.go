package main

// This file defines the soak command.

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"tamaracktiller.example/tamaracktiller/internal/bench/soak"
)

type soakCommand struct {
	Seed        uint64        `default:"1" help:"Seed of the first run."`
	Runs        int           `default:"1" help:"Number of runs, with consecutive seeds."`
	Length      time.Duration `default:"20s" help:"Duration of a run."`
	Hosts       int           `default:"5" help:"Number of hosts."`
	Targets     int           `default:"6" help:"Number of targets."`
	Callers     int           `default:"24" help:"Number of callers."`
	QuotaRate   float64       `default:"5" help:"Quota of a client account, in requests a second; 0 for no such account."`
	QuotaBurst  float64       `default:"5" help:"Burst of that account."`
	Only        []soak.Kind   `help:"Kinds of faults to inject; default all."`
	Binary      string        `default:"bin/tamaracktiller" type:"existingfile" help:"Path of the load balancer binary."`
	UpgradeFrom string        `type:"existingfile" help:"Path of an older binary with which the hosts start; each restart brings the other one."`
	Downgrade   bool          `help:"Start with the binary, and let each restart bring the older one."`
	Dir         string        `default:"run/soak" help:"Directory for logs and results."`
}

// Run runs the soak test, writes the results of each run to its directory, and prints a
// summary and the violations per run.
func (c *soakCommand) Run(ctx context.Context) error {
	violations := 0
	for n := range c.Runs {
		seed := c.Seed + uint64(n)
		dir := filepath.Join(c.Dir, fmt.Sprintf("seed-%d", seed))
		result, err := soak.Run(ctx, soak.Config{
			Seed: seed, Length: c.Length, Hosts: c.Hosts, Targets: c.Targets, Callers: c.Callers, Quota: soak.Quota{PerSecond: c.QuotaRate, Burst: c.QuotaBurst}, Only: c.Only, Binary: c.Binary, UpgradeFrom: c.UpgradeFrom, Downgrade: c.Downgrade, Dir: dir,
			Progress: func(at time.Duration, requests int) {
				fmt.Fprintf(os.Stderr, "\rseed %d: %4.1f of %s, %d requests ", seed, at.Seconds(), c.Length, requests)
			},
		})
		fmt.Fprintln(os.Stderr)
		if err != nil {
			return err
		}
		if err := result.Write(dir); err != nil {
			return err
		}
		fmt.Printf("seed %d: %d faults, %d versions, statuses %s, late in stops %s (%d judged), %d configuration probes, %d pauses, %d leavers, bad keys %s (%d judged as removed), account with a quota %s, %d violations\n", seed, len(result.Faults), result.Versions, toJSON(result.Statuses), toJSON(result.LateStatuses), result.LateRequests, result.Probes, result.JudgedPauses, result.Leavers, toJSON(result.BadKeyStatuses), result.RemovedKeyRequests, toJSON(result.LimitedStatuses), len(result.Violations))
		for _, v := range result.Violations {
			fmt.Printf("  %.3f s %s: %s %s\n", v.At.Seconds(), v.Guarantee, v.Request, v.Text)
		}
		violations += len(result.Violations)
	}
	if violations > 0 {
		return errors.Errorf("%d guarantees were violated; logs and timelines are in %s", violations, c.Dir)
	}
	return nil
}

func toJSON(v any) string {
	data, err := json.Marshal(v)
	if err != nil {
		return err.Error()
	}
	return string(data)
}
