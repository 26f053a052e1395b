// Package worker implements the registry of machines. It handles the heartbeats of workers,
// determines the commands that are sent to them, distinguishes faults of machines from
// faults of jobs, and proves that tasks have terminated on machines that no longer send
// heartbeats.
package worker

import (
	"time"

	"lugward/internal/event"
)

// Leadership is the part of the leader election that the registry uses.
type Leadership interface {
	// FencingToken returns the fencing token of the term of this controller.
	FencingToken() uint64
	// MayStartTasks reports whether tasks may be started now.
	MayStartTasks(now event.Time) bool
	// RecordFencingToken records a fencing token that a worker has sent.
	RecordFencingToken(token uint64)
	// TasksExpireAt returns the latest time at which the tasks of a machine terminate,
	// given the time of the last response to one of its heartbeats.
	TasksExpireAt(lastResponse event.Time) event.Time
	// MaxWorkerLease returns the longest duration of a worker's lease after a response.
	MaxWorkerLease() time.Duration
}
