// Package directory keeps a host's view of the fleet: the configuration in force,
// the targets and the other hosts, as the metadata store holds them.
//
// One goroutine applies what the store and other hosts tell, and publishes
// immutable snapshots for traffic. Items carry the store's revision, so that the
// order in which sources tell of a key does not matter: the newest revision wins. A
// view's age tells since when it may lack something. The configuration's version only
// goes up.
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
	"bytes"
	"maps"
	"slices"
	"strings"
	"time"

	"tamaracktiller.example/tamaracktiller/internal/contract/routing"
	"tamaracktiller.example/tamaracktiller/internal/fleet/roster"
	"tamaracktiller.example/tamaracktiller/internal/platform/store"
)

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
	// Keys authenticate messages between hosts: the newest signs, and older ones are still
	// accepted. None is known at first.
	Keys [][]byte
	// KeyStored says that the store holds the newest key, and Entry is the own host's
	// entry there.
	KeyStored bool
	Entry     Host
	// MaxHosts is the highest number of hosts that may exist.
	MaxHosts int
	// Revision is the highest revision of the store that was taken in.
	Revision store.Revision
	// Changed counts the changes of the targets.
	Changed int
}

// Key returns the key that signs messages between hosts; nil while none is known.
func (s *Snapshot) Key() []byte {
	if len(s.Keys) == 0 {
		return nil
	}
	return s.Keys[0]
}

// known is what is known of a key.
type known struct {
	revision store.Revision
	deleted  bool
	// value is the last one. It outlives the key: a copy of the store may bring it back.
	value []byte
}

// Names of log fields.
const (
	fieldRevision = "revision"
	fieldHost     = "host"
	fieldTarget   = "target"
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
	keys         map[string]known
	secrets      [][]byte
	secretStored bool
	// entry is that of the own host in the store.
	entry      Host
	revision   store.Revision
	returnTime time.Duration
	// missing holds the hosts whose entries a copy of the store lacks, and when they
	// count as gone, and keepUntil the time until which hosts are kept so.
	missing   map[string]time.Time
	keepUntil time.Time
	changes   int
	lines     []Line
	// restarted lists targets that are new under their id.
	restarted []string
}

