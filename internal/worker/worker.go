// Package worker knows the machines: what their workers report, which orders
// they are to get, and when the tasks on a silent machine are surely terminated.
package worker

import (
	"time"

	"lugward/internal/event"
)

// Term is what the worker registry asks of the leadership.
type Term interface {
	FencingToken() uint64
	MayStart(now event.Time) bool
	ObserveToken(f uint64)
	TasksExpireAt(lastAnswer event.Time) event.Time
	WorkerLease() time.Duration
}

const (
	// A machine on which this many jobs in a row took slowFactor what their class
	// takes, by their owners' estimates, gets nothing more. One job says little:
	// estimates are often wrong by half.
	maxSlowJobs  = 3
	slowFactor   = 1.8
	ratioWeight  = 0.1 // of a new completion in a class's ratio of run time to estimate
	refusedPause = 4 * time.Second
	// A start that so many reports in a row do not show did not arrive.
	maxMissedStarts   = 3
	unreachableMargin = 3 * time.Second
	directInterval    = time.Second
	announceInterval  = 10 * time.Second
	scanInterval      = 250 * time.Millisecond // between two looks at all machines in use
	directTimeout     = 3 * time.Second
)
