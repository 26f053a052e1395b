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
	// MayAct tells whether tasks may be started now.
	MayAct(now event.Time) bool
	// ObserveToken takes in a token that a worker has shown.
	ObserveToken(token uint64)
	// TasksExpireAt is when the tasks of a machine have terminated at the latest,
	// given when a report of it was last answered.
	TasksExpireAt(lastAnswer event.Time) event.Time
	// WorkerLease is the lease that an answered report gives a worker.
	WorkerLease() time.Duration
}
