// Package pipeline holds the graph of jobs as it is logged in the state
// service: job records, run records (what may be on which machine, what is
// done) and final marks. Every controller keeps the same table by listening
// to the store; only the leader adds pending writes, which become writes.
package pipeline

import "lugward/internal/intern"

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

// Spec is what a job asks for, with names as dense indices.
type Spec struct {
	Class, Team        int
	Shape              Shape
	Priority           Priority
	TaskCount          int // tasks
	CPUs, GPUs, Memory float64
	Image              int
	ImageGB            float64
	MachineTypes       []int // nil: any
	Zone               int   // -1: any
	SamePlace          bool
	Scatter            bool
	AllowSpot          bool
	EstimatedRuntime   float64
	CheckpointInterval float64
	CheckpointDuration float64
	Deadline           float64 // 0: none
}

// Allows tells whether the job may use a machine type.
func (s *Spec) Allows(machineType int) bool {
	if s.MachineTypes == nil {
		return true
	}
	for _, f := range s.MachineTypes {
		if f == machineType {
			return true
		}
	}
	return false
}

// CountsAsWhole tells whether all tasks count together against the team's limit.
func (s *Spec) CountsAsWhole() bool { return s.Shape != Array }

// Names are the tables that map names to the indices used everywhere else.
type Names struct {
	Classes, Teams, Images, MachineTypes, Zones, Machines intern.Table
}

// Entry says that an attempt of a task may be on a machine. It exists from
// before the start is logged until its end is proven and logged.
type Entry struct {
	Job     *Job
	Task    int
	Machine int
	Attempt uint64
	Durable bool // as read back from the state service
	sent    bool // part of some write whose outcome may still turn out well
	dropped bool // a write without it is under way

	// What the leader has learnt; lost with the term.
	Pending         PendingWrite
	Phase           TaskPhase
	Evict           bool    // to be stopped, to run elsewhere
	GracePeriod     float64 // grace of that stop
	OrderedSequence uint64  // tick of the report whose answer last carried the start
	MissedReports   int     // reports in a row that do not show it
	StartedAt       int64   // steady time in ns when first seen on its machine, 0 before
	PlacedAt        int64   // steady time in ns of the decision
}

// PendingWrite is the change the leader wants for an entry.
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
	Unseen TaskPhase = iota
	Pulling
	Waiting
	RunningTask
	Saving
	Exited
)

// Job is a vertex of a pipeline.
type Job struct {
	ID    string
	Index int
	Spec
	Owner         string
	Upstream      []string // upstream jobs that the record lists itself
	UpstreamParts int      // so many keys hold the list instead, 0: none
	// Attempt is the version of the list's part 0: what another attempt to submit
	// the job has left behind is no part of it.
	SubmissionVersion uint64
	Ready             bool
	// Submitted and ReadyAt are when it was submitted and when the last job
	// that it needs was done, in unix ms; 0: not known.
	Submitted, ReadyAt int64
	// Order is the revision at which the job became ready: ready jobs start in
	// that order.
	Order uint64
	// ReadySince is the steady time at which it became ready, or at which this
	// node saw it ready if its record does not tell.
	ReadySince int64
	// EffectivePriority and EffectiveDeadline are its effective priority and deadline (steady time in
	// ns): its own, or those of the unfinished jobs that need it if they ask for
	// more. They are derived as the graph changes and never stored.
	EffectivePriority Priority
	EffectiveDeadline int64
	Chained           bool // it has upstream jobs, or had one that needs it

	deadlineAt         int64    // its own deadline, steady time in ns
	linkedUpstream     []string // the upstream ids under which it is listed, while linked
	linked             bool
	unfinishedUpstream int      // of these, those without a done mark
	upstreamCancelled  bool     // a job that it needs is cancelled
	inheritStale       bool     // its effective values are to be derived anew
	propagatedPriority Priority // what its upstream jobs inherited of it
	propagatedDeadline int64
	retryAt            int64  // no mark is written before this steady time
	rejectedWrites     int    // writes in a row that the state service called malformed
	Version            uint64 // of the job record, 0: none held
	Final              Phase  // Done or Cancelled once marked, else Queued
	Chunk              []Chunk

	done   int // tasks marked done in run records
	active int // entries
	// pendingDone counts the entries with a pending write that marks them done.
	pendingDone int
	chunkLen    int

	finishing bool
	marking   bool
	retry     retryState
	// Leader's notes, lost with the term.
	Stopping        bool         // gang: the attempt is being ended
	WithinGuarantee bool         // its team's guarantee
	ReservedZone    int          // 1 + the zone where capacity is gathered for it, 0: none
	doneUnlogged    map[int]bool // done tasks whose entry is not ours to mark
	cleaning        bool
}

