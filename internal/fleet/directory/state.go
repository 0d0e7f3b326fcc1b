// Package directory maintains a host's view of the fleet: the active configuration, the
// targets and the other hosts, as stored in the metadata store.
//
// One goroutine applies the changes received from the store and from other hosts, and
// publishes immutable snapshots for request routing. Items carry the revision of the
// store, so they may arrive in any order: the newest revision of a key wins. The age of a
// view is the time for which it may lack changes. The version of the configuration never
// decreases.
//
// # Usage
//
//	d := directory.New(cfg, group)
//	err := d.Start(ctx)
//	s := d.Snapshot()
//	route, ok := s.Table.Match(host, path)
//	targets := s.Targets[service]
package directory

// This file defines State, the view as a state machine without I/O, and Snapshot.

import (
	"bytes"
	"maps"
	"slices"
	"strings"
	"time"

	"tamaracktiller.example/tamaracktiller/internal/account/keyring"
	"tamaracktiller.example/tamaracktiller/internal/contract/routing"
	"tamaracktiller.example/tamaracktiller/internal/fleet/roster"
	"tamaracktiller.example/tamaracktiller/internal/platform/store"
)

// Decoder decodes items of the store.
type Decoder interface {
	// IsConfig reports whether the key is that of the configuration.
	IsConfig(key string) bool
	// Config decodes a configuration.
	Config(data []byte) (*routing.Config, error)
	// TargetID returns the ID of the target whose entry has this key.
	TargetID(key string) (string, bool)
	// Target decodes the entry of a target.
	Target(id string, data []byte) (roster.Target, error)
	// EvacuatedDomain returns the failure domain that is evacuated while this key exists, and
	// false if the key is not that of an evacuation.
	EvacuatedDomain(key string) (domain string, ok bool)
}

// Snapshot is an immutable copy of the view.
type Snapshot struct {
	// Table is the routing table; nil while no configuration is known.
	Table *routing.Table
	// Keys is the index of the keys of client accounts; nil if the deployment has none. It is empty if it has, or had,
	// but the configuration in force has none.
	Keys *keyring.Keyring
	// AccountsSeen reports whether any configuration had accounts, and AccountsStored whether the store holds
	// that.
	AccountsSeen, AccountsStored bool
	// ConfigUnreadable reports whether the store holds a newer configuration, which cannot be read.
	ConfigUnreadable bool
	// Targets lists the targets that may get new requests, by service.
	Targets map[string][]roster.ActiveTarget
	// Withheld lists the targets that get no new requests although they have an entry, by service.
	// It is nil if there are none.
	Withheld map[string][]roster.WithheldTarget
	// Evacuated holds the failure domains that are evacuated; nil if none is.
	Evacuated map[string]bool
	// Hosts holds the hosts with an entry, by name, and HostChanges counts the changes to
	// it.
	Hosts       map[string]Host
	HostChanges int
	// position is the position of this host in the tree over which changes spread.
	position treePosition
	// Secrets holds the fleet secrets, which authenticate messages between hosts. The
	// newest comes first and signs messages; older ones are still accepted. It is empty
	// until the first one is known.
	Secrets [][]byte
	// SecretStored reports whether the store holds the newest secret, and Entry is the
	// entry of this host in the store.
	SecretStored bool
	Entry        Host
	// Founder reports whether this process registered before the size of the fleet was first
	// recorded, and no earlier process of this host did.
	Founder bool
	// MaxHosts is the largest number of hosts seen so far, by this process or according to
	// the store. Limits that the hosts share are divided by it.
	MaxHosts int
	// RecordedHosts is the largest number of hosts according to the store, and SizeRevision
	// the revision of that record; zero if there is none.
	RecordedHosts int
	SizeRevision  store.Revision
	// Blocked holds the fingerprints of the requests that must not be sent to any target, and BlockedChanges
	// counts its changes.
	Blocked        map[uint64]bool
	BlockedChanges int
	// Revision is the highest revision of the store that was applied.
	Revision store.Revision
	// TargetChanges counts the changes to the targets.
	TargetChanges int
}

// configVersion returns the version of the configuration in force; 0 for none.
func (s *Snapshot) configVersion() uint64 {
	if s.Table == nil {
		return 0
	}
	return s.Table.Config.Version
}

