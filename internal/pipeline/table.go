package pipeline

import (
	"cmp"
	"slices"

	"lugward/internal/event"
	"lugward/internal/record"
)

// Table is the replica of the graph with the leader's pending writes.
type Table struct {
	Names    *Names
	Jobs     []*Job // by index; nil: the index is free
	Terminal TerminalRecords
	// ValueLimit bounds the values that are written, in bytes. It may be smaller
	// than what the chunks were laid out for, which all versions must agree on.
	ValueLimit int
	// ControllerLabels are those of all controllers.
	ControllerLabels []string

	now            event.Time // of the input that is being handled
	roundRequested bool       // something that placement depends on has changed

	byID        map[string]*Job
	freeIndexes []int // of Jobs
	graph       graph
	machineIndex
	team       map[int]Usage // by team, what its entries take
	terminated map[*Job]bool // marked while tasks of theirs may be on machines
	retryRecords

	dirty       map[*Job]bool   // some chunk differs from what is stored, or the done mark is due
	segmentLen  int             // tasks per run record
	txnOps      int             // the state service's limit on writes in a transaction
	upgraded    map[string]bool // by label, the controllers that have shown this version
	clockOffset int64           // Unix time in ns at monotonic time 0; 0: not known yet
}

// The number of tasks per run record follows from the state service's limit on
// values. All versions must agree on it, as it decides which key holds a task.
const (
	bytesPerTask  = 32 // what a task takes in the plain format, with a reserve
	minSegmentLen = 16
	maxSegmentLen = 1024
)

// NewTable returns an empty table. valueBytes and txnOps are the state
// service's limits.
func NewTable(n *Names, valueBytes, txnOps int) *Table {
	return &Table{
		Names:        n,
		Terminal:     newTerminalRecords(),
		ValueLimit:   valueBytes,
		byID:         map[string]*Job{},
		graph:        newGraph(),
		machineIndex: machineIndex{isChanged: map[int]bool{}},
		team:         map[int]Usage{},
		terminated:   map[*Job]bool{},
		retryRecords: newRetryRecords(),
		dirty:        map[*Job]bool{},
		segmentLen:   max(minSegmentLen, min(maxSegmentLen, valueBytes/bytesPerTask)),
		txnOps:       txnOps,
		upgraded:     map[string]bool{},
	}
}

// SetNow sets the time of the input that is being handled.
func (t *Table) SetNow(now event.Time) { t.now = now }

// Now returns the time of the input that is being handled.
func (t *Table) Now() event.Time { return t.now }

// RequestRound notes that something that placement depends on has changed, so that the
// scheduler looks at all jobs again soon.
func (t *Table) RequestRound() { t.roundRequested = true }

// RoundRequested reports whether something has changed since the last round began.
func (t *Table) RoundRequested() bool { return t.roundRequested }

// ClearRoundRequest notes that a round begins.
func (t *Table) ClearRoundRequest() { t.roundRequested = false }

// Job returns an unfinished job, or one that is finished but not cleaned up.
func (t *Table) Job(id string) *Job { return t.byID[id] }

// HandleChange takes one change of the replica; data is nil if the key was deleted.
func (t *Table) HandleChange(kind record.Kind, rest string, data []byte, version uint64) {
	switch kind {
	case record.KindJob:
		t.onJob(rest, data, version)
	case record.KindRun:
		if id, index, ok := record.SplitNumbered(rest); ok {
			t.onRun(id, index, data, version)
		}
	case record.KindTerminal:
		if !t.onTerminal(rest, data) {
			return
		}
	case record.KindRetry:
		t.onRetry(rest, data, version)
	case record.KindVersion:
		t.upgraded[rest] = data != nil
	case record.KindUpstreamPage:
		if id, n, ok := record.SplitNumbered(rest); ok {
			t.onUpstreamPage(id, n, data, version)
		}
	default:
		return
	}
	t.RequestRound()
}

// get returns the job, adding an empty one for records that arrive first.
func (t *Table) get(id string) *Job {
	if j := t.byID[id]; j != nil {
		return j
	}
	j := &Job{ID: id, Spec: Spec{Zone: AnyZone}, EffectiveDeadline: NoDeadline}
	j.segmentLen = t.segmentLen
	j.deadlineAt = NoDeadline
	j.propagatedDeadline = NoDeadline
	t.assignIndex(j)
	t.byID[id] = j
	if f, ok := t.Terminal.Get(id); ok {
		j.TerminalPhase = f.Phase
	}
	t.loadRetry(j)
	return j
}

// assignIndex gives a new job an index that is free.
func (t *Table) assignIndex(j *Job) {
	last := len(t.freeIndexes) - 1
	if last < 0 {
		j.Index = len(t.Jobs)
		t.Jobs = append(t.Jobs, j)
		return
	}
	j.Index = t.freeIndexes[last]
	t.freeIndexes = t.freeIndexes[:last]
	t.Jobs[j.Index] = j
}

// forget removes a job of which no key is left.
func (t *Table) forget(j *Job) {
	if j.ModRevision != 0 || j.active > 0 {
		return
	}
	for index := range j.Segments {
		if j.Segments[index].ModRevision != 0 {
			return
		}
	}
	delete(t.byID, j.ID)
	delete(t.dirty, j)
	delete(t.dirtyRetries, j)
	delete(t.terminated, j)
	delete(t.graph.stale, j)
	t.Jobs[j.Index] = nil
	t.freeIndexes = append(t.freeIndexes, j.Index)
}

// onJob takes a job's record of the replica.
func (t *Table) onJob(id string, data []byte, version uint64) {
	if data == nil {
		t.onJobDeleted(id)
		return
	}
	j := t.get(id)
	wasReady := j.Ready
	// Entries count by the spec; with none known yet they counted nothing.
	t.recountUsage(j, -1)
	err := decodeJob(t.Names, data, j)
	t.recountUsage(j, 1)
	if err != nil {
		return
	}
	j.ModRevision = version
	if j.Ready && !wasReady {
		j.ReadyRevision = version
		j.ReadySince = max(t.now, 1)
		if j.ReadyAt != 0 && t.clockOffset != 0 {
			j.ReadySince = t.monotonicTime(j.ReadyAt)
		}
	}
	t.updateGraph(j)
}

func (t *Table) onJobDeleted(id string) {
	j := t.byID[id]
	if j == nil {
		return
	}
	j.ModRevision = 0
	t.unlink(j)
	t.unmarkUpstreamCancelled(j)
	t.forget(j)
}

// byReadiness compares jobs by the order in which they became ready. Jobs of one
// transaction share their place and follow their IDs.
func byReadiness(a, b *Job) int {
	return cmp.Or(cmp.Compare(a.ReadyRevision, b.ReadyRevision), cmp.Compare(a.ID, b.ID))
}

// ReadyJobs returns the ready jobs that are not over, in the order in which
// they became ready.
func (t *Table) ReadyJobs() []*Job {
	t.inherit()
	var list []*Job
	for _, j := range t.Jobs {
		if j != nil && j.ModRevision != 0 && j.Ready && j.TerminalPhase == Queued {
			list = append(list, j)
		}
	}
	slices.SortFunc(list, byReadiness)
	return list
}
