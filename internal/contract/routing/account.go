package routing

// This file defines the validation and comparison of client accounts.

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

// MaxNameBytes bounds the name of an account. Hosts send it to each other in datagrams, which carry at
// most 1,400 bytes.
const MaxNameBytes = 256

// MaxKeyBytes is the maximum length of a key.
const MaxKeyBytes = 256

// AccountError reports an invalid client account. It never contains a key.
type AccountError struct {
	// Account is the name of the account; empty if it has none.
	Account string
	Reason  string
}

// Error implements error.
func (e *AccountError) Error() string {
	return fmt.Sprintf("routing: client account %q: %s", e.Account, e.Reason)
}

// CheckAccounts returns an *AccountError for the first invalid account.
func CheckAccounts(accounts []Account) error {
	names := make(map[string]bool, len(accounts))
	owners := map[string]string{}
	for i := range accounts {
		a := &accounts[i]
		reason := a.check()
		if reason == "" && names[a.Name] {
			reason = "another account has the same name"
		}
		names[a.Name] = true
		for _, key := range a.Keys {
			if owner, ok := owners[key]; ok && reason == "" {
				reason = fmt.Sprintf("one of its keys is listed twice, first for account %q", owner)
			}
			owners[key] = a.Name
		}
		if reason != "" {
			return &AccountError{Account: a.Name, Reason: reason}
		}
	}
	return nil
}

// check returns why the account is invalid by itself; empty if it is valid.
func (a *Account) check() string {
	switch {
	case a.Name == "":
		return "it has no name"
	case !isHeaderValue(a.Name) || strings.Trim(a.Name, " \t") != a.Name:
		// Targets get the name in a header. They would see another name.
		return "its name cannot be sent in a header"
	case len(a.Name) > MaxNameBytes:
		return fmt.Sprintf("its name has %d bytes, the limit is %d", len(a.Name), MaxNameBytes)
	case !isLimit(a.PerSecond):
		return "its rate is not a number from 0 on"
	case !isLimit(a.Burst):
		return "its burst is not a number from 0 on"
	}
	for _, key := range a.Keys {
		switch {
		case key == "":
			return "one of its keys is empty"
		case len(key) > MaxKeyBytes:
			return fmt.Sprintf("one of its keys has %d bytes, the limit is %d", len(key), MaxKeyBytes)
		case !isHeaderValue(key):
			return "one of its keys contains bytes that a header must not contain"
		}
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
	return a.Name == b.Name && a.Priority == b.Priority && a.HasPriority == b.HasPriority &&
		a.PerSecond == b.PerSecond && a.Burst == b.Burst && slices.Equal(a.Keys, b.Keys)
}

// NeedsKeys reports whether requests on some route need the key of a client account.
func (c *Config) NeedsKeys() bool {
	return len(c.Accounts) > 0 && slices.ContainsFunc(c.Routes, func(r Route) bool { return !r.Public })
}
