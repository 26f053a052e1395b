package pipeline

import (
	"encoding/json"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"lugward/internal/store"
)

// Final is a job's final mark.
type Final struct {
	Phase  Phase
	N      int
	Daemon bool // as far as the mark tells
}

// Usage is what tasks take of machines or of a team's limit.
type Usage struct{ CPUs, GPUs, Memory float64 }

// Add counts n tasks.
func (u *Usage) Add(s *Spec, n float64) {
	u.CPUs += n * s.CPUs
	u.GPUs += n * s.GPUs
}

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

	upgraded map[string]bool // the controllers that have shown this version
	wall     int64           // unix ns at steady time 0, 0: not told yet
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

// OnMachine returns the entries of a machine, as they are now: what is removed
// meanwhile stays in the list that was returned.
func (t *Table) OnMachine(machine int) []*Entry {
	if machine < 0 || machine >= len(t.byMachine) {
		return nil
	}
	return t.byMachine[machine]
}

// MachinesInUse calls f for every machine with entries.
func (t *Table) MachinesInUse(f func(machine int)) {
	for h, list := range t.byMachine {
		if len(list) > 0 {
			f(h)
		}
	}
}

// MarkMachineChanged notes that something about the entries of a machine has changed.
func (t *Table) MarkMachineChanged(machine int) {
	for len(t.changes) <= machine {
		t.changes = append(t.changes, 0)
	}
	t.changes[machine]++
	if !t.isChanged[machine] {
		t.isChanged[machine] = true
		t.changedMachines = append(t.changedMachines, machine)
	}
}

// Changes counts the changes of a machine's entries: whoever keeps something
// that follows from them compares it.
func (t *Table) Changes(machine int) uint32 {
	if machine >= len(t.changes) {
		return 0
	}
	return t.changes[machine]
}

// TakeChangedMachines returns, once each, the machines whose entries have changed.
func (t *Table) TakeChangedMachines() []int {
	list := t.changedMachines
	t.changedMachines = nil
	clear(t.isChanged)
	return list
}

// Team returns what a team's tasks may be using.
func (t *Table) Team(team int) Usage { return t.team[team] }

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
		if j.ReadyAt != 0 && t.wall != 0 {
			j.ReadySince = t.steady(j.ReadyAt)
		}
	}
	t.onGraph(j)
}

func (t *Table) recount(j *Job, sign float64) {
	j.Entries(func(e *Entry) {
		t.count(e, sign)
		t.MarkMachineChanged(e.Machine)
	})
}

func (t *Table) count(e *Entry, sign float64) {
	u := t.team[e.Job.Team]
	u.Add(&e.Job.Spec, sign)
	t.team[e.Job.Team] = u
}

func (t *Table) add(e *Entry) {
	e.Job.active++
	t.count(e, 1)
	for len(t.byMachine) <= e.Machine {
		t.byMachine = append(t.byMachine, nil)
	}
	t.byMachine[e.Machine] = append(slices.Clip(t.byMachine[e.Machine]), e)
	t.MarkMachineChanged(e.Machine)
}

func (t *Table) remove(e *Entry) {
	e.Job.active--
	if e.Pending == PendingDone {
		e.Job.marked--
	}
	t.count(e, -1)
	t.MarkMachineChanged(e.Machine)
	t.byMachine[e.Machine] = slices.DeleteFunc(slices.Clone(t.byMachine[e.Machine]), func(o *Entry) bool { return o == e })
}

// chunk returns the job's chunk c, growing the list.
func (t *Table) chunk(j *Job, c int) *Chunk {
	for len(j.Chunk) <= c {
		j.Chunk = append(j.Chunk, Chunk{Done: make([]uint64, (t.chunkLen+63)/64), Entries: map[int]*Entry{}})
	}
	return &j.Chunk[c]
}

