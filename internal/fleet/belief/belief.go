// Package belief passes on what hosts know and the store does not hold, such as evidence that counts once there is
// more of it. A process that starts asks other hosts for it, since the one that it replaces knew it.
//
// Each kind of belief is registered under a name and encodes itself, so nothing else of the fleet knows what there
// is. Its records must be mergeable in any order and any number of times, bounded, and carry ages in place of times,
// since clocks of hosts differ. Hosts of other builds may know other kinds, or other fields of a kind; what a host
// does not know is left out.
//
// # Usage
//
//	beliefs := belief.NewRegistry(log)
//	beliefs.Register(tracker)
//	records := beliefs.Export()      // on a host that is asked
//	beliefs.Import("host-1", records) // on the host that has started
package belief

// This file defines Belief and Registry.

import (
	"sync"

	"github.com/sirupsen/logrus"
)

// fieldKind is the log field of the name of a kind.
const fieldKind = "kind"

// maxRecordBytes bounds the records of one kind. More than that is not sent.
const maxRecordBytes = 256 << 10

// Belief is a kind of what hosts know. It is safe for concurrent use.
type Belief interface {
	// Name identifies the kind in messages.
	Name() string
	// Export returns all records of this host, encoded; nil if there are none.
	Export() ([]byte, error)
	// Import merges the records of another host.
	Import(records []byte) error
}

// Registry holds the kinds of beliefs of a host. It is safe for concurrent use; a nil Registry has none.
type Registry struct {
	log *logrus.Entry

	mu      sync.Mutex
	beliefs map[string]Belief
}

// NewRegistry returns a registry without beliefs.
func NewRegistry(log *logrus.Entry) *Registry {
	return &Registry{log: log, beliefs: map[string]Belief{}}
}

// Register adds a kind of belief.
func (r *Registry) Register(b Belief) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.beliefs[b.Name()] = b
}

// Export returns the records of all kinds by name; nil if there are none.
func (r *Registry) Export() map[string][]byte {
	var all map[string][]byte
	for name, b := range r.registered() {
		records, err := b.Export()
		if err != nil || len(records) > maxRecordBytes {
			r.log.WithError(err).WithFields(logrus.Fields{fieldKind: name, "bytes": len(records)}).Warn("records cannot be sent to a host that starts")
			continue
		}
		if len(records) > 0 {
			if all == nil {
				all = map[string][]byte{}
			}
			all[name] = records
		}
	}
	return all
}

// Import merges the records of another host. Those of unknown kinds are left out.
func (r *Registry) Import(host string, all map[string][]byte) {
	for name, b := range r.registered() {
		records, ok := all[name]
		if !ok {
			continue
		}
		if err := b.Import(records); err != nil {
			r.log.WithError(err).WithFields(logrus.Fields{fieldKind: name, "host": host}).Warn("records of another host cannot be read")
			continue
		}
		r.log.WithFields(logrus.Fields{fieldKind: name, "host": host, "bytes": len(records)}).Info("records of another host are merged")
	}
}

// registered returns a copy of the kinds by name.
func (r *Registry) registered() map[string]Belief {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	kinds := make(map[string]Belief, len(r.beliefs))
	for name, b := range r.beliefs {
		kinds[name] = b
	}
	return kinds
}