// NewState returns the state of the host self, which knows nothing. taken is called for
// each item that is newer than what was known of its key.
func NewState(self Host, decoder Decoder, returnTime time.Duration, taken func(store.Item)) *State {
	return &State{
		self: self, decoder: decoder, taken: taken, keys: map[string]known{}, roster: roster.New(returnTime), hosts: map[string]Host{},
		returnTime: returnTime, missing: map[string]time.Time{},
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
	if len(s.keys) > 0 && page.Revision.Era > before.Era {
		s.comeBack(now, page.Revision)
		changed = true
	}
	for _, item := range page.Items {
		listed[item.Key] = true
		if s.Apply(now, item) {
			changed = true
			if item.Revision.Era == before.Era && !item.Revision.After(before) {
				missed++
			}
		}
	}
	if missed > 0 && len(s.keys) > missed {
		s.warn("a full read found changes that were not told", map[string]any{"count": missed, fieldRevision: before.String()})
	}
	for key, k := range s.keys {
		if !listed[key] && !k.deleted && !k.revision.After(page.Revision) {
			changed = s.Apply(now, store.Item{Key: key, Revision: page.Revision, Deleted: true}) || changed
		}
	}
	s.revision = store.Latest(s.revision, page.Revision)
	return changed
}

// comeBack prepares for a store that came back from a copy: what the copy lacks may be
// written again.
func (s *State) comeBack(now time.Time, revision store.Revision) {
	s.warn("store came back from a copy", map[string]any{fieldRevision: revision.String(), "before": s.revision.String()})
	s.roster.Outage(now)
	s.keepUntil = now.Add(s.returnTime)
}

// Apply takes in one item, unless something as new is known of its key. It reports
// whether it did.
func (s *State) Apply(now time.Time, item store.Item) bool {
	old, ok := s.keys[item.Key]
	if ok && !item.Revision.After(old.revision) {
		return false
	}
	next := known{revision: item.Revision, deleted: item.Deleted, value: item.Value}
	if item.Deleted {
		next.value = old.value
	}
	s.keys[item.Key] = next
	s.revision = store.Latest(s.revision, item.Revision)
	s.taken(item)
	if old.copiedAs(item) {
		return true
	}
	if s.decoder.IsConfig(item.Key) {
		s.applyConfig(item)
	} else if id, ok := s.decoder.TargetID(item.Key); ok {
		s.applyTarget(now, id, item, old)
	} else if item.Key == KeyKey {
		s.applySecret(item)
	} else if name, ok := strings.CutPrefix(item.Key, HostPrefix); ok {
		s.applyHost(now, name, item)
	}
	return true
}

// copiedAs reports whether an item is the same write in a copy of the store.
func (k *known) copiedAs(item store.Item) bool {
	return k.revision.Era < item.Revision.Era && k.revision.Number == item.Revision.Number &&
		!k.deleted && !item.Deleted && bytes.Equal(k.value, item.Value)
}

func (s *State) applyConfig(item store.Item) {
	if item.Deleted {
		s.warn("configuration was deleted; the one in force stays", map[string]any{fieldRevision: item.Revision.String()})
		return
	}
	c, err := s.decoder.Config(item.Value)
	if err != nil {
		s.warn("configuration cannot be read; the one in force stays", map[string]any{fieldRevision: item.Revision.String(), "error": err.Error()})
		return
	}
	if s.table != nil && c.Version <= s.table.Config.Version {
		s.log("configuration is not newer", map[string]any{"version": c.Version, "in-force": s.table.Config.Version, fieldRevision: item.Revision.String()})
		return
	}
	s.table = routing.NewTable(c)
	s.log("configuration is in force", map[string]any{"version": c.Version, "routes": len(c.Routes), fieldRevision: item.Revision.String()})
}

func (s *State) applyTarget(now time.Time, id string, item store.Item, old known) {
	if item.Deleted {
		s.targetChanged(id, item.Revision, s.roster.Remove(now, id))
		return
	}
	t, err := s.decoder.Target(id, item.Value)
	if err != nil {
		s.warn("entry names no target", map[string]any{fieldTarget: id, fieldRevision: item.Revision.String(), "error": err.Error()})
		s.targetChanged(id, item.Revision, s.roster.Remove(now, id))
		return
	}
	if s.isOutdated(id, t, item.Revision, old) {
		s.log("entry of a copy is older than what is known", map[string]any{
			fieldTarget: id, "sequence": t.Sequence, "known": old.revision.String(), "ended": old.deleted, fieldRevision: item.Revision.String(),
		})
		return
	}
	s.targetChanged(id, item.Revision, s.roster.Put(now, t))
}

// isOutdated reports whether the entry of a target that a copy of the store brings back was
// written before what is known of it, by the target's own count.
func (s *State) isOutdated(id string, t roster.Target, revision store.Revision, old known) bool {
	if old.value == nil || old.revision.Era >= revision.Era {
		return false
	}
	last, err := s.decoder.Target(id, old.value)
	if err != nil {
		return false
	}
	if old.deleted {
		return !t.WrittenAfter(last)
	}
	return last.WrittenAfter(t)
}

func (s *State) targetChanged(id string, revision store.Revision, c roster.Change) {
	s.changes++
	s.targetsChanged = true
	if c == roster.Unchanged {
		return
	}
	if c == roster.Restarted {
		s.restarted = append(s.restarted, id)
	}
	s.log("target "+c.String(), map[string]any{fieldTarget: id, fieldRevision: revision.String(), "targets": s.roster.Targets()})
}

// Tick lets go of what is due.
func (s *State) Tick(now time.Time) (changed bool) {
	s.roster.Expire(now, func(id string, c roster.Change) {
		changed = true
		s.targetChanged(id, s.revision, c)
	})
	for name, until := range s.missing {
		if now.After(until) {
			s.dropHost(name)
			changed = true
		}
	}
	return changed
}

// Snapshot returns the present view.
func (s *State) Snapshot() *Snapshot {
	next := *s.last
	next.Table, next.MaxHosts, next.Revision, next.Changed = s.table, s.maxHosts, s.revision, s.changes
	next.Keys, next.KeyStored, next.Entry = s.secrets, s.secretStored, s.entry
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