// onRun replaces what the table knows of a chunk by what is stored: this is
// the only place where an entry becomes durable or goes away for good.
func (t *Table) onRun(id string, c int, data []byte, version uint64) {
	if data == nil && t.byID[id] == nil {
		return
	}
	if c > 1<<20/t.chunkLen {
		return
	}
	j := t.get(id)
	ch := t.chunk(j, c)
	var attempt uint64
	var done []uint64
	var active []runEntry
	if data != nil {
		var ok bool
		if attempt, done, active, ch.compacted, ok = decodeRun(data, len(ch.Done)); !ok {
			return
		}
		ch.Attempt = max(ch.Attempt, attempt)
		for i := range done {
			ch.Done[i] |= done[i] // a done task stays done
		}
	}
	ch.Version = version
	if data == nil {
		ch.Version = 0
	}
	stored := map[int]*Entry{}
	for _, a := range active {
		machine := t.Names.Machines.Index(a.machine)
		e := ch.Entries[a.task]
		if e == nil || e.Machine != machine || e.Attempt != a.attempt {
			if e != nil {
				t.remove(e)
			}
			e = &Entry{Job: j, Task: a.task, Machine: machine, Attempt: a.attempt}
			ch.Entries[a.task] = e
			t.add(e)
		}
		if !e.Durable {
			t.MarkMachineChanged(machine)
		}
		e.Durable, e.sent = true, true
		stored[a.task] = e
	}
	for task, e := range ch.Entries {
		if stored[task] == nil && (e.Durable || j.Final != Queued || j.IsDone(task)) {
			delete(ch.Entries, task)
			t.remove(e)
		}
	}
	n := 0
	for i := range j.Chunk {
		for _, w := range j.Chunk[i].Done {
			for ; w != 0; w &= w - 1 {
				n++
			}
		}
	}
	j.done = n
	for task := range j.doneUnlogged {
		if j.IsDone(task) {
			delete(j.doneUnlogged, task)
		}
	}
	if j.complete() {
		t.dirty[j] = true // an unknown write turned out well
	}
	if data == nil {
		t.forget(j)
	}
}

func (t *Table) onFinal(id string, data []byte) {
	if data == nil {
		return // never dropped
	}
	var r finalRecord
	if json.Unmarshal(data, &r) != nil {
		return
	}
	f := Final{Phase: Done, N: r.N, Daemon: r.Daemon}
	if r.Phase == markCancelled {
		f.Phase = Cancelled
	}
	t.Finals[id] = f
	t.propagateFinal(id, f.Phase)
	if j := t.byID[id]; j != nil {
		j.Final = f.Phase
		t.unlink(j)
		t.unmarkUpstreamCancelled(j)
		if j.active > 0 {
			t.ended[j] = true
			j.Entries(func(e *Entry) { t.MarkMachineChanged(e.Machine) })
		}
		// A placement that is not stored by now never will be: its write
		// requires that there is no final mark.
		for i := range j.Chunk {
			for task, e := range j.Chunk[i].Entries {
				if !e.Durable {
					delete(j.Chunk[i].Entries, task)
					t.remove(e)
				}
			}
		}
		if f.Phase == Done {
			t.dropCompleted(j)
		}
		t.forget(j)
	}
}

// TakeEnded returns, once each, the jobs that are over while tasks of theirs
// may be on machines.
func (t *Table) TakeEnded() []*Job {
	list := make([]*Job, 0, len(t.ended))
	for j := range t.ended {
		list = append(list, j)
	}
	clear(t.ended)
	return list
}

// before is the order of readiness. Jobs of one transaction have the same.
func before(a, b *Job) bool { return a.Order < b.Order || (a.Order == b.Order && a.ID < b.ID) }

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
	sort.Slice(list, func(a, b int) bool { return before(list[a], list[b]) })
	return list
}

