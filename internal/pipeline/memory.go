package pipeline

import "math"

// EstimatedAssignmentBytes is the estimated memory of an assignment.
const EstimatedAssignmentBytes = 260

// Estimated bytes of memory of the parts of a table, as measured by TestEstimatedBytes, with a
// reserve for the growth of maps and lists.
const (
	bytesPerJob       = 1100 // the job, its entries in indexes, and the mod revision of its record
	bytesPerSegment   = 450  // part of a job whose tasks share a run record, and its mod revision
	bytesPerVertex    = 200  // a job that lists of upstream jobs name
	bytesPerReference = 5    // an entry in such a list
	bytesPerDependent = 6    // an entry in a list of dependents
	bytesPerPage      = 250  // a page of a list of upstream jobs, without its entries, and its mod revision
	bytesPerTerminal  = 40
)

// EstimatedBytes returns the estimated memory of the table. It depends only on the stored
// records, so that all controllers arrive at the same value, also after a restart.
func (t *Table) EstimatedBytes() int {
	return t.EstimatedUnfinishedBytes() + bytesPerTerminal*t.Terminal.len()
}

// EstimatedUnfinishedBytes returns the part of EstimatedBytes that unfinished jobs take, and
// those whose records are not deleted yet.
func (t *Table) EstimatedUnfinishedBytes() int {
	return bytesPerJob*len(t.byID) +
		bytesPerSegment*t.segmentCount +
		EstimatedAssignmentBytes*t.assignmentCount +
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

// EstimatedJobBytes returns the estimated memory of a new job without its list of upstream jobs.
func EstimatedJobBytes() int { return bytesPerJob + bytesPerSegment + EstimatedAssignmentBytes }

// EstimatedListBytes returns the estimated memory of a new list of upstream jobs, which takes
// the given number of pages.
func EstimatedListBytes(upstreamJobs, pages int) int {
	return (bytesPerReference+bytesPerDependent)*upstreamJobs + bytesPerPage*pages
}

// AssignmentsLeft returns how many more tasks may be assigned within the memory for
// assignments.
func (t *Table) AssignmentsLeft() int {
	if t.config.AssignmentBytes == 0 {
		return math.MaxInt
	}
	return max(0, t.config.AssignmentBytes/EstimatedAssignmentBytes-t.assignmentCount)
}
