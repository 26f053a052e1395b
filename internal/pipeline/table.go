package pipeline

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
)

// Table is the replica of the graph with the leader's pending writes.
type Table struct {
	Names           *Names
	chunkLen        int
	txnOps          int
	Jobs            []*Job // by index; nil once gone
	byID            map[string]*Job
	Finals          map[string]Final
	byMachine       [][]*Entry // by machine
	team            map[int]Usage
	graph           graph
	dirty           map[*Job]bool
	freeIndexes     []int
	ended           map[*Job]bool // marked while tasks of theirs may be on machines
	changedMachines []int         // machines whose entries have changed, in that order
	isChanged       map[int]bool  // those in touched
	changes         []uint32      // by machine, how often its entries have changed

	// Now is the steady time of the input that is being handled.
	Now int64
	// Changed is set whenever something that placement looks at has changed.
	Changed bool
	// ValueLimit bounds the values that are written. It may be smaller than
	// what the chunks were laid out for, which all versions must agree on.
	ValueLimit int
	// Labels are those of all controllers.
	Labels []string

	dirtyRetries    map[*Job]bool          // whose retry state is not stored as it is
	storedRetries   map[string]storedRetry // by job id
	cleaningRetries map[string]bool        // whose drop is under way

	upgraded    map[string]bool // the controllers that have shown this version
	clockOffset int64           // Unix time in ns at steady time 0; 0: not known yet
}

// NewTable returns an empty table. valueBytes and txnOps are the state
// service's limits.
func NewTable(n *Names, valueBytes, txnOps int) *Table {
	return &Table{Names: n, chunkLen: max(16, min(1024, valueBytes/32)), txnOps: txnOps, byID: map[string]*Job{}, Finals: map[string]Final{},
		team: map[int]Usage{}, graph: newGraph(), upgraded: map[string]bool{}, dirtyRetries: map[*Job]bool{}, storedRetries: map[string]storedRetry{}, cleaningRetries: map[string]bool{},
		ValueLimit: valueBytes, dirty: map[*Job]bool{}, ended: map[*Job]bool{},
		isChanged: map[int]bool{}}
}

// Job returns an unfinished job, or one that is finished but not cleaned up.
func (t *Table) Job(id string) *Job { return t.byID[id] }

// Listen takes one change of the replica.
func (t *Table) Listen(kind, rest string, data []byte, version uint64) {
	switch kind {
	case JobKey:
		t.onJob(rest, data, version)
	case RunKey:
		i := strings.LastIndexByte(rest, '/')
		if i < 0 {
			return
		}
		if c, err := strconv.Atoi(rest[i+1:]); err == nil && c >= 0 {
			t.onRun(rest[:i], c, data, version)
		}
	case FinalKey:
		t.onFinal(rest, data)
	case RetryKey:
		t.onRetry(rest, data, version)
	case VersionKey:
		t.upgraded[rest] = data != nil
	case PartKey:
		i := strings.LastIndexByte(rest, '/')
		if i < 0 {
			return
		}
		if n, err := strconv.Atoi(rest[i+1:]); err == nil && n >= 0 {
			t.onPart(rest[:i], n, data, version)
		}
	default:
		return
	}
	t.Changed = true
}

// get returns the job, adding an empty one for records that arrive first.
func (t *Table) get(id string) *Job {
	j := t.byID[id]
	if j == nil {
		j = &Job{ID: id, chunkLen: t.chunkLen, Spec: Spec{Zone: -1}, EffectiveDeadline: NoDeadline, deadlineAt: NoDeadline, propagatedDeadline: NoDeadline}
		if n := len(t.freeIndexes); n > 0 {
			j.Index, t.freeIndexes = t.freeIndexes[n-1], t.freeIndexes[:n-1]
			t.Jobs[j.Index] = j
		} else {
			j.Index = len(t.Jobs)
			t.Jobs = append(t.Jobs, j)
		}
		t.byID[id] = j
		if f, ok := t.Finals[id]; ok {
			j.Final = f.Phase
		}
		t.loadRetry(j)
	}
	return j
}

// forget removes a job of which no key is left.
func (t *Table) forget(j *Job) {
	if j.Version != 0 || j.active > 0 {
		return
	}
	for i := range j.Chunk {
		if j.Chunk[i].Version != 0 {
			return
		}
	}
	delete(t.byID, j.ID)
	delete(t.dirty, j)
	delete(t.dirtyRetries, j)
	delete(t.ended, j)
	delete(t.graph.stale, j)
	t.Jobs[j.Index] = nil
	t.freeIndexes = append(t.freeIndexes, j.Index)
}

func (t *Table) onJob(id string, data []byte, version uint64) {
	if data == nil {
		if j := t.byID[id]; j != nil {
			j.Version = 0
			t.unlink(j)
			t.unmarkUpstreamCancelled(j)
			t.forget(j)
		}
		return
	}
	j := t.get(id)
	was := j.Ready
	// Entries count by the spec; with none known yet they counted nothing.
	t.recount(j, -1)
	if !decode(t.Names, data, j) {
		t.recount(j, 1)
		return
	}
	t.recount(j, 1)
	j.Version = version
	if j.Ready && !was {
		j.Order, j.ReadySince = version, max(t.Now, 1)
		if j.ReadyAt != 0 && t.clockOffset != 0 {
			j.ReadySince = t.steadyTime(j.ReadyAt)
		}
	}
	t.updateGraph(j)
}

// byReadiness compares jobs by the order in which they became ready. Jobs of one
// transaction share their place and follow their IDs.
func byReadiness(a, b *Job) int {
	return cmp.Or(cmp.Compare(a.Order, b.Order), cmp.Compare(a.ID, b.ID))
}

// Unfinished returns the ready jobs that are not over, in the order in which
// they became ready.
func (t *Table) Unfinished() []*Job {
	t.inherit()
	var list []*Job
	for _, j := range t.Jobs {
		if j != nil && j.Version != 0 && j.Ready && j.Final == Queued {
			list = append(list, j)
		}
	}
	slices.SortFunc(list, byReadiness)
	return list
}

// JobKeyOf is the key of a job's record.
func JobKeyOf(id string) string { return JobKey + "/" + id }

// FinalKeyOf is the key of a job's final mark.
func FinalKeyOf(id string) string { return FinalKey + "/" + id }

func runKey(id string, c int) string { return RunKey + "/" + id + "/" + strconv.Itoa(c) }