// Secret returns the secret that signs messages between hosts; nil while none is known.
func (s *Snapshot) Secret() []byte {
	if len(s.Secrets) == 0 {
		return nil
	}
	return s.Secrets[0]
}

// keyState is the last known state of a key of the store.
type keyState struct {
	revision store.Revision
	deleted  bool
	// value is the last value. It is kept after a deletion, because a backup may bring
	// the key back.
	value []byte
}

const (
	// tombstoneRetention is the time for which the state of a deleted key is kept. Until then, what a
	// slow host or a backup of the store brings back is recognized as old.
	tombstoneRetention = 10 * time.Minute
	// maxTombstones bounds the deleted keys that are kept.
	maxTombstones = 1 << 14
)

// tombstone is a deleted key.
type tombstone struct {
	key      string
	revision store.Revision
	at       time.Time
}

// Names of log fields.
const (
	fieldRevision = "revision"
	fieldHost     = "host"
	fieldHosts    = "hosts"
	fieldTarget   = "target"
	fieldTargets  = "targets"
	fieldCount    = "count"
	fieldError    = "error"
	fieldSequence = "sequence"
	fieldVersion  = "version"
)

// LogLine is a log line.
type LogLine struct {
	Text   string
	Fields map[string]any
	Warn   bool
}

// State is the view as a state machine. It is not safe for concurrent use.
type State struct {
	self    Host
	decoder Decoder
	// onItem is called for each item that is newer than the known state of its key.
	onItem  func(store.Item)
	roster  *roster.Roster
	table   *routing.Table
	keyring *keyring.Keyring
	// hasAccounts is set if the deployment has client accounts according to the settings of the host.
	hasAccounts bool
	// accountsSeen is set if any configuration had client accounts, by this process or according to the store,
	// and accountsStored if the store holds that. noKeys is the index of a configuration without accounts then.
	accountsSeen, accountsStored bool
	noKeys                       *keyring.Keyring
	// configValue is the encoded configuration in force, and configAhead is set if the store holds an older one.
	configValue []byte
	configAhead bool
	// configUnreadable is set if the newest configuration cannot be read.
	configUnreadable bool
	hosts            map[string]Host
	maxHosts         int
	// last is the latest snapshot. The next one shares its maps unless hostsChanged or
	// targetsChanged is set.
	last                         *Snapshot
	hostsChanged, targetsChanged bool
	// joined and left are the names of the hosts that joined and left since the last call
	// of TakeLogLines.
	joined, left []string
	keys         map[string]keyState
	// tombstones holds the deleted keys in the order of their deletions.
	tombstones []tombstone
	// order knows which entries targets wrote last, and setAside holds those that the store applied
	// later although they are older, by key.
	order        *roster.Order
	setAside     map[string]setAsideEntry
	secrets      [][]byte
	secretStored bool
	// entry is the entry of this host in the store.
	entry          Host
	hasPredecessor bool
	// registered is the revision of the first entry of this process, and sizeRecorded that of
	// the first record of the fleet size which was seen; zero if there is none.
	registered, sizeRecorded store.Revision
	// recordedHosts is the value of SizeKey and sizeRevision its revision; zero if there is
	// none.
	recordedHosts     int
	sizeRevision      store.Revision
	revision          store.Revision
	reregisterTimeout time.Duration
	// missing maps the hosts whose entries a backup of the store lacks to the time at
	// which they are removed. keepUntil is the time until which such hosts are kept.
	missing   map[string]time.Time
	keepUntil time.Time
	changes   int
	lines     []LogLine
	// loading is set during the first full read, loadedRevision is the revision of that read, and
	// loadedTargets lists the targets that it found since the last call of TakeLogLines.
	loading        bool
	loadedRevision store.Revision
	loadedTargets  []string
	// changed holds the targets whose entries have changed since the last call of TakeRestarted, as
	// they were then.
	changed map[string]roster.Target
	// blocked holds the fingerprints of blocked requests, and blockedChanges counts its changes.
	blocked        map[uint64]bool
	blockedChanges int
	// unknownEvacuated holds the evacuated failure domains that no host and no target was in when
	// the evacuation was logged last.
	unknownEvacuated map[string]bool
}

