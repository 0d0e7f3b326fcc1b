package settings

// This file defines Entry, the settings of an entry host.

import (
	"net/netip"
	"time"
)

// Entry holds the settings that an entry host receives at startup.
type Entry struct {
	// Name is the name of the host.
	Name string
	// Domain is the failure domain of the host, Domains lists all failure domains.
	Domain  string
	Domains []string
	// Callers is the listen address for client traffic, Observe the one for readiness
	// checks.
	Callers netip.AddrPort
	Observe netip.AddrPort
	// Peers is the listen address for the other hosts of the fleet, Metrics the one for
	// metrics.
	Peers   netip.AddrPort
	Metrics netip.AddrPort
	// Store is the address of the metadata store.
	Store netip.AddrPort
	// Source is the local address of connections to targets; the zero value leaves the choice
	// to the system.
	Source netip.Addr
	// FirstStart is set when the whole fleet starts for the first time.
	FirstStart bool
	// MemoryBytes is the memory limit of the host.
	MemoryBytes int64
	// Descriptors is the number of file descriptors that the host may open; zero if unknown.
	Descriptors int
	// Cores is the processor time that the host may use, in cores; zero if unknown.
	Cores     float64
	Heartbeat time.Duration
	// NoAccounts is set if the deployment has no client accounts. If it is not, a request with a key needs a valid
	// one, whether the configuration has accounts or not.
	NoAccounts bool
	Bounds     Bounds
	LogLevel   string
}

// HasAccounts reports whether the deployment has client accounts, at least at times.
func (e *Entry) HasAccounts() bool { return !e.NoAccounts || e.Bounds.StrictRevoke }

// Bounds are the limits and time guarantees of a deployment. The hosts of the fleet must
// satisfy them jointly.
type Bounds struct {
	// RetryRatio and RetrySlack limit the extra attempts (retries and hedges) for the
	// requests to a service, over all hosts. In any RetryWindow there may be RetryRatio
	// times the number of requests, plus RetrySlack.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// ProbesPerSecond limits the load probes per target, over all hosts.
	ProbesPerSecond float64
	// ConfigApply is the maximum time until a confirmed configuration is active.
	ConfigApply time.Duration
	// Drain is the maximum time until a draining target receives no new requests.
	Drain time.Duration
	// Grace is the time between SIGTERM and SIGKILL.
	Grace time.Duration
	// ReregisterTimeout is the time within which targets whose entries expired during an
	// outage of the store register again.
	ReregisterTimeout time.Duration
	// MinLease is the shortest lease duration that the store grants.
	MinLease time.Duration
	// Revoke is the maximum time until a key that was removed from its client account is rejected;
	// if StrictRevoke is set, this holds for hosts that are out of touch, too.
	Revoke       time.Duration
	StrictRevoke bool
	// QuotaOverage and QuotaSlack are the tolerance of the quotas of client accounts: in any
	// QuotaWindow, the requests of an account may exceed its quota by QuotaOverage times the quota,
	// plus QuotaSlack, over all hosts.
	QuotaWindow  time.Duration
	QuotaOverage float64
	QuotaSlack   float64
	// ColdOverage and ColdSlack are the tolerance of the rate of cold targets: in any second, a
	// cold target may get ColdOverage times the requests that it takes a second, plus ColdSlack,
	// over all hosts.
	ColdOverage float64
	ColdSlack   float64
	// Evacuate is the maximum time until the targets of an evacuated failure domain get no new
	// requests.
	Evacuate time.Duration
}
