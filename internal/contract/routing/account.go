package routing

// This file defines the validation and comparison of client accounts.

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

// checkAccounts marks the accounts that cannot be used, and removes the keys that belong to none. The requests
// with a key that several accounts have are refused: it is not known for which one they are.
func (c *Config) checkAccounts() {
	names, owners := make(map[string]bool, len(c.Accounts)), map[string]int{}
	var shared []string
	for i := range c.Accounts {
		a := &c.Accounts[i]
		reason := a.check()
		if reason == "" && names[a.Name] {
			reason = "another account has the same name"
		}
		names[a.Name] = true
		if reason != "" {
			c.AddDefect(PartAccount, a.Name, reason)
			a.Unusable = true
		}
		if a.Unusable {
			a.PerSecond, a.Burst = 0, 0
		}
		c.checkKeys(a)
		for _, key := range a.Keys {
			owner, ok := owners[key]
			if !ok {
				owners[key] = i
				continue
			}
			if owner != i {
				c.AddDefect(PartAccount, a.Name, fmt.Sprintf("one of its keys is also a key of account %q", c.Accounts[owner].Name))
				shared = append(shared, key)
			}
		}
	}
	if len(shared) > 0 {
		c.separateKeys(shared)
	}
}

// checkKeys removes empty keys, which are not sent, and records keys that cannot be sent.
func (c *Config) checkKeys(a *Account) {
	if slices.Contains(a.Keys, "") {
		c.AddDefect(PartAccount, a.Name, "one of its keys is empty")
		a.Keys = slices.DeleteFunc(slices.Clone(a.Keys), func(key string) bool { return key == "" })
	}
	if slices.ContainsFunc(a.Keys, func(key string) bool { return !isHeaderValue(key) }) {
		c.AddDefect(PartAccount, a.Name, "one of its keys contains bytes that a header must not contain")
	}
}

// separateKeys moves keys from the accounts that have them to one that cannot be used.
func (c *Config) separateKeys(keys []string) {
	slices.Sort(keys)
	keys = slices.Compact(keys)
	for i := range c.Accounts {
		a := &c.Accounts[i]
		a.Keys = slices.DeleteFunc(slices.Clone(a.Keys), func(key string) bool {
			_, ok := slices.BinarySearch(keys, key)
			return ok
		})
	}
	c.Accounts = append(c.Accounts, Account{Unusable: true, Keys: keys})
}

// check returns why the account cannot be used; empty if it can.
func (a *Account) check() string {
	switch {
	case a.Name == "":
		return "it has no name"
	case !isHeaderValue(a.Name) || strings.Trim(a.Name, " \t") != a.Name:
		// Targets get the name in a header. They would see another name.
		return "its name cannot be sent in a header"
	case !isLimit(a.PerSecond):
		return "its rate is not a number from 0 on"
	case !isLimit(a.Burst):
		return "its burst is not a number from 0 on"
	}
	return ""
}

// isLimit reports whether v is finite and not negative.
func isLimit(v float64) bool { return v >= 0 && !math.IsInf(v, 1) }

// isHeaderValue reports whether s contains no control characters except tabs.
func isHeaderValue(s string) bool {
	const del = 0x7f
	for i := range len(s) {
		if c := s[i]; c == del || c < ' ' && c != '\t' {
			return false
		}
	}
	return true
}

// Equal reports whether two accounts are the same.
func (a *Account) Equal(b *Account) bool {
	return a.Name == b.Name && a.Priority == b.Priority && a.HasPriority == b.HasPriority && a.Unusable == b.Unusable &&
		a.PerSecond == b.PerSecond && a.Burst == b.Burst && slices.Equal(a.Keys, b.Keys)
}

// NeedsKeys reports whether requests on some route need the key of a client account.
func (c *Config) NeedsKeys() bool {
	return len(c.Accounts) > 0 && slices.ContainsFunc(c.Routes, func(r Route) bool { return !r.Public })
}
