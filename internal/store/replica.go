package store

import (
	"strings"

	"lugward/internal/event"
)

// replica is this node's copy of the service's keys. It holds their versions;
// their values go to the listener, in the order of their versions for each key.
type replica struct {
	listen ListenFunc
	// permanent is the beginning of keys that are written once and never change: no
	// version of them is kept. "": there are none.
	permanent string
	// synced means that every key has been read and revision can be followed.
	synced bool
	// revision is that of the service up to which the replica is complete. Our
	// own writes may show in it before revision reaches them.
	revision uint64
	// fresh is a time up to which the replica holds every change.
	fresh    event.Time
	versions map[string]uint64
	// tombstones are the versions at which keys were dropped, each kept until
	// revision has reached it: an older value that arrives late must not bring
	// the key back.
	tombstones map[string]uint64
}

func newReplica(listen ListenFunc, permanent string) replica {
	return replica{listen: listen, permanent: permanent, versions: map[string]uint64{}, tombstones: map[string]uint64{}}
}

// change takes one change from the service's log or of a write of ours. It
// ignores what is not newer than the replica's revision: a delayed answer that
// later ones have overtaken would else bring back keys that were dropped since.
func (r *replica) change(key string, data []byte, version uint64) {
	if version > r.revision {
		r.apply(key, data, version)
	}
}

// apply takes one change unless the replica holds a newer one of that key.
func (r *replica) apply(key string, data []byte, version uint64) {
	if r.isPermanent(key) {
		if data != nil {
			r.listen(key, data, version)
		}
		return
	}
	if version <= r.versions[key] || version <= r.tombstones[key] {
		return
	}
	if data == nil {
		r.tombstones[key] = version
		if _, ok := r.versions[key]; !ok {
			return
		}
		delete(r.versions, key)
	} else {
		delete(r.tombstones, key)
		r.versions[key] = version
	}
	r.listen(key, data, version)
}

// isPermanent tells whether a key never changes once it is written. The listener may
// be shown such a key more than once.
func (r *replica) isPermanent(key string) bool {
	return r.permanent != "" && strings.HasPrefix(key, r.permanent)
}

// advance records that the replica is complete up to a revision.
func (r *replica) advance(revision uint64) {
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
func (r *replica) dropUnseen(seen map[string]bool, revision uint64) {
	for key, version := range r.versions {
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
