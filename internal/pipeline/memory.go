package pipeline

import "math"

// Estimated bytes of memory of a task that is assigned.
const (
	// EstimatedReportedTaskBytes is for the status of the task in the last heartbeat of its
	// machine, which the leader keeps (worker.HeartbeatParser). It counts on all controllers,
	// as any of them may become leader.
	EstimatedReportedTaskBytes = 190
	// EstimatedAssignmentBytes is for the assignment and the status.
	EstimatedAssignmentBytes = 170 + EstimatedReportedTaskBytes
)

// Estimated bytes of memory of the parts of a table, as measured by TestEstimatedBytes, with a
// reserve for the growth of maps and lists.
const (
	bytesPerJob       = 1100 // the job, its entries in indexes, and the mod revision of its record
	bytesPerSegment   = 450  // part of a job whose tasks share a run record, and its mod revision
	bytesPerVertex    = 200  // a job that lists of upstream jobs name
	bytesPerReference = 5    // an entry in such a list
	bytesPerDependent = 6    // an entry in a list of dependents
	bytesPerPage      = 250  // a page of a list of upstream jobs, without its entries, and its mod revision
	bytesPerTerminal  = 36   // a terminal record whose ID is packed
	bytesPerLongID    = 110  // a terminal record whose ID is too long for that
)

// partCounts are the numbers of parts of all jobs, from which the memory is estimated.
type partCounts struct {
	segments    int
	assignments int
}

// EstimatedBytes returns the estimated memory of the table. It depends only on the stored
// records, so that all controllers arrive at the same value, also after a restart.
func (t *Table) EstimatedBytes() int {
	return t.EstimatedUnfinishedBytes() +
		bytesPerTerminal*len(t.Terminal.packed) +
		bytesPerLongID*len(t.Terminal.other)
}

// EstimatedUnfinishedBytes returns the part of EstimatedBytes that unfinished jobs take, and
// those whose records are not deleted yet.
func (t *Table) EstimatedUnfinishedBytes() int {
	return bytesPerJob*len(t.byID) +
		bytesPerSegment*t.parts.segments +
		EstimatedAssignmentBytes*t.parts.assignments +
		t.Names.EstimatedBytes() +
		t.EstimatedUpstreamBytes()
}

// EstimatedUpstreamBytes returns the part of EstimatedBytes that lists of upstream jobs take.
func (t *Table) EstimatedUpstreamBytes() int {
	return bytesPerVertex*len(t.graph.byID) +
		bytesPerReference*t.graph.references +
		bytesPerDependent*t.graph.entries +
		bytesPerPage*t.pages.count
}

// Shares of a controller's memory that the estimated memory of a table may take. The rest is
// for connections, messages and the garbage of the Go runtime, also while a controller reads
// all records at its start.
const (
	// unfinishedWorkShare is for unfinished jobs and those that ended so recently that their
	// records are not deleted yet. A new job must leave it.
	unfinishedWorkShare = 0.4
	// upstreamListShare is the part of it that lists of upstream jobs may take. Otherwise a
	// few users with long lists could use up the memory for everybody's jobs.
	upstreamListShare = 0.2
	// allWorkShare is for unfinished jobs and all terminal records, which are never deleted.
	// A new job must leave it.
	allWorkShare = 0.55
	// assignmentShare is for assignments, as far as all work leaves it. It allows for about 20
	// tasks on each of 4,000 machines at the smallest memory of a site.
	assignmentShare = 0.3
	// minAssignmentShare is for assignments whatever else there is, so that accepted jobs run
	// and free memory.
	minAssignmentShare = 0.15
)

// memoryShareByPriority is the part of each share that jobs of a priority may fill, by priority.
// Otherwise many unimportant jobs could use up the memory for important ones.
var memoryShareByPriority = [...]float64{Idle: 0.7, Normal: 0.85, High: 0.95, Production: 1}

// memoryShare returns the bytes of a share of the controller's memory that jobs of a priority may
// fill.
func (t *Table) memoryShare(share float64, priority Priority) int {
	return int(share * memoryShareByPriority[priority] * float64(t.config.MemoryBytes))
}

// ScarceMemory names what new jobs leave no memory for.
type ScarceMemory string

// The values of ScarceMemory.
const (
	EnoughMemory            ScarceMemory = ""
	ScarceForUpstreamLists  ScarceMemory = "lists of upstream jobs"
	ScarceForUnfinishedJobs ScarceMemory = "unfinished jobs"
	ScarceForAllJobs        ScarceMemory = "all jobs"
)

// NewJob describes the memory of a job that is to be accepted.
type NewJob struct {
	Priority     Priority
	UpstreamJobs int // number of upstream jobs that the job waits for
	Pages        int // number of pages that store their IDs
	PendingBytes int // memory of submissions in progress
}

// CheckMemory reports whether there is enough memory to accept a job. All controllers keep all
// jobs, and their estimates agree but for records that they have not seen yet.
func (t *Table) CheckMemory(job NewJob) ScarceMemory {
	if t.config.MemoryBytes == 0 {
		return EnoughMemory
	}
	list := job.PendingBytes + (bytesPerReference+bytesPerDependent)*job.UpstreamJobs + bytesPerPage*job.Pages
	work := list + bytesPerJob + bytesPerSegment + EstimatedAssignmentBytes
	switch {
	case job.UpstreamJobs > 0 && t.EstimatedUpstreamBytes()+list > t.memoryShare(upstreamListShare, job.Priority):
		return ScarceForUpstreamLists
	case t.EstimatedUnfinishedBytes()+work > t.memoryShare(unfinishedWorkShare, job.Priority):
		return ScarceForUnfinishedJobs
	case t.EstimatedBytes()+work > t.memoryShare(allWorkShare, job.Priority):
		return ScarceForAllJobs
	}
	return EnoughMemory
}

// MaxGangTasks returns the number of tasks of a gang of a priority for which there is always
// memory, apart from that of other assignments.
func (t *Table) MaxGangTasks(priority Priority) int {
	if t.config.MemoryBytes == 0 {
		return math.MaxInt
	}
	return t.memoryShare(minAssignmentShare, priority) / EstimatedAssignmentBytes
}

// AssignmentsLeft returns how many more tasks of jobs of a priority may be assigned within the
// memory for assignments.
func (t *Table) AssignmentsLeft(priority Priority) int {
	if t.config.MemoryBytes == 0 {
		return math.MaxInt
	}
	other := t.EstimatedBytes() - EstimatedAssignmentBytes*t.parts.assignments
	left := t.memoryShare(allWorkShare, Production) - other
	limit := max(t.memoryShare(minAssignmentShare, priority), min(t.memoryShare(assignmentShare, priority), left))
	return max(0, limit/EstimatedAssignmentBytes-t.parts.assignments)
}
