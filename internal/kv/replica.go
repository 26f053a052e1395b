package kv

import (
	"strings"

	"lugward/internal/event"
)

// watchCache is this node's copy of the service's keys. It holds their versions;
// their values go to the listener, in the order of their versions for each key.
type watchCache struct {
	onChange ChangeFunc
	// immutablePrefix is the beginning of keys that are written once and never change: no
	// version of them is kept. "": there are none.
	immutablePrefix string
	// synced means that every key has been read and revision can be followed.
	synced bool
	// revision is that of the service up to which the replica is complete. Our
	// own writes may show in it before revision reaches them.
	revision uint64
	// fresh is a time up to which the replica holds every change.
	fresh        event.Time
	modRevisions map[string]uint64
	// tombstones are the versions at which keys were dropped, each kept until
	// revision has reached it: an older value that arrives late must not bring
	// the key back.
	tombstones map[string]uint64
}

func newWatchCache(listen ChangeFunc, permanent string) watchCache {
	return watchCache{onChange: listen, immutablePrefix: permanent, modRevisions: map[string]uint64{}, tombstones: map[string]uint64{}}
}

// change takes one change from the service's log or of a write of ours. It
// ignores what is not newer than the replica's revision: a delayed answer that
// later ones have overtaken would else bring back keys that were dropped since.
func (r *watchCache) change(key string, data []byte, version uint64) {
	if version > r.revision {
		r.apply(key, data, version)
	}
}

// apply takes one change unless the replica holds a newer one of that key.
func (r *watchCache) apply(key string, data []byte, version uint64) {
	if r.isImmutable(key) {
		if data != nil {
			r.onChange(key, data, version)
		}
		return
	}
	if version <= r.modRevisions[key] || version <= r.tombstones[key] {
		return
	}
	if data == nil {
		r.tombstones[key] = version
		if _, ok := r.modRevisions[key]; !ok {
			return
		}
		delete(r.modRevisions, key)
	} else {
		delete(r.tombstones, key)
		r.modRevisions[key] = version
	}
	r.onChange(key, data, version)
}

// isImmutable tells whether a key never changes once it is written. The listener may
// be shown such a key more than once.
func (r *watchCache) isImmutable(key string) bool {
	return r.immutablePrefix != "" && strings.HasPrefix(key, r.immutablePrefix)
}

// advance records that the replica is complete up to a revision.
func (r *watchCache) advance(revision uint64) {
	if revision <= r.revision {
		return
	}
	r.revision = revision
	for key, version := range r.tombstones {
		if version <= revision {
			delete(r.tombstones, key)
		}
	}
}

// dropUnseen drops the keys that a complete scan, begun at the given revision,
// did not find. The replica may hold such keys from before it lost the log.
func (r *watchCache) dropUnseen(seen map[string]bool, revision uint64) {
	for key, version := range r.modRevisions {
		if !seen[key] && version <= revision {
			r.apply(key, nil, revision)
		}
	}
}

// SplitKey cuts the first segment off a key: it names the kind of record that
// the key holds.
func SplitKey(key string) (kind, rest string) {
	kind, rest, _ = strings.Cut(key, "/")
	return kind, rest
}