// NewState returns an empty state for the host self. onItem is called for each item that
// is newer than the known state of its key.
func NewState(self Host, decoder Decoder, reregisterTimeout time.Duration, onItem func(store.Item)) *State {
	return &State{
		self: self, decoder: decoder, onItem: onItem, keys: map[string]keyState{}, roster: roster.New(reregisterTimeout), order: roster.NewOrder(), noKeys: keyring.None(), changed: map[string]roster.Target{}, setAside: map[string]setAsideEntry{}, hosts: map[string]Host{},
		reregisterTimeout: reregisterTimeout, missing: map[string]time.Time{},
		last: &Snapshot{}, hostsChanged: true, targetsChanged: true,
	}
}

// RecordOutage records that the store was unavailable until now.
func (s *State) RecordOutage(now time.Time) { s.roster.RecordOutage(now) }

// Load applies a full read of the store: keys that it lacks were deleted. It reports
// whether the state changed.
func (s *State) Load(now time.Time, page store.Page) (changed bool) {
	listed := make(map[string]bool, len(page.Items))
	before, missed := s.revision, 0
	if len(s.keys) > 0 && page.Revision.Era > before.Era {
		s.handleRestore(now, page.Revision)
		changed = true
	}
	s.loading = len(s.keys) == 0
	if s.loading {
		s.order.Begin(now)
		s.loadedRevision = page.Revision
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
		s.warn("a full read found changes that were not told", map[string]any{fieldCount: missed, fieldRevision: before.String()})
	}
	for key, k := range s.keys {
		if !listed[key] && !k.deleted && !k.revision.After(page.Revision) {
			changed = s.Apply(now, store.Item{Key: key, Revision: page.Revision, Deleted: true}) || changed
		}
	}
	s.loading = false
	s.revision = store.MaxRevision(s.revision, page.Revision)
	return changed
}

// handleRestore prepares for the changes after a restore of the store from a backup:
// entries that the backup lacks may be written again.
func (s *State) handleRestore(now time.Time, revision store.Revision) {
	s.warn("store came back from a copy", map[string]any{fieldRevision: revision.String(), "before": s.revision.String()})
	s.roster.RecordOutage(now)
	s.keepUntil = now.Add(s.reregisterTimeout)
}

// Apply applies an item if it is newer than the known state of its key. It reports whether
// it did.
func (s *State) Apply(now time.Time, item store.Item) bool {
	if item.Key == CheckpointKey {
		// It only repeats other items, so it is neither kept nor passed on.
		return false
	}
	old, ok := s.keys[item.Key]
	if ok && !item.Revision.After(old.revision) {
		return false
	}
	next := keyState{revision: item.Revision, deleted: item.Deleted, value: item.Value}
	if item.Deleted {
		next.value = old.value
		s.tombstones = append(s.tombstones, tombstone{key: item.Key, revision: item.Revision, at: now})
	}
	s.keys[item.Key] = next
	s.revision = store.MaxRevision(s.revision, item.Revision)
	s.onItem(item)
	if old.sameWriteAs(item) {
		return true
	}
	if s.decoder.IsConfig(item.Key) {
		s.applyConfig(item)
	} else if id, ok := s.decoder.TargetID(item.Key); ok {
		s.applyTarget(now, id, item, old)
	} else if domain, ok := s.decoder.EvacuatedDomain(item.Key); ok {
		s.applyEvacuation(now, domain, item)
	} else if fingerprint, ok := blockedFingerprint(item.Key); ok {
		s.applyBlocked(fingerprint, item)
	} else if item.Key == SecretKey {
		s.applySecret(item)
	} else if item.Key == AccountsKey {
		s.accountsStored = !item.Deleted
		s.accountsSeen = s.accountsSeen || s.accountsStored
	} else if item.Key == SizeKey {
		s.applySize(item)
	} else if name, ok := strings.CutPrefix(item.Key, HostPrefix); ok {
		s.applyHost(now, name, item)
	}
	return true
}

