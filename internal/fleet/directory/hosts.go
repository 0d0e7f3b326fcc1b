package directory

// This file defines Host, and what the control state does with the entries of hosts and
// with the secret that they share.

import (
	"bytes"
	"encoding/json"
	"net/netip"
	"slices"
	"time"

	"tamaracktiller.example/tamaracktiller/internal/platform/store"
)

// Host is another process of the fleet, as its entry describes it.
type Host struct {
	Name   string         `json:"name"`
	Domain string         `json:"domain"`
	Peers  netip.AddrPort `json:"peers"`
	// Incarnation tells the runs of a process under one name apart.
	Incarnation string `json:"incarnation"`
}

// KeyKey is the key of the secret that authenticates messages between hosts. The
// first host to start writes it.
const KeyKey = "fleet/secret"

// HostPrefix is the prefix of the hosts' keys.
const HostPrefix = "fleet/hosts/"

func (s *State) applyHost(now time.Time, name string, item store.Item) {
	if item.Deleted {
		s.endHost(now, name)
		return
	}
	var h Host
	if err := json.Unmarshal(item.Value, &h); err != nil || h.Name != name {
		s.warn("entry names no host", map[string]any{fieldHost: name, fieldRevision: item.Revision.String()})
		return
	}
	if name == s.self.Name {
		s.entry = h
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

// endHost takes in the end of a host's entry. Hosts that a copy of the store lacks get some
// time to write theirs again.
func (s *State) endHost(now time.Time, name string) {
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
	s.dropHost(name)
}

func (s *State) dropHost(name string) {
	delete(s.hosts, name)
	delete(s.missing, name)
	s.hostsChanged = true
	s.left = append(s.left, name)
}

// maxNames bounds the names of hosts in a line.
const maxNames = 16

// logHosts logs the hosts that came and went, together, since a fleet that starts
// tells each host of all others.
func (s *State) logHosts() {
	for _, change := range []struct {
		text  string
		names []string
	}{{"hosts joined", s.joined}, {"hosts left", s.left}} {
		if n := len(change.names); n > 0 {
			s.log(change.text, map[string]any{"count": n, "names": change.names[:min(n, maxNames)], "hosts": len(s.hosts), fieldRevision: s.revision.String()})
		}
	}
	s.joined, s.left = nil, nil
}

// maxSecrets bounds the secrets that are accepted.
const maxSecrets = 3

// applySecret takes in the secret of the fleet. One that a copy of the store lacks stays in
// force and is written again; one that it replaces is still accepted, since hosts learn of
// the new one at different times.
func (s *State) applySecret(item store.Item) {
	s.secretStored = !item.Deleted
	if item.Deleted || len(s.secrets) > 0 && bytes.Equal(s.secrets[0], item.Value) {
		return
	}
	rest := slices.DeleteFunc(slices.Clone(s.secrets), func(old []byte) bool { return bytes.Equal(old, item.Value) })
	s.secrets = append([][]byte{item.Value}, rest[:min(len(rest), maxSecrets-1)]...)
	s.log("secret of the fleet is known", map[string]any{"name": keyName(item.Value), "accepted": len(s.secrets), fieldRevision: item.Revision.String()})
}
