// Package workertest provides a fake leadership and heartbeats of workers for the tests of
// several packages.
package workertest

import (
	"time"

	"lugward/internal/event"
	"lugward/internal/worker"
)

// FencingToken is the fencing token of the term of Leader.
const FencingToken = 5

// WorkerLease is the lease of a worker after a response of Leader.
const WorkerLease = 30 * time.Second

// expiryMargin is how long after the expiry of a worker's lease its tasks are considered
// terminated.
const expiryMargin = 2 * time.Second

// Leader is the leadership of a controller that is always the leader. It implements
// worker.Leadership.
type Leader struct{}

// FencingToken returns the fencing token of the term.
func (Leader) FencingToken() uint64 { return FencingToken }

// MayStartTasks returns true at any time.
func (Leader) MayStartTasks(event.Time) bool { return true }

// RecordFencingToken ignores the tokens of workers.
func (Leader) RecordFencingToken(uint64) {}

// MaxWorkerLease returns WorkerLease.
func (Leader) MaxWorkerLease() time.Duration { return WorkerLease }

// TasksExpireAt returns expiryMargin after the expiry of the lease that a response renewed.
func (Leader) TasksExpireAt(lastResponse event.Time) event.Time {
	return lastResponse + WorkerLease + expiryMargin
}

// Heartbeat returns a heartbeat of a worker without tasks that has received the fencing
// token of Leader. Its sequence is derived from now, so the heartbeat with the later time is
// the newer one.
func Heartbeat(machine string, now event.Time) *worker.Heartbeat {
	return &worker.Heartbeat{
		Machine:      machine,
		Addr:         "10.1.0.1:9000",
		MachineType:  "small",
		Zone:         "a",
		Incarnation:  1,
		Sequence:     uint64(now),
		FencingToken: FencingToken,
	}
}
