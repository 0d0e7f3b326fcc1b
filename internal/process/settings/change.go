package settings

// This file defines Compare, which tells what a change of the settings of a running entry host
// does.

import "slices"

// Effect is when a changed setting is in force.
type Effect int

// The effects of changes.
const (
	// Immediate settings are in force at once.
	Immediate Effect = iota
	// AfterRestart settings are read when the process starts.
	AfterRestart
	// Unused settings have no effect on an entry host.
	Unused
)

// Change is a setting that differs.
type Change struct {
	Name   string
	Effect Effect
}

// Compare returns the settings that differ between two versions.
func Compare(old, next *Entry) []Change {
	settings := []struct {
		name   string
		differ bool
		effect Effect
	}{
		{"name", old.Name != next.Name, AfterRestart},
		{"domain", old.Domain != next.Domain, AfterRestart},
		{"domains", !slices.Equal(old.Domains, next.Domains), Unused},
		{"callers", old.Callers != next.Callers, AfterRestart},
		{"observe", old.Observe != next.Observe, AfterRestart},
		{"peers", old.Peers != next.Peers, AfterRestart},
		{"metrics", old.Metrics != next.Metrics, AfterRestart},
		{"store", old.Store != next.Store, AfterRestart},
		{"source", old.Source != next.Source, AfterRestart},
		{"first-start", old.FirstStart != next.FirstStart, AfterRestart},
		{"memory", old.MemoryBytes != next.MemoryBytes, AfterRestart},
		{"descriptors", old.Descriptors != next.Descriptors, AfterRestart},
		{"cores", old.Cores != next.Cores, AfterRestart},
		{"heartbeat", old.Heartbeat != next.Heartbeat, Unused},
		{"no-accounts", old.NoAccounts != next.NoAccounts, AfterRestart},
		{"log-level", old.LogLevel != next.LogLevel, AfterRestart},
		{"retry-ratio", old.Bounds.RetryRatio != next.Bounds.RetryRatio, Immediate},
		{"retry-slack", old.Bounds.RetrySlack != next.Bounds.RetrySlack, Immediate},
		{"retry-window", old.Bounds.RetryWindow != next.Bounds.RetryWindow, AfterRestart},
		{"probes-per-second", old.Bounds.ProbesPerSecond != next.Bounds.ProbesPerSecond, Immediate},
		{"config-apply", old.Bounds.ConfigApply != next.Bounds.ConfigApply, Unused},
		{"drain", old.Bounds.Drain != next.Bounds.Drain, Unused},
		{"grace", old.Bounds.Grace != next.Bounds.Grace, Immediate},
		{"reregister-timeout", old.Bounds.ReregisterTimeout != next.Bounds.ReregisterTimeout, AfterRestart},
		{"min-lease", old.Bounds.MinLease != next.Bounds.MinLease, Unused},
		{"revoke", old.Bounds.Revoke != next.Bounds.Revoke, Immediate},
		{"strict-revoke", old.Bounds.StrictRevoke != next.Bounds.StrictRevoke, Immediate},
		{"quota-window", old.Bounds.QuotaWindow != next.Bounds.QuotaWindow, Unused},
		{"quota-overage", old.Bounds.QuotaOverage != next.Bounds.QuotaOverage, Unused},
		{"quota-slack", old.Bounds.QuotaSlack != next.Bounds.QuotaSlack, Unused},
		{"cold-overage", old.Bounds.ColdOverage != next.Bounds.ColdOverage, Unused},
		{"cold-slack", old.Bounds.ColdSlack != next.Bounds.ColdSlack, Unused},
		{"evacuate", old.Bounds.Evacuate != next.Bounds.Evacuate, Unused},
	}
	var changes []Change
	for _, s := range settings {
		if s.differ {
			changes = append(changes, Change{Name: s.name, Effect: s.effect})
		}
	}
	return changes
}

// Names returns the names of the changes with an effect.
func Names(changes []Change, effect Effect) []string {
	var names []string
	for _, c := range changes {
		if c.Effect == effect {
			names = append(names, c.Name)
		}
	}
	return names
}