// sameWriteAs reports whether the item is the same write as k, restored from a backup.
func (k *keyState) sameWriteAs(item store.Item) bool {
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
		s.configUnreadable = true
		s.warn("configuration cannot be read; the one in force stays", map[string]any{fieldRevision: item.Revision.String(), fieldError: err.Error()})
		return
	}
	s.configUnreadable = false
	if s.table != nil && c.Version <= s.table.Config.Version {
		s.configAhead = c.Version < s.table.Config.Version
		s.log("configuration is not newer", map[string]any{fieldVersion: c.Version, "in-force": s.table.Config.Version, fieldRevision: item.Revision.String()})
		return
	}
	s.configAhead = false
	s.useConfig(c, item.Value, map[string]any{fieldRevision: item.Revision.String()})
}

// applyConfigOfHost applies a configuration that another host has in force and the store lost. It reports whether it
// is newer.
func (s *State) applyConfigOfHost(value []byte) bool {
	c, err := s.decoder.Config(value)
	if err != nil {
		s.warn("configuration of another host cannot be read", map[string]any{fieldError: err.Error()})
		return false
	}
	if s.table != nil && c.Version <= s.table.Config.Version {
		return false
	}
	s.configAhead = true
	s.useConfig(c, value, map[string]any{"lost-by-the-store": true})
	return true
}

// useConfig puts a configuration in force.
func (s *State) useConfig(c *routing.Config, value []byte, fields map[string]any) {
	var before []routing.Account
	if s.table != nil {
		before = s.table.Config.Accounts
	}
	s.keyring = keyring.Update(s.keyring, before, c.Accounts)
	s.accountsSeen = s.accountsSeen || len(c.Accounts) > 0
	s.table, s.configValue = routing.NewTable(c), value
	fields[fieldVersion], fields["routes"], fields["defects"] = c.Version, len(c.Routes), len(c.Defects)
	if s.keyring != nil {
		fields["accounts"], fields["account-keys"] = s.keyring.Len()
	}
	s.log("configuration is in force", fields)
	for _, d := range c.Defects[:min(len(c.Defects), maxLoggedDefects)] {
		s.warn("part of the configuration cannot be applied", map[string]any{fieldVersion: c.Version, "part": string(d.Part), "name": d.Name, "reason": d.Reason})
	}
}

// maxLoggedDefects bounds the log lines on the defects of a configuration.
const maxLoggedDefects = 20

func (s *State) applyTarget(now time.Time, id string, item store.Item, old keyState) {
	if item.Deleted {
		delete(s.setAside, item.Key)
		s.removeTarget(now, id, item.Revision)
		return
	}
	t, err := s.decoder.Target(id, item.Value)
	if err != nil {
		s.warn("invalid target entry", map[string]any{fieldTarget: id, fieldRevision: item.Revision.String(), fieldError: err.Error()})
		delete(s.setAside, item.Key)
		s.keepChanged(id)
		s.targetChanged(id, item.Revision, s.roster.Remove(now, id))
		return
	}
	if restored := old.revision.Era < item.Revision.Era; restored && s.order.Outdated(t) {
		s.order.Protect(now, id)
		s.setAsideTarget(item, t, old, "entry of a copy is older than what is known")
		return
	}
	if s.order.Late(now, t) {
		s.setAsideTarget(item, t, old, "entry is older than what is known")
		return
	}
	if !s.loading && !s.roster.AroundOutage(now) && s.order.Uncertain(now, t) {
		s.setAsideUncertain(now, item, t, s.order.SilenceTime())
		return
	}
	delete(s.setAside, item.Key)
	s.putTarget(now, t, item.Revision)
}

func (s *State) putTarget(now time.Time, t roster.Target, revision store.Revision) {
	s.order.Record(now, t)
	s.keepChanged(t.ID)
	s.targetChanged(t.ID, revision, s.roster.Put(now, t))
}

// keepChanged keeps the run of a target that TakeRestarted compares with the current one.
func (s *State) keepChanged(id string) {
	if _, ok := s.changed[id]; ok {
		return
	}
	if t, ok := s.roster.Get(id); ok {
		s.changed[id] = t
	}
}

// removeTarget applies the deletion of the entry of a target. One that only lapsed may write the
// same entry again.
func (s *State) removeTarget(now time.Time, id string, revision store.Revision) {
	s.keepChanged(id)
	c := s.roster.Remove(now, id)
	if c != roster.Lapsed {
		s.order.RecordGone(now, id)
	}
	s.targetChanged(id, revision, c)
}

