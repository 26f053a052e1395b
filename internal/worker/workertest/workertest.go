// Package workertest has what tests of several packages need of machines: a fake
// leadership and heartbeats of a worker.
package workertest

import (
	"time"

	"lugward/internal/event"
	"lugward/internal/worker"
)

// FencingToken is the token of the term of Leader.
const FencingToken = 5

// WorkerLease is the lease that Leader gives to workers.
const WorkerLease = 30 * time.Second

// expiryMargin is how long after the end of its lease a task has surely terminated.
const expiryMargin = 2 * time.Second

// Leader is the leadership of a controller that has always led. It implements
// worker.Leadership.
type Leader struct{}

// FencingToken is the token of its term.
func (Leader) FencingToken() uint64 { return FencingToken }

// IsLeader allows tasks to be started at any time.
func (Leader) IsLeader(event.Time) bool { return true }

// ObserveFencingToken ignores the tokens of workers.
func (Leader) ObserveFencingToken(uint64) {}

// MaxWorkerLease is the lease of a worker.
func (Leader) MaxWorkerLease() time.Duration { return WorkerLease }

// TasksExpireAt is a little after the end of the lease that a response renewed.
func (Leader) TasksExpireAt(lastResponse event.Time) event.Time {
	return lastResponse + WorkerLease + expiryMargin
}

// Heartbeat returns a heartbeat of a worker without tasks that has confirmed the token
// of Leader. Of two heartbeats of a machine the one with the greater time is the newer.
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
