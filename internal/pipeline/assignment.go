package pipeline

import (
	"time"

	"lugward/internal/event"
)

// Assignment says that an attempt of a task may be on a machine. It exists from
// before the start is logged until its end is proven and logged.
type Assignment struct {
	Job     *Job
	Task    int
	Machine MachineIndex
	Attempt uint64

	durable bool // the watch cache shows it
	written bool // part of a write that was or may still be carried out
	omitted bool // left out of a write that is under way

	assignmentStatus
}

// assignmentStatus is what only the leader knows of an assignment; it is lost with
// the term.
type assignmentStatus struct {
	pending          PendingWrite
	phase            TaskPhase
	evicting         bool       // to be stopped, to run elsewhere
	missedHeartbeats int32      // in a row, that do not show the task; small, as there are many assignments
	gracePeriod      float64    // of that stop, in seconds
	startSequence    uint64     // sequence of the heartbeat whose answer last carried the start
	startedAt        event.Time // when first seen on its machine, 0 before
	placedAt         event.Time // when it was decided, 0: by a leader before
}

// PendingWrite is the change the leader wants for an assignment.
type PendingWrite uint8

// The pending writes.
const (
	NoPendingWrite PendingWrite = iota
	PendingClear
	PendingDone
)

// TaskPhase is a task's state as its worker last reported it.
type TaskPhase uint8

// The task phases.
const (
	TaskUnseen TaskPhase = iota
	TaskPulling
	TaskWaitingForGang
	TaskRunning
	TaskCheckpointing
	TaskExited
)

// Durable reports whether the state service has the assignment, as the watch cache shows.
func (a *Assignment) Durable() bool { return a.durable }

// Stored reports whether the state service has the assignment as it is, without a
// change that is still to be written.
func (a *Assignment) Stored() bool { return a.durable && a.pending == NoPendingWrite }

// Pending returns the change that is still to be written.
func (a *Assignment) Pending() PendingWrite { return a.pending }

// PlacedAt returns when the task was placed, 0 if a leader before did so.
func (a *Assignment) PlacedAt() event.Time { return a.placedAt }

// IsFirstOfJob reports whether no other task of the job is placed or done.
func (a *Assignment) IsFirstOfJob() bool {
	return a.Job.ActiveCount() == 1 && a.Job.DoneCount() == 0
}

// PlacementDelay returns how long the job had been ready when the task was placed.
func (a *Assignment) PlacementDelay() time.Duration { return a.placedAt - a.Job.ReadySince }

// Phase returns the state that the worker last reported.
func (a *Assignment) Phase() TaskPhase { return a.phase }

// StartedAt returns when the task was first seen on its machine, 0 if it was not yet.
func (a *Assignment) StartedAt() event.Time { return a.startedAt }

// Evicting reports whether the task is to be stopped so that it can run elsewhere.
func (a *Assignment) Evicting() bool { return a.evicting }

// GracePeriod returns how many seconds the task gets to save a checkpoint while it is
// evicted.
func (a *Assignment) GracePeriod() float64 { return a.gracePeriod }

// RecordPhase records the state that a worker reports. It reports whether the task is
// thereby first seen on its machine.
func (a *Assignment) RecordPhase(phase TaskPhase, now event.Time) (started bool) {
	a.phase = phase
	onMachine := phase >= TaskWaitingForGang && phase < TaskExited
	if !onMachine || a.startedAt != 0 {
		return false
	}
	a.startedAt = now
	return true
}

// RecordStartCommand records that the answer to the heartbeat with a sequence number
// carries the command to start the task. If the task was on the machine before, it was
// lost with the worker's incarnation.
func (a *Assignment) RecordStartCommand(sequence uint64) {
	a.startSequence = sequence
	a.phase = TaskUnseen
	a.startedAt = 0
}

// AwaitsStart reports whether the heartbeat with a sequence number should show the
// task: an earlier one was answered with the command to start it, and none has shown
// it since.
func (a *Assignment) AwaitsStart(sequence uint64) bool {
	ordered := a.startSequence != 0 && a.startSequence < sequence
	return ordered && a.phase == TaskUnseen
}

// RecordMissedHeartbeat records that a heartbeat does not show the task though it
// should. It returns how many in a row did not.
func (a *Assignment) RecordMissedHeartbeat() int {
	a.missedHeartbeats++
	return int(a.missedHeartbeats)
}

// ClearMissedHeartbeats records that a heartbeat shows the task.
func (a *Assignment) ClearMissedHeartbeats() { a.missedHeartbeats = 0 }
