package controller

import (
	"slices"
	"time"

	"lugward/internal/event"
	"lugward/internal/kv"
	"lugward/internal/record"
)

const (
	// versionStagger is the time between the version records of two controllers, so
	// that a common start of all does not write them at once.
	versionStagger = time.Second
	// versionRetryInterval is the time between two attempts to store the version.
	versionRetryInterval = 5 * time.Second
	// versionWriteTimeout is how long a write of the version may wait for its turn.
	versionWriteTimeout = time.Minute
)

// versionStore is what the publication of our version needs of the state service.
type versionStore interface {
	// Synced reports whether the watch cache is complete.
	Synced() bool
	// ModRevision is the modification revision of a key, 0 if it is absent.
	ModRevision(key string) uint64
	// Submit queues a transaction that expires at the given time.
	Submit(txn *kv.Txn, expires event.Time)
}

// versionPublication tells the other controllers, by a record in the state service,
// which version of the program we run.
type versionPublication struct {
	key          string
	firstAttempt time.Duration // from when the record can be written at all
	inFlight     bool
	nextAt       event.Time // of the next attempt; 0: none is planned yet
}

// newVersionPublication returns the publication for a controller, given the labels of
// all controllers.
func newVersionPublication(label string, labels []string) versionPublication {
	position := slices.Index(labels, label)
	return versionPublication{
		key:          record.VersionKey(label),
		firstAttempt: versionRetryInterval + versionStagger*time.Duration(position),
	}
}

// tick stores the version, once. It is not urgent: after a start of all controllers,
// terms and users go first.
func (v *versionPublication) tick(now event.Time, store versionStore, hasLeader bool) {
	stored := store.ModRevision(v.key) != 0
	if v.inFlight || stored || !store.Synced() || !hasLeader {
		return
	}
	if v.nextAt == 0 {
		v.nextAt = now + v.firstAttempt
	}
	if now < v.nextAt {
		return
	}
	v.inFlight = true
	store.Submit(&kv.Txn{
		Priority: kv.PriorityProgress,
		Compares: []kv.Compare{{Key: v.key}},
		Writes:   []kv.Write{{Key: v.key, Data: record.Version}},
		Done:     v.written,
	}, now+versionWriteTimeout)
}

// written takes the result of a write: one that failed is repeated later.
func (v *versionPublication) written(result kv.Result) {
	v.inFlight = false
	v.nextAt = result.Now + versionRetryInterval
}
