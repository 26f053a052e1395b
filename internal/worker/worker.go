// Package worker knows the machines: what their workers report, which orders they
// are to get, and when the tasks on a silent machine have surely terminated.
package worker

import (
	"time"

	"lugward/internal/event"
)

// Leadership is what the registry needs to know of the leadership.
type Leadership interface {
	// FencingToken is the token of our term.
	FencingToken() uint64
	// IsLeader tells whether tasks may be started now.
	IsLeader(now event.Time) bool
	// ObserveFencingToken takes in a token that a worker has shown.
	ObserveFencingToken(token uint64)
	// TasksExpireAt is when the tasks of a machine have terminated at the latest,
	// given when a report of it was last answered.
	TasksExpireAt(lastAnswer event.Time) event.Time
	// MaxWorkerLease is the lease that an answered report gives a worker.
	MaxWorkerLease() time.Duration
}
