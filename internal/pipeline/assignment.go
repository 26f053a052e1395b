package pipeline

import (
	"time"

	"lugward/internal/event"
)

// Assignment states that an attempt of a task may be on a machine. It is created before
// the start of the task is persisted, and exists until the end of the attempt is proven
// and persisted.
type Assignment struct {
	Job     *Job
	Task    int
	Machine MachineIndex
	Attempt uint64

	machinePosition int32 // position in the list of its machine

	persisted      bool // the watch cache shows the assignment
	mayBePersisted bool // part of a write that was or may still be committed
	omitted        bool // left out of a write in flight

	assignmentStatus
}

// assignmentStatus holds the state of an assignment that only the leader has. It is
// discarded when the term ends.
type assignmentStatus struct {
	pending              PendingWrite
	phase                TaskPhase
	evicting             bool       // the task is to be stopped and run elsewhere
	missedHeartbeats     int32      // consecutive heartbeats that do not list the task; int32 since there are many assignments
	gracePeriod          float64    // time to save a checkpoint when evicted, in seconds
	startCommandSequence uint64     // sequence number of the heartbeat whose response last carried the start command
	startedAt            event.Time // when the task was first reported on its machine, zero before
	assignedAt           event.Time // when the task was assigned, zero if assigned by an earlier leader
}

// PendingWrite is a change of an assignment that the leader has not persisted yet.
type PendingWrite uint8

// The pending writes.
const (
	NoPendingWrite PendingWrite = iota
	PendingClear
	PendingDone
)

// TaskPhase is the state of a task as last reported by its worker.
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

// Persisted reports whether the assignment is persisted, according to the watch cache.
func (a *Assignment) Persisted() bool { return a.persisted }

// FullyPersisted reports whether the assignment is persisted and has no pending write.
func (a *Assignment) FullyPersisted() bool { return a.persisted && a.pending == NoPendingWrite }

// Pending returns the change that has not been persisted yet.
func (a *Assignment) Pending() PendingWrite { return a.pending }

// AssignedAt returns the time when the task was assigned, zero if an earlier leader assigned it.
func (a *Assignment) AssignedAt() event.Time { return a.assignedAt }

// IsFirstOfJob reports whether no other task of the job is assigned or done.
func (a *Assignment) IsFirstOfJob() bool {
	return a.Job.ActiveCount() == 1 && a.Job.DoneCount() == 0
}

// AssignmentDelay returns how long the job had been ready when the task was assigned.
func (a *Assignment) AssignmentDelay() time.Duration { return a.assignedAt - a.Job.ReadySince }

// Phase returns the state last reported by the worker.
func (a *Assignment) Phase() TaskPhase { return a.phase }

// StartedAt returns the time when the task was first reported on its machine, zero before.
func (a *Assignment) StartedAt() event.Time { return a.startedAt }

// Evicting reports whether the task is to be stopped so that it can run elsewhere.
func (a *Assignment) Evicting() bool { return a.evicting }

// GracePeriod returns the time in seconds that the task has to save a checkpoint when it
// is evicted.
func (a *Assignment) GracePeriod() float64 { return a.gracePeriod }

// RecordPhase records the state reported by the worker. It returns true if this is the
// first report of the task on its machine.
func (a *Assignment) RecordPhase(phase TaskPhase, now event.Time) (started bool) {
	a.phase = phase
	onMachine := phase >= TaskWaitingForGang && phase < TaskExited
	if !onMachine || a.startedAt != 0 {
		return false
	}
	a.startedAt = now
	return true
}

// RecordStartCommand records that the response to the heartbeat with the given sequence
// number carries the command to start the task. A task that was on the machine before was
// lost with the worker's previous incarnation.
func (a *Assignment) RecordStartCommand(sequence uint64) {
	a.startCommandSequence = sequence
	a.phase = TaskUnseen
	a.startedAt = 0
}

// AwaitsStart reports whether the heartbeat with the given sequence number should list the
// task: the response to an earlier heartbeat carried the start command, and no heartbeat
// has listed the task since.
func (a *Assignment) AwaitsStart(sequence uint64) bool {
	commandSent := a.startCommandSequence != 0 && a.startCommandSequence < sequence
	return commandSent && a.phase == TaskUnseen
}

// RecordMissedHeartbeat records that a heartbeat does not list the task although it
// should. It returns the number of consecutive heartbeats without the task.
func (a *Assignment) RecordMissedHeartbeat() int {
	a.missedHeartbeats++
	return int(a.missedHeartbeats)
}

// ClearMissedHeartbeats records that a heartbeat lists the task.
func (a *Assignment) ClearMissedHeartbeats() { a.missedHeartbeats = 0 }