func (s *State) targetChanged(id string, revision store.Revision, c roster.Change) {
	s.changes++
	s.targetsChanged = true
	if c == roster.Unchanged {
		return
	}
	if c == roster.Joined && s.loading {
		s.loadedTargets = append(s.loadedTargets, id)
		return
	}
	s.log("target "+c.String(), map[string]any{fieldTarget: id, fieldRevision: revision.String(), fieldTargets: s.roster.Len()})
}

// Tick removes lapsed targets and missing hosts whose timeout has passed.
func (s *State) Tick(now time.Time) (changed bool) {
	s.roster.Expire(now, func(id string, c roster.Change) {
		changed = true
		s.order.RecordGone(now, id)
		s.targetChanged(id, s.revision, c)
	})
	s.order.Expire(now)
	s.expireTombstones(now)
	changed = s.restoreSetAside(now) || changed
	for name, until := range s.missing {
		if now.After(until) {
			s.removeHost(name)
			changed = true
		}
	}
	return changed
}

// expireTombstones forgets keys that were deleted long ago, and the first ones if there are too many.
func (s *State) expireTombstones(now time.Time) {
	n := 0
	for _, d := range s.tombstones {
		if now.Sub(d.at) <= tombstoneRetention && len(s.tombstones)-n <= maxTombstones {
			break
		}
		if s.keys[d.key].revision == d.revision {
			delete(s.keys, d.key)
		}
		n++
	}
	s.tombstones = s.tombstones[n:]
}

// Snapshot returns a snapshot of the state.
func (s *State) Snapshot() *Snapshot {
	next := *s.last
	next.Keys, next.ConfigUnreadable = s.keyring, s.configUnreadable
	if next.Keys == nil && (s.hasAccounts || s.accountsSeen) {
		next.Keys = s.noKeys
	}
	next.AccountsSeen, next.AccountsStored = s.accountsSeen, s.accountsStored
	next.Blocked, next.BlockedChanges = s.blocked, s.blockedChanges
	next.Table, next.MaxHosts, next.Revision, next.TargetChanges = s.table, s.maxHosts, s.revision, s.changes
	next.Secrets, next.SecretStored, next.Entry = s.secrets, s.secretStored, s.entry
	next.Founder, next.RecordedHosts, next.SizeRevision = s.isFounder(), s.recordedHosts, s.sizeRevision
	if s.hostsChanged {
		next.Hosts = maps.Clone(s.hosts)
		next.HostChanges++
		next.position = findPosition(ranking(next.Hosts), s.self.Name, s.self.Domain)
	}
	if s.targetsChanged {
		next.Targets, next.Withheld = s.roster.Active()
		next.Evacuated = s.roster.Evacuated()
	}
	s.hostsChanged, s.targetsChanged = false, false
	s.last = &next
	return s.last
}

// TakeLogLines returns the lines to log since the last call.
func (s *State) TakeLogLines() []LogLine {
	s.logHosts()
	s.logLoadedTargets()
	s.logUnknownEvacuated()
	lines := s.lines
	s.lines = nil
	return lines
}

// logLoadedTargets logs the targets of the first full read in one line: a large fleet has many, and
// a host that starts has requests waiting.
func (s *State) logLoadedTargets() {
	if n := len(s.loadedTargets); n > 0 {
		s.log("targets joined", map[string]any{fieldCount: n, "ids": s.loadedTargets, fieldTargets: s.roster.Len(), fieldRevision: s.revision.String()})
	}
	s.loadedTargets = nil
}

// TakeRestarted returns the IDs of the targets that restarted since the last call, whether an entry
// replaced the one of the earlier run or came after its deletion.
func (s *State) TakeRestarted() []string {
	var ids []string
	for id, before := range s.changed {
		if t, ok := s.roster.Get(id); ok && !t.SameRun(before) {
			ids = append(ids, id)
		}
	}
	clear(s.changed)
	slices.Sort(ids)
	return ids
}

func (s *State) log(text string, fields map[string]any) {
	s.lines = append(s.lines, LogLine{Text: text, Fields: fields})
}

func (s *State) warn(text string, fields map[string]any) {
	s.lines = append(s.lines, LogLine{Text: text, Fields: fields, Warn: true})
}
