// Package routing defines the routing configuration, which maps requests to services and
// sets limits, and matches requests against it.
//
// A Config is the decoded configuration; a Table is an index of its routes. Both are
// immutable.
//
// # Usage
//
//	t := routing.NewTable(config)
//	r, ok := t.Match("shop.example", "/search/cottages")
//	service := r.Pick(rng.Float64())
package routing

// This file defines Config, Route and Table.

import (
	"sort"
	"strings"
	"time"
)

// Config is one version of the routing configuration.
type Config struct {
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
	// Accounts lists the client accounts. If there are any, requests need the key of one, except
	// on public routes.
	Accounts []Account
	// Defects lists the parts that cannot be applied. MissesRoutes and MissesKeys report whether there may be
	// routes and keys among them that could not be read.
	Defects                  []Defect
	MissesRoutes, MissesKeys bool
}

// Account is a client account.
type Account struct {
	Name string
	// Keys are the secrets that identify the account's clients.
	Keys []string
	// Priority replaces that of the route if HasPriority is set.
	Priority    int
	HasPriority bool
	// PerSecond and Burst limit the requests of the account, over all hosts; a rate of 0 means no
	// limit.
	PerSecond float64
	Burst     float64
	// Unusable is set if the account cannot be applied as it is written. Requests with its keys are refused.
	Unusable bool
}

// Route describes how requests with a host name and a path prefix are handled.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Idempotent requests may run more than once.
	Idempotent bool
	// Timeout bounds the time until the response; 0 means no limit.
	Timeout time.Duration
	// Objective is the maximum latency of a response that meets the service-level objective.
	Objective time.Duration
	// Priority orders requests that compete for a target; 0 is the highest priority.
	Priority int
	// MaxAttempts bounds the number of targets that one request is sent to.
	MaxAttempts int
	// Shares lists the services of the route. A route without a traffic split has one.
	Shares []Share
	// Public routes need no key of a client account.
	Public bool
	// Unusable is set if the route cannot be applied as it is written. Its requests are refused: another
	// route with a shorter prefix is not theirs.
	Unusable bool
}

// Share is a service of a route and its weight in the traffic split.
type Share struct {
	Service string
	Weight  float64
}

// Service is a set of interchangeable targets.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is the number of connections that one target accepts in total, from
	// all its clients.
	MaxConnections int
	// ColdTime is the time for which a target is cold after it starts, and ColdPerSecond the number
	// of requests a second that a cold target takes, over all hosts; 0 means no limit.
	ColdTime      time.Duration
	ColdPerSecond float64
	// Unusable is set if the service cannot be applied as it is written. Requests to it are refused.
	Unusable bool
}

// Limits bounds the size of client requests and the time that clients may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table matches requests to routes.
type Table struct {
	Config *Config
	byHost map[string][]*Route
}

// NewTable returns the table of a configuration.
func NewTable(c *Config) *Table {
	t := &Table{Config: c, byHost: map[string][]*Route{}}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := HostName(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, routes := range t.byHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	return t
}

// Match returns the route of a host name, as HostName returns it, whose prefix is the longest that
// matches the path.
func (t *Table) Match(host, path string) (*Route, bool) {
	for _, r := range t.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Pick selects a service with probability proportional to the weights of the shares, given
// a random number u that is uniformly distributed in [0, 1). It returns "" for a route without shares.
func (r *Route) Pick(u float64) string {
	total := 0.0
	for _, s := range r.Shares {
		total += s.Weight
	}
	u *= total
	for _, s := range r.Shares {
		if u < s.Weight {
			return s.Service
		}
		u -= s.Weight
	}
	if len(r.Shares) == 0 {
		return ""
	}
	return r.Shares[len(r.Shares)-1].Service
}
