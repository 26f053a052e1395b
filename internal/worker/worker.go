// Package worker is the registry of machines: it takes the heartbeats of their workers,
// decides which commands these get, tells faults of machines from faults of jobs, and
// proves that tasks have terminated on machines whose heartbeats are missed.
package worker

import (
	"time"

	"lugward/internal/event"
)

// Leadership is what the registry needs to know of the leadership.
type Leadership interface {
	// FencingToken is the token of our term.
	FencingToken() uint64
	// IsLeader reports whether tasks may be started now.
	IsLeader(now event.Time) bool
	// ObserveFencingToken takes in a token that a worker has shown.
	ObserveFencingToken(token uint64)
	// TasksExpireAt is when the tasks of a machine have terminated at the latest,
	// given when a heartbeat of it last got a response.
	TasksExpireAt(lastResponse event.Time) event.Time
	// MaxWorkerLease is the longest lease that a response gives a worker.
	MaxWorkerLease() time.Duration
}
