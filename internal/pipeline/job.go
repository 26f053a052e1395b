// Package pipeline holds the graph of jobs as it is logged in the state
// service: job records, run records (what may be on which machine, what is
// done) and final marks. Every controller keeps the same table by following
// the store's replica; only the leader adds pending writes, which Flush queues
// as transactions.
package pipeline

import (
	"iter"
	"slices"

	"lugward/internal/event"
	"lugward/internal/intern"
	"lugward/internal/record"
)

// Shape of a job.
type Shape uint8

// The shapes.
const (
	Array Shape = iota
	Gang
	Daemon
)

// Priority orders jobs; a higher priority is more important.
type Priority uint8

// The priorities.
const (
	Idle Priority = iota
	Normal
	High
	Production
)

// Phase of a job as users see it.
type Phase uint8

// The phases.
const (
	Queued Phase = iota
	Running
	Done
	Cancelled
)

// AnyZone is the zone of a job that may run in any.
const AnyZone = -1

// Spec is what a job asks for, with names as dense indices.
type Spec struct {
	Class, Team        int
	Shape              Shape
	Priority           Priority
	TaskCount          int
	CPUs, GPUs, Memory float64 // of each task
	Image              int
	ImageGB            float64
	MachineTypes       []int // nil: any
	Zone               int   // AnyZone: any
	SameZone           bool
	SpreadZones        bool
	AllowSpot          bool
	EstimatedRuntime   float64 // seconds
	CheckpointInterval float64 // seconds
	CheckpointDuration float64 // seconds
	Deadline           float64 // seconds after submission, 0: none
}

// Allows reports whether the job may use a machine type.
func (s *Spec) Allows(machineType int) bool {
	if s.MachineTypes == nil {
		return true
	}
	return slices.Contains(s.MachineTypes, machineType)
}

// IsGang tells whether several tasks run together or not at all.
func (s *Spec) IsGang() bool { return s.Shape == Gang && s.TaskCount > 1 }

// CountsAllTasks reports whether all tasks count together against the team's limit.
func (s *Spec) CountsAllTasks() bool { return s.Shape != Array }

// Names are the tables that map names to the indices used everywhere else.
type Names struct {
	Classes, Teams, Images, MachineTypes, Zones, Machines intern.Table
}

// Job is a vertex of a pipeline: what its record says, and what the table derives.
type Job struct {
	ID    string
	Index int // in the table's list of jobs
	Spec
	Owner   string        // the controller that writes its ready mark
	unknown record.Fields // of its record, stored by a later version

	// Upstream are the upstream jobs that the record itself lists. If UpstreamPages
	// is not 0, the list is stored in that many keys instead. SubmissionRevision is then the
	// version of part 0: what another attempt to submit the job has left behind
	// does not belong to the list.
	Upstream           []string
	UpstreamPages      int
	SubmissionRevision uint64

	// SubmittedAt and ReadyAt are when the job was submitted and when the last job
	// that it needs was done, in Unix ms; 0: not known.
	SubmittedAt, ReadyAt int64
	// Ready means that all upstream jobs are done and the ready mark is stored.
	Ready bool
	// ReadyRevision is the revision at which the job became ready: ready jobs start in
	// that order.
	ReadyRevision uint64
	// ReadySince is when the job became ready, or when this
	// controller first saw it ready if its record has no such time.
	ReadySince event.Time

	// EffectivePriority and EffectiveDeadline are the job's own,
	// or those of the unfinished jobs that need it if they ask for more. They are
	// derived as the graph changes and never stored.
	EffectivePriority Priority
	EffectiveDeadline event.Time
	Chained           bool // it has upstream jobs, or had one that needs it

	ModRevision   uint64    // of the job record, 0: none is stored
	TerminalPhase Phase     // Done or Cancelled once marked, else Queued
	segments      []segment // its run records, by index

	taskCounts
	graphLinks
	recordWrites
	retry retryState
	leaderState
}

