// Package directory keeps a host's view of the fleet: the configuration in force,
// the targets and the other hosts, as the metadata store holds them.
//
// One goroutine applies what the store and other hosts tell, and publishes
// immutable snapshots for traffic. Items carry the store's revision, so that the
// order in which sources tell of a key does not matter: the newest revision wins.
// The configuration's version only goes up.
//
// # Usage
//
//	d := directory.New(cfg, group)
//	err := d.Start(ctx)
//	s := d.Snapshot()
//	route, ok := s.Table.Match(host, path)
//	targets := s.Targets[service]
package directory

// This file defines State, the control state without I/O, and Snapshot.

import (
	"encoding/json"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"

	"tamaracktiller.example/tamaracktiller/internal/contract/routing"
	"tamaracktiller.example/tamaracktiller/internal/fleet/roster"
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

// Decoder turns items of the store into what they describe.
type Decoder interface {
	// IsConfig reports whether the key holds the configuration.
	IsConfig(key string) bool
	// Config decodes a configuration.
	Config(data []byte) (*routing.Config, error)
	// TargetID returns the id of the target that the key describes.
	TargetID(key string) (string, bool)
	// Target decodes the entry of a target.
	Target(id string, data []byte) (roster.Target, error)
}

// Snapshot is the view of a moment. It is immutable.
type Snapshot struct {
	// Table is nil while no configuration is known.
	Table *routing.Table
	// Targets are the targets that may get new work, by service.
	Targets map[string][]roster.Active
	// Hosts are the hosts with an entry, by name, and HostChanges counts their changes.
	Hosts       map[string]Host
	HostChanges int
	// place is the own place in the tree over which changes spread.
	place place
	// Key authenticates messages between hosts; nil while none is known.
	Key []byte
	// MaxHosts is the highest number of hosts that may exist.
	MaxHosts int
	// Revision is the highest revision of the store that was taken in.
	Revision uint64
	// Changed counts the changes of the targets.
	Changed int
}

// known is what is known of a key.
type known struct {
	revision uint64
	deleted  bool
}

// Names of log fields.
const (
	fieldRevision = "revision"
	fieldHost     = "host"
)

// Line is a change to log.
type Line struct {
	Text   string
	Fields map[string]any
	Warn   bool
}

// State is the control state. It is not safe for concurrent use.
type State struct {
	self    Host
	decoder Decoder
	// taken is called for each item that is newer than what was known of its key.
	taken    func(store.Item)
	keys     map[string]known
	roster   *roster.Roster
	table    *routing.Table
	hosts    map[string]Host
	maxHosts int
	// last is the latest snapshot. Its maps serve the next one unless hostsChanged or
	// targetsChanged.
	last                         *Snapshot
	hostsChanged, targetsChanged bool
	// joined and left are the names of hosts that came and went since the last lines.
	joined, left []string
	key          []byte
	revision     uint64
	changes      int
	lines        []Line
	// restarted lists targets that are new under their id.
	restarted []string
}

// NewState returns the state of the host self, which knows nothing. taken is called for
// each item that is newer than what was known of its key.
func NewState(self Host, decoder Decoder, returnTime time.Duration, taken func(store.Item)) *State {
	return &State{
		self: self, decoder: decoder, taken: taken, keys: map[string]known{}, roster: roster.New(returnTime), hosts: map[string]Host{},
		last: &Snapshot{}, hostsChanged: true, targetsChanged: true,
	}
}

// Outage notes that the store was away until now.
func (s *State) Outage(now time.Time) { s.roster.Outage(now) }

// Load takes in a full read of the store: keys that it lacks have ended. It reports
// whether anything was new.
func (s *State) Load(now time.Time, page store.Page) (changed bool) {
	listed := make(map[string]bool, len(page.Items))
	before, missed := s.revision, 0
	for _, item := range page.Items {
		listed[item.Key] = true
		if s.Apply(now, item) {
			changed = true
			if item.Revision <= before {
				missed++
			}
		}
	}
	if missed > 0 && len(s.keys) > missed {
		s.warn("a full read found changes that were not told", map[string]any{"count": missed, fieldRevision: before})
	}
	for key, k := range s.keys {
		if !listed[key] && !k.deleted && k.revision <= page.Revision {
			changed = s.Apply(now, store.Item{Key: key, Revision: page.Revision, Deleted: true}) || changed
		}
	}
	s.revision = max(s.revision, page.Revision)
	return changed
}

// Apply takes in one item, unless something as new is known of its key. It reports
// whether it did.
func (s *State) Apply(now time.Time, item store.Item) bool {
	if k, ok := s.keys[item.Key]; ok && k.revision >= item.Revision {
		return false
	}
	s.keys[item.Key] = known{revision: item.Revision, deleted: item.Deleted}
	s.revision = max(s.revision, item.Revision)
	s.taken(item)
	if s.decoder.IsConfig(item.Key) {
		s.applyConfig(item)
	} else if id, ok := s.decoder.TargetID(item.Key); ok {
		s.applyTarget(now, id, item)
	} else if item.Key == KeyKey && !item.Deleted {
		s.key = item.Value
	} else if name, ok := strings.CutPrefix(item.Key, HostPrefix); ok {
		s.applyHost(name, item)
	}
	return true
}

func (s *State) applyConfig(item store.Item) {
	if item.Deleted {
		s.warn("configuration was deleted; the one in force stays", map[string]any{fieldRevision: item.Revision})
		return
	}
	c, err := s.decoder.Config(item.Value)
	if err != nil {
		s.warn("configuration cannot be read; the one in force stays", map[string]any{fieldRevision: item.Revision, "error": err.Error()})
		return
	}
	if s.table != nil && c.Version <= s.table.Config.Version {
		s.log("configuration is not newer", map[string]any{"version": c.Version, "in-force": s.table.Config.Version, fieldRevision: item.Revision})
		return
	}
	s.table = routing.NewTable(c)
	s.log("configuration is in force", map[string]any{"version": c.Version, "routes": len(c.Routes), fieldRevision: item.Revision})
}

func (s *State) applyTarget(now time.Time, id string, item store.Item) {
	if item.Deleted {
		s.targetChanged(id, item.Revision, s.roster.Remove(now, id))
		return
	}
	t, err := s.decoder.Target(id, item.Value)
	if err != nil {
		s.warn("entry names no target", map[string]any{"target": id, fieldRevision: item.Revision, "error": err.Error()})
		s.targetChanged(id, item.Revision, s.roster.Remove(now, id))
		return
	}
	s.targetChanged(id, item.Revision, s.roster.Put(now, t))
}

func (s *State) targetChanged(id string, revision uint64, c roster.Change) {
	s.changes++
	s.targetsChanged = true
	if c == roster.Unchanged {
		return
	}
	if c == roster.Restarted {
		s.restarted = append(s.restarted, id)
	}
	s.log("target "+c.String(), map[string]any{"target": id, fieldRevision: revision, "targets": s.roster.Targets()})
}

func (s *State) applyHost(name string, item store.Item) {
	if item.Deleted {
		if _, ok := s.hosts[name]; ok {
			delete(s.hosts, name)
			s.hostsChanged = true
			s.left = append(s.left, name)
		}
		return
	}
	var h Host
	if err := json.Unmarshal(item.Value, &h); err != nil || h.Name != name {
		s.warn("entry names no host", map[string]any{fieldHost: name, fieldRevision: item.Revision})
		return
	}
	if s.hosts[name] == h {
		return
	}
	s.hosts[name] = h
	s.hostsChanged = true
	s.maxHosts = max(s.maxHosts, len(s.hosts))
	s.joined = append(s.joined, name)
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
			s.log(change.text, map[string]any{"count": n, "names": change.names[:min(n, maxNames)], "hosts": len(s.hosts), fieldRevision: s.revision})
		}
	}
	s.joined, s.left = nil, nil
}

