package pipeline

import (
	"lugward/internal/record"
)

// Config is what a table is made for.
type Config struct {
	Names *Names
	// LayoutValueBytes is the limit on values, in bytes, for which run records are
	// laid out. All versions and controllers must agree on it, as it decides which
	// key holds a task.
	LayoutValueBytes int
	// ValueLimit bounds the values that are written, in bytes. It may be smaller than
	// LayoutValueBytes; 0: it is the same.
	ValueLimit int
	// TxnOps is the state service's limit on the writes of a transaction.
	TxnOps int
	// ControllerLabels are those of all controllers.
	ControllerLabels []string
	// OnRefusedRecord, if set, is told of each stored record that cannot be decoded
	// and is therefore ignored. err is a *record.DecodeError.
	OnRefusedRecord func(key string, err error)
}

// Table is the watch cache of the graph with the leader's pending writes.
type Table struct {
	Names    *Names
	Terminal TerminalRecords

	config         Config
	roundRequested bool // something that placement depends on has changed

	clock
	jobIndex
	machineIndex
	graph   graph
	pages   upstreamPageIndex
	retries retryRecords

	usageByTeam    map[TeamIndex]Usage // by team, what its assignments take
	endedWithTasks map[*Job]bool       // with a terminal record while tasks may be on machines

	unsaved    map[*Job]bool   // some segment differs from what is stored, or the job's completion is due
	segmentLen int             // tasks per run record
	upgraded   map[string]bool // by label, the controllers that have shown this version
}

// The number of tasks per run record follows from the state service's limit on values.
const (
	bytesPerTask  = 32 // what a task takes in the plain format, with a reserve
	minSegmentLen = 16
	maxSegmentLen = 1024
)

// NewTable returns an empty table.
func NewTable(config Config) *Table {
	if config.ValueLimit == 0 {
		config.ValueLimit = config.LayoutValueBytes
	}
	return &Table{
		Names:          config.Names,
		Terminal:       newTerminalRecords(),
		config:         config,
		jobIndex:       jobIndex{byID: map[string]*Job{}},
		machineIndex:   machineIndex{changed: map[MachineIndex]bool{}},
		graph:          newGraph(),
		pages:          upstreamPageIndex{byJob: map[string]*upstreamPages{}},
		retries:        newRetryRecords(),
		usageByTeam:    map[TeamIndex]Usage{},
		endedWithTasks: map[*Job]bool{},
		unsaved:        map[*Job]bool{},
		segmentLen:     max(minSegmentLen, min(maxSegmentLen, config.LayoutValueBytes/bytesPerTask)),
		upgraded:       map[string]bool{},
	}
}

// ValueLimit bounds the values that are written, in bytes.
func (t *Table) ValueLimit() int { return t.config.ValueLimit }

// RequestRound notes that something that placement depends on has changed, so that the
// scheduler looks at all jobs again soon.
func (t *Table) RequestRound() { t.roundRequested = true }

// RoundRequested reports whether something has changed since the last round began.
func (t *Table) RoundRequested() bool { return t.roundRequested }

// ClearRoundRequest notes that a round begins.
func (t *Table) ClearRoundRequest() { t.roundRequested = false }

// HandleChange takes one change of the watch cache; data is nil if the key was deleted.
func (t *Table) HandleChange(kind record.Kind, rest string, data []byte, modRevision uint64) {
	changed, err := t.applyChange(kind, rest, data, modRevision)
	if err != nil && t.config.OnRefusedRecord != nil {
		t.config.OnRefusedRecord(string(kind)+"/"+rest, err)
	}
	if changed {
		t.RequestRound()
	}
}

// applyChange takes a change of the watch cache. It reports whether the change may matter
// to placement. An error means that the record cannot be decoded.
func (t *Table) applyChange(kind record.Kind, rest string, data []byte, modRevision uint64) (changed bool, err error) {
	switch kind {
	case record.KindJob:
		return true, t.onJob(rest, data, modRevision)
	case record.KindRun:
		if id, index, ok := record.SplitNumbered(rest); ok {
			err = t.onRun(id, index, data, modRevision)
		}
		return true, err
	case record.KindTerminal:
		return t.onTerminal(rest, data)
	case record.KindRetry:
		return true, t.onRetry(rest, data, modRevision)
	case record.KindVersion:
		t.upgraded[rest] = data != nil
		return true, nil
	case record.KindUpstreamPage:
		if id, page, ok := record.SplitNumbered(rest); ok {
			err = t.onUpstreamPage(id, page, data, modRevision)
		}
		return true, err
	}
	return false, nil
}

// jobOrNew returns the job, adding an empty one for records that arrive first.
func (t *Table) jobOrNew(id string) *Job {
	if job := t.byID[id]; job != nil {
		return job
	}
	job := &Job{ID: id, Spec: Spec{Zone: AnyZone}}
	job.EffectiveDeadline = NoDeadline
	job.segmentLen = t.segmentLen
	job.deadlineAt = NoDeadline
	job.propagatedDeadline = NoDeadline
	t.add(job)
	if terminal, ok := t.Terminal.Get(id); ok {
		job.TerminalPhase = terminal.Phase
	}
	t.loadRetry(job)
	return job
}

// forget removes a job of which no key is left.
func (t *Table) forget(job *Job) {
	if job.ModRevision != 0 || job.activeCount > 0 {
		return
	}
	for index := range job.segments {
		if job.segments[index].modRevision != 0 {
			return
		}
	}
	delete(t.unsaved, job)
	delete(t.retries.unsaved, job)
	delete(t.endedWithTasks, job)
	delete(t.graph.stale, job)
	t.remove(job)
}

// onJob takes a job's record of the watch cache.
func (t *Table) onJob(id string, data []byte, modRevision uint64) error {
	if data == nil {
		t.onJobDeleted(id)
		return nil
	}
	job := t.jobOrNew(id)
	wasReady := job.Ready
	// Assignments count by the spec; with none known yet they counted nothing.
	t.recountUsage(job, -1)
	err := decodeJob(t.Names, data, job)
	t.recountUsage(job, 1)
	if err != nil {
		return err
	}
	job.ModRevision = modRevision
	if job.Ready && !wasReady {
		job.ReadyRevision = modRevision
		job.ReadySince = max(t.now, 1)
		if job.ReadyAt != 0 && t.clockOffset != 0 {
			job.ReadySince = t.monotonicTime(job.ReadyAt)
		}
	}
	t.updateGraph(job)
	return nil
}

func (t *Table) onJobDeleted(id string) {
	job := t.byID[id]
	if job == nil {
		return
	}
	job.ModRevision = 0
	t.unlink(job)
	t.unmarkUpstreamCancelled(job)
	t.forget(job)
}