// Place records the pending write to start a task on a machine. The start may be sent
// once the entry is durable.
func (t *Table) Place(j *Job, task, machine int, attempt uint64, now int64) *Entry {
	ch := t.chunk(j, task/t.chunkLen)
	if attempt == 0 {
		attempt = ch.Attempt + 1
	}
	ch.Attempt = max(ch.Attempt, attempt)
	e := &Entry{Job: j, Task: task, Machine: machine, Attempt: attempt, PlacedAt: now}
	ch.Entries[task] = e
	t.add(e)
	if j.AtFault() && j.Shape != Gang {
		j.retry.probe = e
	}
	ch.placing = true
	t.markDirty(j, ch)
	return e
}

func (t *Table) markDirty(j *Job, ch *Chunk) {
	ch.dirty = true
	ch.changeCount++
	t.dirty[j] = true
}

// Clear records that an attempt is proven to have terminated.
func (t *Table) Clear(e *Entry) {
	if e.Pending == PendingDone {
		return
	}
	ch := &e.Job.Chunk[e.Task/t.chunkLen]
	if !e.sent && !e.Durable {
		// Never part of a write: nothing to undo.
		if ch.Entries[e.Task] == e {
			delete(ch.Entries, e.Task)
			t.remove(e)
			t.Changed = true
		}
		return
	}
	if e.Pending != PendingClear {
		e.Pending = PendingClear
		t.MarkMachineChanged(e.Machine)
		t.markDirty(e.Job, ch)
	}
}

// MarkDone records that a task has completed, whichever attempt it was.
func (t *Table) MarkDone(j *Job, task int) {
	if task < 0 || task >= j.TaskCount || j.IsDone(task) || j.Final != Queued {
		return
	}
	ch := t.chunk(j, task/t.chunkLen)
	if e := ch.Entries[task]; e != nil {
		if e.Pending != PendingDone {
			e.Pending = PendingDone
			j.marked++
			t.MarkMachineChanged(e.Machine)
			t.markDirty(j, ch)
		}
		return
	}
	if !j.doneUnlogged[task] {
		if j.doneUnlogged == nil {
			j.doneUnlogged = map[int]bool{}
		}
		j.doneUnlogged[task] = true
		t.markDirty(j, ch)
	}
}

// Reset drops everything that only a leader knows.
func (t *Table) Reset() {
	for _, j := range t.Jobs {
		if j == nil {
			continue
		}
		t.resetRetry(j)
		j.WithinGuarantee, j.ReservedZone = false, 0
		j.Stopping, j.doneUnlogged, j.cleaning, j.finishing = false, nil, false, false
		for i := range j.Chunk {
			ch := &j.Chunk[i]
			ch.dirty, ch.placing, ch.retryAt = false, false, 0
			for task, e := range ch.Entries {
				if !e.Durable {
					delete(ch.Entries, task)
					t.remove(e)
					continue
				}
				t.MarkMachineChanged(e.Machine)
				e.Pending, e.Phase, e.Evict, e.StartedAt, e.PlacedAt, e.OrderedSequence, e.MissedReports = NoPendingWrite, Unseen, false, 0, 0, 0, 0
			}
		}
		j.marked = 0
	}
	clear(t.dirty)
	clear(t.dirtyRetries)
	clear(t.cleaningRetries)
	clear(t.ended)
	for _, j := range t.Jobs {
		// All tasks are logged as done and the leader that logged it is gone:
		// nothing else would ever mark the job.
		if j != nil && j.complete() {
			t.dirty[j] = true
		}
		if j != nil && j.Final != Queued && j.active > 0 {
			t.ended[j] = true
		}
	}
	t.Changed = true
}

// JobKeyOf is the key of a job's record.
func JobKeyOf(id string) string { return JobKey + "/" + id }

// FinalKeyOf is the key of a job's final mark.
func FinalKeyOf(id string) string { return FinalKey + "/" + id }

func runKey(id string, c int) string { return RunKey + "/" + id + "/" + strconv.Itoa(c) }

const (
	writeTimeout = 20 * time.Second // a pending write waits this long for the write rate
	retryWait    = int64(200 * time.Millisecond)
	deferredWait = int64(time.Second) // until placements that had no capacity are tried again
)

