package directory

// This file defines the checkpoint: a compressed copy of all items, which the root writes to the
// store from time to time. A host that starts reads it and the changes since, in place of all keys:
// the hosts of a large fleet that start together would otherwise wait for the store's link, and
// decode many small values on small processors.

import (
	"bytes"
	"compress/flate"
	"context"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"tamaracktiller.example/tamaracktiller/internal/kernel/timer"
	"tamaracktiller.example/tamaracktiller/internal/platform/store"
)

// CheckpointKey is the key of the checkpoint. Hosts of earlier versions ignore it.
const CheckpointKey = "fleet/checkpoint"

const (
	// checkpointPeriod is the time between two checkpoints. It is well below the time for which the
	// store keeps its history, so that the changes since the last one are known.
	checkpointPeriod = 5 * time.Second
	// minCheckpointItems is the number of items from which on a checkpoint is written: fewer are
	// read in one call.
	minCheckpointItems = 500
	// maxCheckpointBytes bounds the compressed size of a checkpoint that is written, and
	// maxCheckpointItemsBytes the uncompressed size of one that is read.
	maxCheckpointBytes      = store.MaxValueBytes / 2
	maxCheckpointItemsBytes = 16 << 20
	// checkpointWatchWait is the wait of the watch that returns the changes since a checkpoint.
	checkpointWatchWait = time.Millisecond
)

// errBadCheckpoint reports a checkpoint that cannot be used.
var errBadCheckpoint = errors.New("directory: invalid checkpoint")

// checkpoint holds all items at a revision.
type checkpoint struct {
	Revision store.Revision `cbor:"1,keyasint"`
	Items    []store.Item   `cbor:"2,keyasint"`
}

func encodeCheckpoint(page store.Page) ([]byte, error) {
	data, err := cbor.Marshal(checkpoint{Revision: page.Revision, Items: page.Items})
	if err != nil {
		return nil, errors.Wrap(err, "directory: checkpoint")
	}
	return compress(data), nil
}

func decodeCheckpoint(value []byte) (store.Page, error) {
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(value)), maxCheckpointItemsBytes))
	if err != nil {
		return store.Page{}, errors.Wrap(errBadCheckpoint, err.Error())
	}
	var c checkpoint
	if err := cbor.Unmarshal(data, &c); err != nil {
		return store.Page{}, errors.Wrap(errBadCheckpoint, err.Error())
	}
	return store.Page{Items: c.Items, Revision: c.Revision}, nil
}

// readCheckpoint returns all items of the store: those of the checkpoint, with the changes since.
// It fails if there is no checkpoint, or if the store no longer knows these changes.
func (d *Directory) readCheckpoint(ctx context.Context) (store.Page, error) {
	source, ok := d.cfg.Source.(store.StaleGetter)
	if !ok {
		return store.Page{}, errors.Wrap(errBadCheckpoint, "source has none")
	}
	item, err := source.GetStale(ctx, CheckpointKey)
	if err != nil {
		return store.Page{}, err
	}
	page, err := decodeCheckpoint(item.Value)
	if err != nil {
		return store.Page{}, err
	}
	if page.Revision.Era != item.Revision.Era {
		return store.Page{}, errors.Wrapf(errBadCheckpoint, "it is of revision %s, and the store of era %d", page.Revision, item.Revision.Era)
	}
	changes, err := d.cfg.Source.Watch(ctx, allKeys, page.Revision, checkpointWatchWait)
	if err != nil {
		return store.Page{}, err
	}
	d.cfg.Log.WithFields(logrus.Fields{fieldRevision: page.Revision.String(), "reached": changes.Revision.String(), "items": len(page.Items), "changes": len(changes.Items), "bytes": len(item.Value)}).Info("starting from a checkpoint")
	return store.Page{Items: mergeItems(page.Items, changes.Items), Revision: changes.Revision}, nil
}

// mergeItems returns items with later changes applied to them, without deleted ones. Otherwise a
// host would take what has changed since the checkpoint for changes since its start.
func mergeItems(items, changes []store.Item) []store.Item {
	newest := make(map[string]store.Item, len(items))
	for _, item := range slices.Concat(items, changes) {
		if old, ok := newest[item.Key]; !ok || item.Revision.After(old.Revision) {
			newest[item.Key] = item
		}
	}
	maps.DeleteFunc(newest, func(_ string, item store.Item) bool { return item.Deleted })
	return slices.Collect(maps.Values(newest))
}

// Checkpoints writes checkpoints while its host is the root.
type Checkpoints struct {
	Store store.Leaser
	// Due returns the items of the next checkpoint if they have changed after the revision last, and
	// this host should write it.
	Due func(last store.Revision) (page store.Page, ok bool)
	Log *logrus.Entry
}

// Run writes a checkpoint every checkpointPeriod until ctx is done.
func (c *Checkpoints) Run(ctx context.Context) error {
	var last store.Revision
	for ctx.Err() == nil {
		timer.Sleep(ctx, checkpointPeriod)
		page, ok := c.Due(last)
		if !ok || ctx.Err() != nil {
			continue
		}
		if err := c.write(ctx, page); err != nil {
			c.Log.WithError(err).WithField(fieldRevision, page.Revision.String()).Warn("writing a checkpoint failed")
			continue
		}
		last = page.Revision
	}
	return nil
}

func (c *Checkpoints) write(ctx context.Context, page store.Page) error {
	value, err := encodeCheckpoint(page)
	if err != nil {
		return err
	}
	if len(value) > maxCheckpointBytes {
		return errors.Wrapf(errBadCheckpoint, "%d bytes, the limit is %d", len(value), maxCheckpointBytes)
	}
	_, err = c.Store.Commit(ctx, nil, []store.Put{{Key: CheckpointKey, Value: value}}, nil)
	if err == nil {
		c.Log.WithFields(logrus.Fields{fieldRevision: page.Revision.String(), "items": len(page.Items), "bytes": len(value)}).Info("checkpoint is written")
	}
	return err
}

// CheckpointDue returns all items if they have changed after the revision last, this host is the
// first of the ranking and its view is up to date.
func (d *Directory) CheckpointDue(last store.Revision) (page store.Page, ok bool) {
	if d.Snapshot().position.rank != 0 || !d.Fresh(time.Now()) {
		return page, false
	}
	if cs := d.cache.since(last); !cs.full && len(cs.page.Items) == 0 {
		return page, false
	}
	all := d.cache.since(store.Revision{})
	return all.page, all.full && len(all.page.Items) >= minCheckpointItems
}
