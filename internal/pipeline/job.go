package pipeline

import (
	"slices"

	"lugward/internal/event"
	"lugward/internal/record"
)

// Shape is the kind of a job.
type Shape uint8

// The shapes of jobs.
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

// Phase is the state of a job as shown to users.
type Phase uint8

// The phases.
const (
	Queued Phase = iota
	Running
	Done
	Cancelled
)

// AnyZone is the zone of a job that may run in any zone.
const AnyZone ZoneIndex = -1

// Spec is the specification of a job, with names replaced by dense indices.
type Spec struct {
	Class              ClassIndex
	Team               TeamIndex
	Shape              Shape
	Priority           Priority
	TaskCount          int
	CPUs, GPUs, Memory float64 // per task
	Image              ImageIndex
	ImageGB            float64
	MachineTypes       []MachineTypeIndex // without repetitions; nil means any type
	Zone               ZoneIndex          // AnyZone if the job may run in any zone
	SameZone           bool
	SpreadZones        bool
	AllowSpot          bool
	EstimatedRuntime   float64 // seconds
	CheckpointInterval float64 // seconds
	CheckpointDuration float64 // seconds
	Deadline           float64 // seconds after submission, zero if there is none
}

// Allows reports whether the job may use a machine type.
func (s *Spec) Allows(machineType MachineTypeIndex) bool {
	if s.MachineTypes == nil {
		return true
	}
	return slices.Contains(s.MachineTypes, machineType)
}

// AllowMachineType adds a machine type to those that the job may use. A user may name a type
// thousands of times, which must not take memory on every controller.
func (s *Spec) AllowMachineType(machineType MachineTypeIndex) {
	if !slices.Contains(s.MachineTypes, machineType) {
		s.MachineTypes = append(s.MachineTypes, machineType)
	}
}

// AllowsZone reports whether the job may use a zone.
func (s *Spec) AllowsZone(zone ZoneIndex) bool { return s.Zone == AnyZone || s.Zone == zone }

// IsGang reports whether the job has several tasks that run either all together or not
// at all.
func (s *Spec) IsGang() bool { return s.Shape == Gang && s.TaskCount > 1 }

// CountsAllTasks reports whether all tasks of the job count against the team's limit as
// a unit.
func (s *Spec) CountsAllTasks() bool { return s.Shape != Array }

// Job is a vertex of a pipeline. It holds the content of the job record and the state
// that the table derives from other records.
type Job struct {
	ID    string
	Index int // index in the table's list of jobs
	Spec
	Owner   string        // label of the controller that writes the job's readiness and cancellation
	unknown record.Fields // fields of the job record written by a later version

	// Upstream lists the IDs of the upstream jobs in a job record that is encoded. A job of
	// the table has none, see Table.UpstreamIDs. If UpstreamPages is not zero, the list is
	// stored in that number of pages instead, and SubmissionRevision is the revision of page
	// 0. The revision distinguishes these pages from those left behind by another attempt to
	// submit the job.
	Upstream           []string
	UpstreamPages      int
	SubmissionRevision uint64

	// SubmittedAt is the time when the job was submitted, and ReadyAt the time when its
	// last upstream job was done. Both are in Unix ms, zero if unknown.
	SubmittedAt, ReadyAt int64
	// Ready is true once all upstream jobs are done and the job record says so.
	Ready bool
	// ReadyRevision is the revision at which the job became ready. It determines the
	// order in which ready jobs start.
	ReadyRevision uint64
	// ReadySince is the time when the job became ready. If the job record has no such
	// time, it is the time when this controller first saw the job ready.
	ReadySince event.Time

	ModRevision   uint64    // revision of the job record, zero if there is none
	TerminalPhase Phase     // Done or Cancelled once the terminal record is persisted, Queued before
	segments      []segment // the run records of the job, by index
	segmentIndex

	inherited
	taskCounts
	graphLinks
	recordWrites
	retry retryState
	leaderState
}

// inherited holds the values that a job inherits from its dependent jobs. They are derived
// when the graph changes and are never persisted.
type inherited struct {
	// EffectivePriority and EffectiveDeadline are the job's own priority and deadline,
	// or those of unfinished dependent jobs if these are higher or earlier.
	EffectivePriority Priority
	EffectiveDeadline event.Time
	Chained           bool // the job has upstream jobs, or has had dependent jobs
}

// segmentIndex finds segments without iterating over all of them.
type segmentIndex struct {
	unsavedSegments   []int // indices of the unsaved segments, and of some that have been saved since
	persistedSegments int   // number of segments with a persisted record
	firstPersisted    int   // no segment before it has a persisted record
}

// recordWrites is a controller's state of the writes of a job's readiness, cancellation
// and completion, and of the deletion of the job's records.
type recordWrites struct {
	recordWriteInFlight   bool       // a write of the readiness or cancellation
	terminalWriteInFlight bool       // a write of the completion
	deletionInFlight      bool       // a deletion of the job's records
	nextRecordWrite       event.Time // earliest time of the next such write
	rejectedWrites        int        // consecutive writes rejected by the state service
}

// leaderState holds the leader's decisions about a job. It is discarded when the term ends.
type leaderState struct {
	terminating         bool         // the attempt of the gang is being terminated
	withinQuota         bool         // the job fits in its team's quota
	reservedZone        ZoneSelector // zone where capacity is reserved for the job, any zone if there is none
	unassigned          unassignedTasks
	doneUnassignedCount int // completed tasks without an assignment
	evictingCount       int // assignments that are being evicted
}

// Phase returns the phase that is shown to users.
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

// Terminating reports whether the attempt of the gang is being terminated.
func (j *Job) Terminating() bool { return j.terminating }

// WithinQuota reports whether the job fits in its team's quota.
func (j *Job) WithinQuota() bool { return j.withinQuota }

// SetWithinQuota records whether the job fits in its team's quota.
func (j *Job) SetWithinQuota(within bool) { j.withinQuota = within }

// ReservedZone selects the zone where capacity is reserved for the job, or any zone if
// there is none.
func (j *Job) ReservedZone() ZoneSelector { return j.reservedZone }

// ReserveZone records the zone where capacity is reserved for the job.
func (j *Job) ReserveZone(zone ZoneSelector) { j.reservedZone = zone }

// UseUpstreamPages records that the job's list of upstream jobs is stored in the given
// number of pages instead of the job record.
func (j *Job) UseUpstreamPages(pages int) { j.UpstreamPages = pages }

// SetSubmissionRevision records the revision of the first page of the job's list of
// upstream jobs, which identifies the attempt to submit the job.
func (j *Job) SetSubmissionRevision(revision uint64) { j.SubmissionRevision = revision }

// writeRank returns the rank of the job's writes among writes of the same kv priority.
// Writes of Idle jobs go last, since many of them could use up the write rate.
func (j *Job) writeRank() int {
	return int(min(j.EffectivePriority, Normal))
}