// Submitter queues intents; *store.Client is one.
type Submitter interface {
	Submit(in *store.Intent, expires time.Duration)
}

// Flush turns pending writes into intents. term is the condition that our term holds.
func (t *Table) Flush(now time.Duration, term store.Condition, s Submitter) {
	if len(t.dirty) == 0 {
		return
	}
	list := make([]*Job, 0, len(t.dirty))
	for j := range t.dirty {
		list = append(list, j)
	}
	sort.Slice(list, func(a, b int) bool { return before(list[a], list[b]) })
	for _, j := range list {
		if t.finish(j, now, term, s) {
			continue
		}
		left := false
		for c := range j.Chunk {
			ch := &j.Chunk[c]
			if !ch.dirty {
				continue
			}
			left = true
			if int64(now) >= ch.retryAt {
				t.write(j, c, now, term, s)
			}
		}
		if !left {
			delete(t.dirty, j)
		}
	}
}

// complete tells whether every task is done, counting what is not stored yet.
func (j *Job) complete() bool {
	if j.Shape == Daemon || j.Final != Queued || j.Version == 0 {
		return false
	}
	return j.done+len(j.doneUnlogged)+j.marked >= j.TaskCount
}

// finish marks a job done. The mark is all that users and the jobs that need it
// wait for: the job's records are dropped by Clean, behind everything else.
func (t *Table) finish(j *Job, now time.Duration, term store.Condition, s Submitter) bool {
	if j.finishing {
		return true
	}
	if !j.complete() {
		return false
	}
	for c := range j.Chunk {
		if int64(now) < j.Chunk[c].retryAt {
			return true // the replica does not show what was written last
		}
	}
	j.finishing = true
	in := &store.Intent{Priority: store.Progress, Rank: j.writeRank(), Key: FinalKeyOf(j.ID)}
	in.Build = func(in *store.Intent) bool {
		if !j.complete() {
			return false
		}
		in.Conditions = []store.Condition{term, {Key: JobKeyOf(j.ID), Version: j.Version}, {Key: FinalKeyOf(j.ID)}}
		in.Writes = []store.Write{{Key: FinalKeyOf(j.ID), Data: EncodeFinal(Done, j)}}
		return true
	}
	in.Done = func(r store.Result) {
		j.finishing = false
		if r.Outcome != store.OK {
			j.backOff(r)
			for c := range j.Chunk {
				j.Chunk[c].retryAt = j.retryAt
			}
		}
	}
	s.Submit(in, now+writeTimeout)
	return true
}

// writeRank orders the writes of jobs among those of one priority: those of the
// lowest priority go last, since a swarm of them may take all of the write rate.
func (j *Job) writeRank() int {
	return int(min(j.EffectivePriority, Normal))
}

// dropCompleted frees what the completed tasks of a job took once its mark is
// stored: their machines have reported their end (of a gang one does, as all of it
// ends together), and the mark keeps them from being started again. What is left may still be on a machine and waits for its proof.
func (t *Table) dropCompleted(j *Job) {
	for c := range j.Chunk {
		chunk := &j.Chunk[c]
		for task, e := range chunk.Entries {
			if e.Pending == PendingDone && (e.Phase == Exited || j.Shape == Gang) {
				delete(chunk.Entries, task)
				t.remove(e)
			}
		}
	}
	if j.active > 0 {
		return
	}
	for c := range j.Chunk {
		j.Chunk[c].dirty = false // Clean drops the record
	}
	delete(t.dirty, j)
	delete(t.ended, j)
}

