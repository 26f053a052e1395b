package kv

import (
	"strings"

	"lugward/internal/event"
)

// watchCache is this controller's view of all keys of the store. It holds their mod
// revisions; their values go to onChange, in the order of the mod revisions for
// each key.
type watchCache struct {
	onChange ChangeFunc
	// immutablePrefix is the prefix of keys of which no mod revision is kept, as
	// they are written once and never changed; "" if there are none.
	immutablePrefix string
	// synced means that every key has been read and revision can be followed.
	synced bool
	// revision is that of the store up to which the cache is complete. Our own
	// writes may show in it before revision reaches them.
	revision uint64
	// freshUntil is a time up to which the cache holds every change.
	freshUntil   event.Time
	modRevisions map[string]uint64
	// tombstones are the revisions at which keys were deleted, each kept until
	// revision has reached it: an older value that arrives late must not bring the
	// key back.
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

// observe takes one change from the store's log or of a write of ours. It ignores
// what is not newer than the revision of the cache: a delayed response that later
// ones have overtaken would otherwise bring back keys that were deleted since.
func (w *watchCache) observe(key string, data []byte, modRevision uint64) {
	if modRevision > w.revision {
		w.apply(key, data, modRevision)
	}
}

// apply takes one change unless the cache holds a newer one of that key.
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

// isImmutable reports whether a key never changes once it is written.
func (w *watchCache) isImmutable(key string) bool {
	return w.immutablePrefix != "" && strings.HasPrefix(key, w.immutablePrefix)
}

// advance notes that the cache is complete up to a revision.
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

// deleteUnseen deletes the keys that a complete scan, begun at the given
// revision, did not find. The cache may hold such keys from before it lost the
// log.
func (w *watchCache) deleteUnseen(seen map[string]bool, revision uint64) {
	for key, modRevision := range w.modRevisions {
		if !seen[key] && modRevision <= revision {
			w.apply(key, nil, revision)
		}
	}
}

// SplitKey cuts the first segment off a key: it names the kind of record that
// the key holds.
func SplitKey(key string) (kind, rest string) {
	kind, rest, _ = strings.Cut(key, "/")
	return kind, rest
}