// Chunk is the part of a job's run record that one key holds.
type Chunk struct {
	Version   uint64         // of the stored record, 0: none is stored
	Attempt   uint64         // highest attempt used
	Done      []uint64       // bitmap of the tasks that are stored as done
	Entries   map[int]*Entry // by task: stored ones, and placements not stored yet
	compacted bool           // stored in the compact format
	chunkWrites
}

// chunkWrites is what the leader knows of the writes of a chunk. A chunk that
// differs from what is stored is dirty until a write has carried all changes.
type chunkWrites struct {
	dirty              bool
	placing            bool  // a placement is not part of any write yet, or its write failed
	progressQueued     bool  // a write with the priority of progress waits for its turn
	placementQueued    bool  // a write with the priority of placements waits for its turn
	changeCount        int   // counts the changes, to tell which of them a write has carried
	deferredPlacements int   // placements that did not fit in the last write
	rejectedWrites     int   // writes in a row that the state service called malformed
	retryAt            int64 // no write before this steady time, in ns
}

// DoneCount counts tasks that are marked done.
func (j *Job) DoneCount() int {
	if j.Final == Done {
		return j.TaskCount
	}
	return j.done
}

// Active counts tasks that may be on a machine.
func (j *Job) Active() int { return j.active }

// IsDone tells whether a task is marked done.
func (j *Job) IsDone(task int) bool {
	c, bit := task/j.chunkLen, task%j.chunkLen
	if c >= len(j.Chunk) || j.Chunk[c].Done == nil {
		return false
	}
	return j.Chunk[c].Done[bit/64]>>(bit%64)&1 == 1
}

// Entry returns the entry of a task, or nil.
func (j *Job) Entry(task int) *Entry {
	c := task / j.chunkLen
	if c >= len(j.Chunk) {
		return nil
	}
	return j.Chunk[c].Entries[task]
}

// Entries calls f for every entry of the job.
func (j *Job) Entries(f func(*Entry)) {
	if j.active == 0 {
		return
	}
	for i := range j.Chunk {
		for _, e := range j.Chunk[i].Entries {
			f(e)
		}
	}
}

// Open tells whether a task waits to be placed.
func (j *Job) Open(task int) bool {
	return !j.IsDone(task) && j.Entry(task) == nil && !j.doneUnlogged[task]
}

// OpenCount counts the tasks that wait to be placed.
func (j *Job) OpenCount() int { return max(0, j.TaskCount-j.done-j.active-len(j.doneUnlogged)) }

// Waits tells whether an unfinished ready job has tasks to place.
func (j *Job) Waits(now int64) bool {
	return j.StartableCount() > 0 && !j.Stopping && !j.BackingOff(now)
}

// Phase is what users are told.
func (j *Job) Phase() Phase {
	if j.Final != Queued {
		return j.Final
	}
	if j.upstreamCancelled {
		return Cancelled
	}
	if j.active > 0 {
		return Running
	}
	return Queued
}

// UpstreamCancelled tells whether a job that it needs is cancelled: it is cancelled with
// that, whether its own mark is stored yet or not.
func (j *Job) UpstreamCancelled() bool { return j.upstreamCancelled }

// MaxAttempt is the highest attempt used by any task of the job.
func (j *Job) MaxAttempt() uint64 {
	var t uint64
	for i := range j.Chunk {
		t = max(t, j.Chunk[i].Attempt)
	}
	return t
}