// write queues the write of a chunk. What it holds is decided when its turn
// comes: a busy job's tasks share one write however many change meanwhile.
func (t *Table) write(j *Job, c int, now time.Duration, term store.Condition, s Submitter) {
	if j.Chunk[c].queued[1] {
		return // it will carry whatever has changed by then
	}
	kind, priority := 0, store.Progress
	if j.Chunk[c].placing {
		kind, priority = 1, store.Place
	}
	if j.Chunk[c].queued[kind] {
		return
	}
	j.Chunk[c].queued[kind] = true
	built := 0
	in := &store.Intent{Priority: priority, Rank: j.writeRank(), Key: runKey(j.ID, c)}
	in.Build = func(in *store.Intent) bool {
		ch := &j.Chunk[c]
		if !ch.dirty || j.finishing {
			return false
		}
		built = ch.changeCount
		return t.build(in, j, c, term)
	}
	in.Done = func(r store.Result) {
		ch := &j.Chunk[c]
		ch.queued[kind] = false
		switch {
		case r.Outcome == store.OK:
			// An entry that may have been in a write whose outcome never came
			// is gone now: that write built on an older version.
			for task, e := range ch.Entries {
				if e.dropped && !e.Durable {
					delete(ch.Entries, task)
					t.remove(e)
					t.Changed = true
				}
			}
			ch.rejectedWrites = 0
			switch {
			case ch.changeCount != built:
			case ch.deferredPlacements > 0:
				ch.placing, ch.retryAt = true, int64(r.Now)+deferredWait
			default:
				ch.dirty = false
			}
		case ch.dirty:
			// The pending write stands. If the write was carried out unseen, its
			// retry conflicts until the replica shows it, then builds on it.
			ch.retryAt = int64(r.Now) + retryAfter(r, &ch.rejectedWrites)
			if ch.deferredPlacements > 0 {
				ch.retryAt = max(ch.retryAt, int64(r.Now)+deferredWait)
			}
			t.dirty[j] = true
			for _, e := range ch.Entries {
				ch.placing = ch.placing || (e.Pending == NoPendingWrite && !e.Durable)
			}
		}
	}
	s.Submit(in, now+writeTimeout)
}

// build fills in a write of a chunk as things stand.
func (t *Table) build(in *store.Intent, j *Job, c int, term store.Condition) bool {
	ch := &j.Chunk[c]
	done := append([]uint64(nil), ch.Done...)
	var active, fresh []*Entry
	ch.placing = false
	changed := false
	for _, e := range ch.Entries {
		changed = changed || e.Pending != NoPendingWrite
		switch e.Pending {
		case NoPendingWrite:
			if e.Durable {
				active = append(active, e)
			} else {
				fresh = append(fresh, e)
			}
		case PendingDone:
			done[e.Task%t.chunkLen/64] |= 1 << (e.Task % t.chunkLen % 64)
		case PendingClear:
			e.dropped = true
		}
	}
	for task := range j.doneUnlogged {
		if task/t.chunkLen == c {
			changed = true
			done[task%t.chunkLen/64] |= 1 << (task % t.chunkLen % 64)
		}
	}
	in.Conditions = []store.Condition{term, {Key: runKey(j.ID, c), Version: ch.Version}}
	if j.Final == Queued {
		in.Conditions = append(in.Conditions, store.Condition{Key: FinalKeyOf(j.ID)})
	}
	if j.Final != Queued && len(active)+len(fresh) == 0 {
		ch.deferredPlacements = 0
		if ch.Version == 0 {
			ch.dirty = false
			return false
		}
		in.Writes = []store.Write{{Key: runKey(j.ID, c)}}
	} else {
		data, taken := t.fit(j, ch, done, active, fresh)
		if ch.deferredPlacements = len(fresh) - len(taken); ch.deferredPlacements > 0 && len(taken) == 0 && !changed {
			return false // what is stored says it all
		}
		for _, e := range taken {
			e.sent = true
		}
		in.Writes = []store.Write{{Key: runKey(j.ID, c), Data: data}}
	}
	return true
}