// Tick lets go of what is due.
func (s *State) Tick(now time.Time) (changed bool) {
	s.roster.Expire(now, func(id string, c roster.Change) {
		changed = true
		s.targetChanged(id, s.revision, c)
	})
	return changed
}

// Snapshot returns the present view.
func (s *State) Snapshot() *Snapshot {
	next := *s.last
	next.Table, next.Key, next.MaxHosts, next.Revision, next.Changed = s.table, s.key, s.maxHosts, s.revision, s.changes
	if s.hostsChanged {
		next.Hosts = maps.Clone(s.hosts)
		next.HostChanges++
		next.place = findPlace(ranking(next.Hosts), s.self.Name, s.self.Domain)
	}
	if s.targetsChanged {
		next.Targets = s.roster.Active()
	}
	s.hostsChanged, s.targetsChanged = false, false
	s.last = &next
	return s.last
}

// TakeLines returns the changes to log since the last call.
func (s *State) TakeLines() []Line {
	s.logHosts()
	lines := s.lines
	s.lines = nil
	return lines
}

// TakeRestarted returns the targets that started again since the last call.
func (s *State) TakeRestarted() []string {
	ids := slices.Clone(s.restarted)
	s.restarted = s.restarted[:0]
	return ids
}

func (s *State) log(text string, fields map[string]any) {
	s.lines = append(s.lines, Line{Text: text, Fields: fields})
}

func (s *State) warn(text string, fields map[string]any) {
	s.lines = append(s.lines, Line{Text: text, Fields: fields, Warn: true})
}
