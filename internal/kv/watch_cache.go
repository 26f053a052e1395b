package kv

import (
	"strings"

	"lugward/internal/event"
)

// watchCache is this controller's view of all keys of the store. It holds their mod
// revisions. It passes their values to onChange, for each key in the order of the mod
// revisions.
type watchCache struct {
	onChange ChangeFunc
	// immutablePrefix is the prefix of keys for which no mod revision is kept, because
	// they are written once and never changed. An empty prefix means that there are no
	// such keys.
	immutablePrefix string
	// synced means that every key has been read and the changes since then can be followed.
	synced bool
	// revision is the revision of the store up to which the cache is complete. The
	// cache may already hold later writes of this controller.
	revision uint64
	// freshUntil is the time up to which the cache is known to hold every change.
	freshUntil   event.Time
	modRevisions map[string]uint64
	// tombstones are the revisions at which keys were deleted. A tombstone is kept until
	// revision has reached it, so that an older value that arrives late does not restore
	// the key.
	tombstones map[string]uint64
}

func newWatchCache(onChange ChangeFunc, immutablePrefix string) watchCache {
	return watchCache{
		onChange:        onChange,
		immutablePrefix: immutablePrefix,
		modRevisions:    map[string]uint64{},
		tombstones:      map[string]uint64{},
	}
}

// applyIfNewer applies a change from the store's log or from a write of this
// controller unless it is at or below the revision of the cache. A delayed response
// that arrives after later ones could otherwise restore keys that have been deleted
// since.
func (w *watchCache) applyIfNewer(key string, data []byte, modRevision uint64) {
	if modRevision > w.revision {
		w.apply(key, data, modRevision)
	}
}

// apply applies a change unless the cache already holds it or a newer one of that key.
func (w *watchCache) apply(key string, data []byte, modRevision uint64) {
	if w.isImmutable(key) {
		if data != nil {
			w.onChange(key, data, modRevision)
		}
		return
	}
	if modRevision <= w.modRevisions[key] || modRevision <= w.tombstones[key] {
		return
	}
	if data == nil {
		w.tombstones[key] = modRevision
		if _, ok := w.modRevisions[key]; !ok {
			return
		}
		delete(w.modRevisions, key)
	} else {
		delete(w.tombstones, key)
		w.modRevisions[key] = modRevision
	}
	w.onChange(key, data, modRevision)
}

// isImmutable reports whether a key has the prefix of keys that are never changed.
func (w *watchCache) isImmutable(key string) bool {
	return w.immutablePrefix != "" && strings.HasPrefix(key, w.immutablePrefix)
}

// advance records that the cache is complete up to a revision, and removes the
// tombstones up to it.
func (w *watchCache) advance(revision uint64) {
	if revision <= w.revision {
		return
	}
	w.revision = revision
	for key, deletedAt := range w.tombstones {
		if deletedAt <= revision {
			delete(w.tombstones, key)
		}
	}
}

// deleteUnseen deletes the keys that a complete scan did not find, if they are not
// newer than the given revision, at which the scan started. The cache may hold such
// keys from the time before it stopped following the log.
func (w *watchCache) deleteUnseen(seen map[string]bool, revision uint64) {
	for key, modRevision := range w.modRevisions {
		if !seen[key] && modRevision <= revision {
			w.apply(key, nil, revision)
		}
	}
}

// SplitKey splits a key at its first slash into the kind of record that the key holds
// and the rest.
func SplitKey(key string) (kind, rest string) {
	kind, rest, _ = strings.Cut(key, "/")
	return kind, rest
}