// fit encodes a chunk within the limit on values: as every version reads it
// while that fits, else compact once every controller is known to read that.
// Placements that are not stored yet are left out until there is capacity for them,
// those of a gang all together; taken are the others.
func (t *Table) fit(j *Job, ch *Chunk, done []uint64, active, fresh []*Entry) (data []byte, taken []*Entry) {
	encode := func(n int) []byte {
		list := slices.Concat(active, fresh[:n])
		data := encodeRun(t.Names, ch.Attempt, done, list, false)
		if len(data) > t.ValueLimit && t.AllUpgraded() {
			data = encodeRun(t.Names, ch.Attempt, done, list, true)
		}
		return data
	}
	if data = encode(len(fresh)); len(data) <= t.ValueLimit || len(fresh) == 0 {
		return data, fresh
	}
	sort.Slice(fresh, func(a, b int) bool { return fresh[a].Task < fresh[b].Task })
	n := 0
	if j.Shape != Gang {
		n = sort.Search(len(fresh), func(n int) bool { return len(encode(n+1)) > t.ValueLimit })
	}
	return encode(n), fresh[:n]
}

// VersionKey is the kind of the keys v/<label> by which each controller shows,
// for good, that it runs this version.
const VersionKey = "v"

// Version is what is stored there.
var Version = []byte(`{"v":3}`)

// AllUpgraded tells whether every controller has shown that it runs this version.
func (t *Table) AllUpgraded() bool {
	for _, l := range t.Labels {
		if !t.upgraded[l] {
			return false
		}
	}
	return len(t.Labels) > 0
}

// Compact counts the run records that are stored in the compact form.
func (t *Table) Compact() (n int) {
	for _, j := range t.Jobs {
		if j == nil {
			continue
		}
		for c := range j.Chunk {
			if j.Chunk[c].compacted && j.Chunk[c].Version != 0 {
				n++
			}
		}
	}
	return n
}

// ExpandRecords has compact records written plain that fit so again, as they do once
// the limit is the larger one: before the service can go back to a version that
// does not read them. At most limit at a time.
func (t *Table) ExpandRecords(limit int) {
	for _, j := range t.Jobs {
		if j == nil || j.Final != Queued {
			continue
		}
		for c := range j.Chunk {
			ch := &j.Chunk[c]
			if !ch.compacted || ch.dirty || ch.Version == 0 {
				continue
			}
			if limit--; limit < 0 {
				return
			}
			list := make([]*Entry, 0, len(ch.Entries))
			for _, e := range ch.Entries {
				list = append(list, e)
			}
			if len(encodeRun(t.Names, ch.Attempt, ch.Done, list, false)) <= t.ValueLimit {
				t.markDirty(j, ch)
			}
		}
	}
}

// Clean drops the records that finished jobs leave behind, once nothing of
// theirs can be on a machine; at most limit jobs at a time.
func (t *Table) Clean(now time.Duration, term store.Condition, s Submitter, limit int) {
	t.cleanRetries(now, term, s, limit)
	for _, j := range t.Jobs {
		if limit == 0 {
			return
		}
		if j == nil || j.Final == Queued || j.cleaning || j.active > 0 || int64(now) < j.retryAt {
			continue
		}
		in := &store.Intent{Priority: store.Cleanup, Conditions: []store.Condition{term}}
		for c := range j.Chunk {
			if j.Chunk[c].Version != 0 && len(in.Writes) < t.txnOps-1 {
				in.Conditions = append(in.Conditions, store.Condition{Key: runKey(j.ID, c), Version: j.Chunk[c].Version})
				in.Writes = append(in.Writes, store.Write{Key: runKey(j.ID, c)})
			}
		}
		if j.Version != 0 {
			in.Conditions = append(in.Conditions, store.Condition{Key: JobKeyOf(j.ID), Version: j.Version})
			in.Writes = append(in.Writes, store.Write{Key: JobKeyOf(j.ID)})
		}
		if len(in.Writes) == 0 {
			continue
		}
		j.cleaning = true
		in.Done = func(r store.Result) {
			j.cleaning = false
			j.backOff(r)
		}
		s.Submit(in, now+writeTimeout)
		limit--
	}
}
