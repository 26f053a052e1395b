package pipeline

import (
	"slices"

	"lugward/internal/event"
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
const AnyZone ZoneIndex = -1

// Spec is what a job asks for, with names as dense indices.
type Spec struct {
	Class              ClassIndex
	Team               TeamIndex
	Shape              Shape
	Priority           Priority
	TaskCount          int
	CPUs, GPUs, Memory float64 // of each task
	Image              ImageIndex
	ImageGB            float64
	MachineTypes       []MachineTypeIndex // nil: any
	Zone               ZoneIndex          // AnyZone: any
	SameZone           bool
	SpreadZones        bool
	AllowSpot          bool
	EstimatedRuntime   float64 // seconds
	CheckpointInterval float64 // seconds
	CheckpointDuration float64 // seconds
	Deadline           float64 // seconds after submission, 0: none
}

// Allows reports whether the job may use a machine type.
func (s *Spec) Allows(machineType MachineTypeIndex) bool {
	if s.MachineTypes == nil {
		return true
	}
	return slices.Contains(s.MachineTypes, machineType)
}

// AllowsZone reports whether the job may use a zone.
func (s *Spec) AllowsZone(zone ZoneIndex) bool { return s.Zone == AnyZone || s.Zone == zone }

// IsGang reports whether several tasks run together or not at all.
func (s *Spec) IsGang() bool { return s.Shape == Gang && s.TaskCount > 1 }

// CountsAllTasks reports whether all tasks count together against the team's limit.
func (s *Spec) CountsAllTasks() bool { return s.Shape != Array }

// Job is a vertex of a pipeline: what its record says, and what the table derives.
type Job struct {
	ID    string
	Index int // in the table's list of jobs
	Spec
	Owner   string        // the controller that writes its readiness
	unknown record.Fields // of its record, stored by a later version

	// Upstream are the upstream jobs that the record itself lists. If UpstreamPages
	// is not 0, the list is stored in that many pages instead. SubmissionRevision is
	// then the revision of page 0: what another attempt to submit the job has left
	// behind does not belong to the list.
	Upstream           []string
	UpstreamPages      int
	SubmissionRevision uint64

	// SubmittedAt and ReadyAt are when the job was submitted and when the last job
	// that it needs was done, in Unix ms; 0: not known.
	SubmittedAt, ReadyAt int64
	// Ready means that all upstream jobs are done and that this is stored.
	Ready bool
	// ReadyRevision is the revision at which the job became ready: ready jobs start in
	// that order.
	ReadyRevision uint64
	// ReadySince is when the job became ready, or when this controller first saw it
	// ready if its record has no such time.
	ReadySince event.Time

	ModRevision   uint64    // of the job record, 0: none is stored
	TerminalPhase Phase     // Done or Cancelled once the terminal record is stored, else Queued
	segments      []segment // its run records, by index

	inherited
	taskCounts
	graphLinks
	recordWrites
	retry retryState
	leaderState
}

// inherited is what dependent jobs ask of a job. It is derived as the graph changes and
// never stored.
type inherited struct {
	// EffectivePriority and EffectiveDeadline are the job's own, or those of the
	// unfinished jobs that depend on it if they ask for more.
	EffectivePriority Priority
	EffectiveDeadline event.Time
	Chained           bool // it has upstream jobs, or had dependent ones
}

// recordWrites is what a controller knows of the writes of a job's readiness, cancellation
// and completion, and of the deletion of its records.
type recordWrites struct {
	recordWriteInFlight   bool       // of its readiness or cancellation
	terminalWriteInFlight bool       // of its completion
	deletionInFlight      bool       // of its records
	nextRecordWrite       event.Time // no such write before
	rejectedWrites        int        // writes in a row that the state service rejected
}

// leaderState is what the leader decides about a job; it is lost with the term.
type leaderState struct {
	terminating    bool         // gang: its attempt is being ended
	withinQuota    bool         // it fits in its team's quota
	reservedZone   ZoneSelector // where capacity is gathered for it, any: nowhere
	unplacedFrom   int          // no task below it waits to be placed
	doneUnassigned map[int]bool // completed tasks without an assignment
}

// Phase is the phase that users are shown.
func (j *Job) Phase() Phase {
	if j.TerminalPhase != Queued {
		return j.TerminalPhase
	}
	if j.upstreamCancelled {
		return Cancelled
	}
	if j.activeCount > 0 {
		return Running
	}
	return Queued
}

// Terminating reports whether an attempt of the gang is being ended.
func (j *Job) Terminating() bool { return j.terminating }

// WithinQuota reports whether the job fits in its team's quota.
func (j *Job) WithinQuota() bool { return j.withinQuota }

// SetWithinQuota records whether the job fits in its team's quota.
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

// writeRank orders the writes of jobs among those of one priority: those of the
// lowest priority go last, since many of them may take all of the write rate.
func (j *Job) writeRank() int {
	return int(min(j.EffectivePriority, Normal))
}
