package directory

// This file defines how blocked requests are kept in the store, so that hosts which start know them.

import (
	"context"
	"maps"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"tamaracktiller.example/tamaracktiller/internal/platform/store"
)

// BlockedPrefix is the prefix of the keys of blocked requests. The rest of a key is the fingerprint of the request in
// hexadecimal digits; the value says nothing more. Hosts of earlier versions ignore these keys.
const BlockedPrefix = "fleet/blocked/"

const hexadecimal = 16

// blockedKey returns the key of a blocked request.
func blockedKey(fingerprint uint64) string {
	return BlockedPrefix + strconv.FormatUint(fingerprint, hexadecimal)
}

// blockedFingerprint returns the fingerprint in a key, and false if the key is not that of a blocked request.
func blockedFingerprint(key string) (uint64, bool) {
	digits, ok := strings.CutPrefix(key, BlockedPrefix)
	if !ok {
		return 0, false
	}
	fingerprint, err := strconv.ParseUint(digits, hexadecimal, 64)
	return fingerprint, err == nil
}

// applyBlocked applies the key of a blocked request.
func (s *State) applyBlocked(fingerprint uint64, item store.Item) {
	if s.blocked[fingerprint] == !item.Deleted {
		return
	}
	// Snapshots share the map.
	s.blocked = maps.Clone(s.blocked)
	if s.blocked == nil {
		s.blocked = map[uint64]bool{}
	}
	if item.Deleted {
		delete(s.blocked, fingerprint)
	} else {
		s.blocked[fingerprint] = true
	}
	s.blockedChanges++
	s.log("blocked request in the store has changed", map[string]any{"fingerprint": fingerprint, "blocked": !item.Deleted, fieldRevision: item.Revision.String()})
}

// Blocks writes blocked requests to the store.
type Blocks struct{ Store store.Leaser }

// PutBlock writes a blocked request, which lasts for ttl. It does nothing if the store holds it already.
func (b Blocks) PutBlock(ctx context.Context, fingerprint uint64, ttl time.Duration) error {
	lease, err := b.Store.Grant(ctx, ttl)
	if err != nil {
		return errors.Wrap(err, "directory: block")
	}
	key := blockedKey(fingerprint)
	_, err = b.Store.Commit(ctx, []store.Condition{{Key: key}}, []store.Put{{Key: key, Lease: lease}}, nil)
	if errors.Is(err, store.ErrConflict) {
		return errors.Wrap(b.Store.Revoke(ctx, lease), "directory: block")
	}
	return errors.Wrap(err, "directory: block")
}

// DeleteBlock deletes a blocked request.
func (b Blocks) DeleteBlock(ctx context.Context, fingerprint uint64) error {
	_, err := b.Store.Commit(ctx, nil, nil, []string{blockedKey(fingerprint)})
	return errors.Wrap(err, "directory: block")
}