// taskCounts are kept up to date as chunks change, so that counting does not walk
// over a job's tasks.
type taskCounts struct {
	segmentLen  int // tasks per chunk
	done        int // tasks that run records show as done
	active      int // entries
	pendingDone int // entries with a pending write that marks them done
}

// graphLinks is a job's place in the graph. A job is linked while it is held and
// its whole list of upstream jobs is known.
type graphLinks struct {
	linked             bool
	linkedUpstream     []string // the upstream IDs under which it is listed, while linked
	unfinishedUpstream int      // of these, those without a done mark
	upstreamCancelled  bool     // a job that it needs is cancelled

	deadlineAt         event.Time // its own deadline
	inheritStale       bool       // its effective values are to be derived anew
	propagatedPriority Priority   // what its upstream jobs have inherited from it
	propagatedDeadline event.Time
}

// recordWrites is what a controller knows of the writes of a job's marks and of the
// deletion of its records.
type recordWrites struct {
	recordWriteInFlight   bool       // a ready mark or a cancelled one is under way
	terminalWriteInFlight bool       // a done mark is under way
	deletionInFlight      bool       // the deletion of its records is under way
	retryAt               event.Time // no such write before
	rejectedWrites        int        // writes in a row that the state service called malformed
}

// leaderState is what the leader decides about a job; it is lost with the term.
type leaderState struct {
	terminating    bool         // gang: its attempt is being ended
	withinQuota    bool         // it fits in its team's guarantee
	reservedZone   ZoneSelector // where capacity is gathered for it, any: nowhere
	unplacedFrom   int          // no task below it waits to be placed
	doneUnassigned map[int]bool // completed tasks that have no entry to mark as done
}

// segment is the part of a job's run record that one key holds.
type segment struct {
	modRevision uint64              // of the stored record, 0: none is stored
	attempt     uint64              // highest attempt used
	done        []uint64            // bitmap of the tasks that are stored as done
	assignments map[int]*Assignment // by task: stored ones, and placements not stored yet
	format      record.Format       // of the stored record
	unknown     record.Fields       // stored by a later version
	segmentWrites
}

// segmentWrites is what the leader knows of the writes of a chunk. A chunk that
// differs from what is stored is dirty until a write has carried all changes.
type segmentWrites struct {
	dirty              bool
	placing            bool       // a placement is not part of any write yet, or its write failed
	progressQueued     bool       // a write with the priority of progress is queued or under way
	placementQueued    bool       // a write with the priority of placements is queued or under way
	changeCount        int        // counts the changes; a write has carried those counted when it was built
	deferredPlacements int        // placements that did not fit in the last write
	rejectedWrites     int        // writes in a row that the state service called malformed
	retryAt            event.Time // no write before
}

// DoneCount counts tasks that are marked done.
func (j *Job) DoneCount() int {
	if j.TerminalPhase == Done {
		return j.TaskCount
	}
	return j.done
}

// ActiveCount counts tasks that may be on a machine.
func (j *Job) ActiveCount() int { return j.active }

// IsDone reports whether a task is stored as done.
func (j *Job) IsDone(task int) bool {
	index, bit := task/j.segmentLen, task%j.segmentLen
	if index >= len(j.segments) || j.segments[index].done == nil {
		return false
	}
	return j.segments[index].done[bit/record.BitsPerWord]>>(bit%record.BitsPerWord)&1 == 1
}

// Assignment returns the entry of a task, or nil.
func (j *Job) Assignment(task int) *Assignment {
	index := task / j.segmentLen
	if index >= len(j.segments) {
		return nil
	}
	return j.segments[index].assignments[task]
}

// Assignments returns the assignments of the job, in no order. It may be changed
// meanwhile.
func (j *Job) Assignments() iter.Seq[*Assignment] {
	return func(yield func(*Assignment) bool) {
		if j.active == 0 {
			return
		}
		for index := range j.segments {
			for _, assignment := range j.segments[index].assignments {
				if !yield(assignment) {
					return
				}
			}
		}
	}
}

// Unplaced reports whether a task waits to be placed.
func (j *Job) Unplaced(task int) bool {
	return !j.IsDone(task) && j.Assignment(task) == nil && !j.doneUnassigned[task]
}

