package pipeline

import (
	"lugward/internal/record"
)

// Config configures a Table.
type Config struct {
	Names *Names
	// LayoutValueBytes is the value size limit, in bytes, that determines the number of
	// tasks per run record. It must be the same for all versions and controllers, because
	// it determines which key holds a task.
	LayoutValueBytes int
	// ValueLimit is the maximum size of a written value, in bytes. It may be smaller than
	// LayoutValueBytes. Zero means LayoutValueBytes.
	ValueLimit int
	// TxnOps is the state service's limit on the number of writes per transaction.
	TxnOps int
	// MemoryBytes is the memory of the controller. Zero means no limit.
	MemoryBytes int
	// ControllerLabels are the labels of all controllers.
	ControllerLabels []string
	// OnDecodeError, if set, is called for each persisted record that cannot be decoded
	// and is therefore ignored. err is a *record.DecodeError.
	OnDecodeError func(key string, err error)
}

// Table holds the job graph as the watch cache shows it, and the leader's pending writes.
type Table struct {
	Names    *Names
	Terminal TerminalRecords

	config         Config
	roundRequested bool // an input of placement has changed since the last round began

	clock
	jobIndex
	machineIndex
	graph   graph
	pages   upstreamPageIndex
	retries retryRecords

	parts partCounts

	usageByTeam    map[TeamIndex]Usage // by team, the resources of its assignments
	endedWithTasks map[*Job]bool       // jobs with a terminal record whose tasks may still be on machines

	unsaved    map[*Job]bool   // jobs with a segment that differs from its persisted record, or whose completion is to be written
	segmentLen int             // tasks per run record
	upgraded   map[string]bool // by label, the controllers that have announced this version
}

// The number of tasks per run record is derived from the state service's value size limit.
const (
	bytesPerTask  = 32 // size of a task in the plain format, with a reserve
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

// ValueLimit returns the maximum size of a written value, in bytes.
func (t *Table) ValueLimit() int { return t.config.ValueLimit }

// RequestRound requests a scheduling round over all jobs, because an input of placement
// has changed.
func (t *Table) RequestRound() { t.roundRequested = true }

// RoundRequested reports whether a round has been requested since the last one began.
func (t *Table) RoundRequested() bool { return t.roundRequested }

// ClearRoundRequest clears the request at the start of a round.
func (t *Table) ClearRoundRequest() { t.roundRequested = false }

// HandleChange handles one change of the watch cache. data is nil if the key was deleted.
func (t *Table) HandleChange(kind record.Kind, rest string, data []byte, modRevision uint64) {
	changed, err := t.applyChange(kind, rest, data, modRevision)
	if err != nil && t.config.OnDecodeError != nil {
		t.config.OnDecodeError(string(kind)+"/"+rest, err)
	}
	if changed {
		t.RequestRound()
	}
}

// applyChange applies one change of the watch cache. It reports whether the change may
// affect placement. It returns an error if the record cannot be decoded.
func (t *Table) applyChange(kind record.Kind, rest string, data []byte, modRevision uint64) (changed bool, err error) {
	switch kind {
	case record.KindJob:
		return true, t.handleJob(rest, data, modRevision)
	case record.KindRun:
		if id, index, ok := record.SplitNumberedKey(rest); ok {
			err = t.handleRun(id, index, data, modRevision)
		}
		return true, err
	case record.KindTerminal:
		return t.handleTerminal(rest, data)
	case record.KindRetry:
		return true, t.handleRetry(rest, data, modRevision)
	case record.KindVersion:
		t.upgraded[rest] = data != nil
		return true, nil
	case record.KindUpstreamPage:
		if id, page, ok := record.SplitNumberedKey(rest); ok {
			err = t.handleUpstreamPage(id, page, data, modRevision)
		}
		return true, err
	}
	return false, nil
}

// jobOrNew returns the job. If another record of the job arrives before its job record,
// jobOrNew adds an empty job.
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

// removeIfNoRecords removes a job if it has no assignments and none of its records is left.
func (t *Table) removeIfNoRecords(job *Job) {
	if job.ModRevision != 0 || job.activeCount > 0 || job.persistedSegments > 0 {
		return
	}
	delete(t.unsaved, job)
	delete(t.retries.unsaved, job)
	delete(t.endedWithTasks, job)
	delete(t.graph.stale, job)
	t.parts.segments -= len(job.segments)
	t.remove(job)
}

// handleJob handles a change of a job record in the watch cache.
func (t *Table) handleJob(id string, data []byte, modRevision uint64) error {
	if data == nil {
		t.handleJobDeleted(id)
		return nil
	}
	job := t.jobOrNew(id)
	wasReady := job.Ready
	// Usage is computed from the spec, so the assignments are subtracted with the old
	// spec and added with the new one. Before the first spec is known they add zero.
	t.adjustJobUsage(job, -1)
	err := decodeJob(t.Names, data, job)
	job.countByMachine()
	t.adjustJobUsage(job, 1)
	if err != nil {
		return err
	}
	job.ModRevision = modRevision
	t.takeUpstream(job)
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

func (t *Table) handleJobDeleted(id string) {
	job := t.byID[id]
	if job == nil {
		return
	}
	job.ModRevision = 0
	t.forgetUpstream(job)
	t.unmarkUpstreamCancelled(job)
	t.removeIfNoRecords(job)
}
