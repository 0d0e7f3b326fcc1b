package directory

// This file defines Host, and the parts of State for the entries of hosts and for the
// fleet secret.

import (
	"bytes"
	"encoding/json"
	"math"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"tamaracktiller.example/tamaracktiller/internal/platform/store"
)

// Host describes another process of the fleet. It is stored as JSON in the entry of the
// host.
type Host struct {
	Name        string         `json:"name"`
	Domain      string         `json:"domain"`
	PeerAddress netip.AddrPort `json:"peers"`
	// Incarnation distinguishes the runs of a process under one name.
	Incarnation string `json:"incarnation"`
	// Cores is the processor time that the host may use, in cores; zero if unknown. Entries of
	// earlier versions lack it.
	Cores float64 `json:"cores,omitempty"`
}

// HostWeights returns the function that weighs hosts for work which the fleet shares. Callers are
// spread evenly over hosts, so small hosts have little processor time left for others, and what
// they do for others takes longer: weights grow by the power coresExponent. If the cores of any
// host are unknown, all weights are equal, as on hosts of earlier versions, so that all hosts agree
// on who does what.
func HostWeights(hosts map[string]Host) func(h Host) float64 {
	for _, h := range hosts {
		if h.Cores <= 0 {
			return func(Host) float64 { return 1 }
		}
	}
	return func(h Host) float64 { return math.Pow(h.Cores, coresExponent) }
}

// coresExponent is the exponent of a host's cores in its weight. A host with a fifth of the cores
// of another has a three-thousandth of its weight.
const coresExponent = 5

// SecretKey is the key of the fleet secret, which authenticates messages between hosts.
// The first host to start writes it.
const SecretKey = "fleet/secret"

// HostPrefix is the prefix of the keys of host entries.
const HostPrefix = "fleet/hosts/"

// SizeKey is the key of the largest number of hosts that any process has seen, as a decimal
// number. Entries of hosts may be missing while their processes run, so a process that starts
// must not divide shared limits by the number of entries alone.
const SizeKey = "fleet/size"

// AccountsKey is the key that exists once a configuration had client accounts. A host that starts when the one in force
// has none must know that keys were removed.
const AccountsKey = "fleet/accounts"

// maxFleetSize bounds the number of hosts that is accepted from SizeKey.
const maxFleetSize = 1 << 20

// applySize applies the recorded size of the fleet. Shares stay small if the record is
// deleted or too low.
func (s *State) applySize(item store.Item) {
	s.recordedHosts, s.sizeRevision = 0, item.Revision
	if item.Deleted {
		s.sizeRevision = store.Revision{}
		return
	}
	n, err := strconv.Atoi(string(item.Value))
	if err != nil || n < 0 || n > maxFleetSize {
		s.warn("invalid record of the fleet size", map[string]any{"value": string(item.Value[:min(len(item.Value), maxLoggedValue)]), fieldRevision: item.Revision.String()})
		return
	}
	s.recordedHosts = n
	if s.sizeRecorded.IsZero() {
		s.sizeRecorded = item.Revision
		s.log("size of the fleet is recorded", map[string]any{"recorded": n, fieldHosts: len(s.hosts), "founder": s.isFounder(), fieldRevision: item.Revision.String()})
	}
	if n > s.maxHosts {
		s.log("fleet is larger than the listed hosts", map[string]any{"recorded": n, fieldHosts: len(s.hosts), "before": s.maxHosts, fieldRevision: item.Revision.String()})
		s.maxHosts = n
	}
}

// isFounder reports whether this process registered before the size of the fleet was first
// recorded, and no earlier process of this host did.
func (s *State) isFounder() bool {
	return !s.hasPredecessor && !s.registered.IsZero() && s.sizeRecorded.After(s.registered)
}

// maxLoggedValue bounds the part of an invalid value in a log line, in bytes.
const maxLoggedValue = 32

func (s *State) applyHost(now time.Time, name string, item store.Item) {
	if item.Deleted {
		s.deleteHostEntry(now, name)
		return
	}
	var h Host
	if err := json.Unmarshal(item.Value, &h); err != nil || h.Name != name {
		s.warn("invalid host entry", map[string]any{fieldHost: name, fieldRevision: item.Revision.String()})
		return
	}
	if name == s.self.Name {
		s.entry = h
		s.hasPredecessor = s.hasPredecessor || h.Incarnation != s.self.Incarnation
		if s.registered.IsZero() && h.Incarnation == s.self.Incarnation {
			s.registered = item.Revision
		}
	}
	delete(s.missing, name)
	if s.hosts[name] == h {
		return
	}
	s.hosts[name] = h
	s.hostsChanged = true
	s.maxHosts = max(s.maxHosts, len(s.hosts))
	s.joined = append(s.joined, name)
}

// deleteHostEntry handles the deletion of a host's entry. Hosts that a backup of the
// store lacks are kept for some time, so that they can write their entries again.
func (s *State) deleteHostEntry(now time.Time, name string) {
	if name == s.self.Name {
		s.entry = Host{}
	}
	if _, ok := s.hosts[name]; !ok {
		return
	}
	if now.Before(s.keepUntil) {
		s.missing[name] = s.keepUntil
		return
	}
	s.removeHost(name)
}

func (s *State) removeHost(name string) {
	delete(s.hosts, name)
	delete(s.missing, name)
	s.hostsChanged = true
	s.left = append(s.left, name)
}

// maxLoggedNames bounds the host names in a log line.
const maxLoggedNames = 16

// logHosts logs all hosts that joined in one line, and all that left in another, because a
// host of a starting fleet learns of many others at once.
func (s *State) logHosts() {
	for _, change := range []struct {
		text  string
		names []string
	}{{"hosts joined", s.joined}, {"hosts left", s.left}} {
		if n := len(change.names); n > 0 {
			s.log(change.text, map[string]any{fieldCount: n, "names": change.names[:min(n, maxLoggedNames)], fieldHosts: len(s.hosts), fieldRevision: s.revision.String()})
		}
	}
	s.joined, s.left = nil, nil
}

// maxSecrets bounds the number of secrets that are accepted.
const maxSecrets = 3

// applySecret applies the fleet secret. A secret that a backup of the store lacks stays
// in use and is written again. A replaced secret is still accepted, because hosts learn
// of the new one at different times.
func (s *State) applySecret(item store.Item) {
	s.secretStored = !item.Deleted
	if item.Deleted || len(s.secrets) > 0 && bytes.Equal(s.secrets[0], item.Value) {
		return
	}
	rest := slices.DeleteFunc(slices.Clone(s.secrets), func(old []byte) bool { return bytes.Equal(old, item.Value) })
	s.secrets = append([][]byte{item.Value}, rest[:min(len(rest), maxSecrets-1)]...)
	s.log("secret of the fleet is known", map[string]any{"name": secretID(item.Value), "accepted": len(s.secrets), fieldRevision: item.Revision.String()})
}