// HasStarted reports whether a task of the job has been placed, be it that it is done.
func (j *Job) HasStarted() bool { return j.ActiveCount() > 0 || j.DoneCount() > 0 }

// NextUnplaced returns the first task from a number on that waits to be placed, TaskCount
// if there is none. What it has passed over is not looked at again until it opens, so
// that an array is not walked over from its first task for each one that is placed.
func (j *Job) NextUnplaced(from int) int {
	task := max(from, j.unplacedFrom)
	for task < j.TaskCount && !j.Unplaced(task) {
		task++
	}
	if from <= j.unplacedFrom {
		j.unplacedFrom = task
	}
	return task
}

// ProbeTask returns the open task that tries again after a failure of the job itself:
// the open ones take turns, as only some of them may fail. It is TaskCount if there
// is none.
func (j *Job) ProbeTask() int {
	open := j.UnplacedCount()
	if open == 0 {
		return j.TaskCount
	}
	task := j.NextUnplaced(0)
	for range j.Failures() % open {
		task = j.NextUnplaced(task + 1)
	}
	return task
}

// noteUnplaced notes that a task may wait to be placed again.
func (j *Job) noteUnplaced(task int) { j.unplacedFrom = min(j.unplacedFrom, task) }

// UnplacedCount counts the tasks that wait to be placed.
func (j *Job) UnplacedCount() int {
	return max(0, j.TaskCount-j.done-j.active-len(j.doneUnassigned))
}

// Schedulable reports whether an unfinished ready job has tasks to place.
func (j *Job) Schedulable(now event.Time) bool {
	return j.StartableCount() > 0 && !j.terminating && !j.BackingOff(now)
}

// Phase is the phase that users are shown.
func (j *Job) Phase() Phase {
	if j.TerminalPhase != Queued {
		return j.TerminalPhase
	}
	if j.upstreamCancelled {
		return Cancelled
	}
	if j.active > 0 {
		return Running
	}
	return Queued
}

// Terminating reports whether an attempt of the gang is being ended.
func (j *Job) Terminating() bool { return j.terminating }

// BeginTermination records that the attempt of a gang is being ended: nothing of it
// is placed before all of its tasks have terminated.
func (t *Table) BeginTermination(j *Job) { j.terminating = true }

// FinishTermination lets a gang start again once all tasks of its old attempt have
// terminated.
func (t *Table) FinishTermination(j *Job) {
	if j.terminating && j.ActiveCount() == 0 {
		j.terminating = false
		t.RequestRound()
	}
}

// WithinQuota reports whether the job fits in its team's guarantee.
func (j *Job) WithinQuota() bool { return j.withinQuota }

// SetWithinQuota records whether the job fits in its team's guarantee.
func (j *Job) SetWithinQuota(within bool) { j.withinQuota = within }

// ReservedZone selects the zone where capacity is gathered for the job, or any zone if
// there is none.
func (j *Job) ReservedZone() ZoneSelector { return j.reservedZone }

// ReserveZone records the zone where capacity is gathered for the job.
func (j *Job) ReserveZone(zone ZoneSelector) { j.reservedZone = zone }

// UseUpstreamPages records that the job's list of upstream jobs is stored in a number
// of pages instead of its record.
func (j *Job) UseUpstreamPages(pages int) { j.UpstreamPages = pages }

// SetSubmissionRevision records the revision of the first page of the job's list of
// upstream jobs, which identifies the attempt to submit the job.
func (j *Job) SetSubmissionRevision(revision uint64) { j.SubmissionRevision = revision }

// UpstreamCancelled reports whether a job that it needs is cancelled: it is cancelled
// with that one, whether its own mark is stored yet or not.
func (j *Job) UpstreamCancelled() bool { return j.upstreamCancelled }

// MaxAttempt is the highest attempt used by any task of the job.
func (j *Job) MaxAttempt() uint64 {
	var highest uint64
	for index := range j.segments {
		highest = max(highest, j.segments[index].attempt)
	}
	return highest
}
