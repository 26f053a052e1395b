package controller

import (
	"slices"
	"time"

	"lugward/internal/event"
	"lugward/internal/kv"
	"lugward/internal/record"
)

const (
	// versionStagger is the time between the first attempts of two controllers to write
	// their version records. It spreads the writes if all controllers start together.
	versionStagger = time.Second
	// versionRetryInterval is the time between two attempts to write the version record.
	versionRetryInterval = 5 * time.Second
	// versionWriteTimeout is how long a write of the version record may stay queued.
	versionWriteTimeout = time.Minute
)

// versionStore is the part of the state service's client that versionPublication uses.
type versionStore interface {
	// Synced reports whether the watch cache is complete.
	Synced() bool
	// ModRevision returns the modification revision of a key, or 0 if the key is absent.
	ModRevision(key string) uint64
	// Submit queues a transaction that expires at the given time.
	Submit(txn *kv.Txn, expires event.Time)
}

// versionPublication writes the version of this controller's program to a record in the
// state service, for the other controllers to read.
type versionPublication struct {
	key               string
	firstAttemptDelay time.Duration // delay from the time at which the record could first be written
	inFlight          bool
	nextAttemptAt     event.Time // time of the next attempt, zero if none is planned yet
}

// newVersionPublication returns the version publication of the controller with the given
// label. labels are the sorted labels of all controllers.
func newVersionPublication(label string, labels []string) versionPublication {
	position := slices.Index(labels, label)
	return versionPublication{
		key:               record.VersionKey(label),
		firstAttemptDelay: versionRetryInterval + versionStagger*time.Duration(position),
	}
}

// tick writes the version record if it does not exist and an attempt is due. The write
// has a low priority: after a start of all controllers, the election and user requests
// take precedence.
func (v *versionPublication) tick(now event.Time, store versionStore, hasLeader bool) {
	stored := store.ModRevision(v.key) != 0
	if v.inFlight || stored || !store.Synced() || !hasLeader {
		return
	}
	if v.nextAttemptAt == 0 {
		v.nextAttemptAt = now + v.firstAttemptDelay
	}
	if now < v.nextAttemptAt {
		return
	}
	v.inFlight = true
	store.Submit(&kv.Txn{
		Priority: kv.PriorityProgress,
		Compares: []kv.Compare{{Key: v.key}},
		Writes:   []kv.Write{{Key: v.key, Data: record.VersionValue}},
		Done:     v.handleWriteResult,
	}, now+versionWriteTimeout)
}

// handleWriteResult handles the result of a write and schedules the next attempt, which
// is made only if the write failed.
func (v *versionPublication) handleWriteResult(result kv.Result) {
	v.inFlight = false
	v.nextAttemptAt = result.Now + versionRetryInterval
}
