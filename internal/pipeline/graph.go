package pipeline

import (
	"cmp"
	"container/heap"
	"encoding/json"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"lugward/internal/store"
)

// NoDeadline is the deadline of a job that has none.
const NoDeadline = math.MaxInt64

// graph is what follows from the edges between jobs. Only held jobs have
// edges here: once a job is ready all that it needs is over.
type graph struct {
	dependents map[string]map[*Job]bool // by upstream id: the held jobs that wait for it
	releasable map[*Job]bool            // held jobs that wait for nothing any more
	// upstream-cancelled are the jobs below a cancelled one whose own mark is not stored.
	upstreamCancelled map[*Job]bool
	readying          int               // ready marks under way
	queue             []*Job            // of these, in the order in which they get it
	marking           int               // marks of jobs with a cancelled upstream job under way
	stale             map[*Job]bool     // effective values are to be derived or handed on
	parts             map[string]*parts // by job
	deleting          int               // drops of parts under way
}

func newGraph() graph {
	return graph{dependents: map[string]map[*Job]bool{}, releasable: map[*Job]bool{}, upstreamCancelled: map[*Job]bool{}, stale: map[*Job]bool{}, parts: map[string]*parts{}}
}

// SetClock tells the time of day at a steady time, so that what was stored by
// another process can be counted from.
func (t *Table) SetClock(now time.Duration, wall time.Time) {
	t.wall = wall.UnixNano() - int64(now)
}

// UnixMS is the time of day at a steady time, 0 while it is not known.
func (t *Table) UnixMS(now time.Duration) int64 {
	if t.wall == 0 {
		return 0
	}
	return (t.wall + int64(now)) / 1e6
}

// steady turns a stored time into the steady one; clocks that disagree put
// nothing into the future.
func (t *Table) steady(ms int64) int64 { return min(ms*1e6-t.wall, max(t.Now, 1)) }

// onGraph takes a job's record, as it is now, into the graph.
func (t *Table) onGraph(j *Job) {
	if j.deadlineAt = NoDeadline; j.Deadline > 0 {
		from := j.ReadySince
		switch {
		case j.Submitted != 0 && t.wall != 0:
			from = t.steady(j.Submitted)
		case from == 0:
			from = max(t.Now, 1)
		}
		j.deadlineAt = from + int64(j.Deadline*1e9)
	}
	j.Chained = j.Chained || len(j.Upstream) > 0 || j.UpstreamParts > 0
	if j.linked || len(t.graph.dependents[j.ID]) > 0 {
		j.inheritStale = true
		t.graph.stale[j] = true
	} else {
		j.EffectivePriority, j.EffectiveDeadline = j.Priority, j.deadlineAt
	}
	if j.Ready || j.Final != Queued {
		t.unlink(j)
		return
	}
	t.assemble(j)
}

// assemble links a held job once its whole list of upstream jobs is there:
// until then it is neither ready nor judged.
func (t *Table) assemble(j *Job) {
	if j.linked || j.upstreamCancelled || j.Ready || j.Version == 0 || j.Final != Queued {
		return
	}
	list := j.Upstream
	if j.UpstreamParts > 0 {
		p := t.graph.parts[j.ID]
		if p == nil {
			return
		}
		list = nil
		for n := range j.UpstreamParts {
			part, ok := p.held[n]
			if !ok || (n == 0 && part.version != j.SubmissionVersion) || part.version < j.SubmissionVersion {
				return // not there, or of an older attempt
			}
			list = append(list, part.ids...)
		}
	}
	list = slices.Clone(list)
	slices.Sort(list)
	t.link(j, slices.Compact(list))
}

func (t *Table) link(j *Job, list []string) {
	j.linked, j.linkedUpstream, j.unfinishedUpstream = true, list, 0
	j.propagatedPriority, j.propagatedDeadline = Idle, NoDeadline // whatever it was before, nobody has inherited it
	upstreamCancelled := false
	for _, up := range list {
		u := t.byID[up]
		switch phase := t.Finals[up].Phase; {
		case phase == Done:
		case phase == Cancelled || (u != nil && u.upstreamCancelled):
			upstreamCancelled = true
		default:
			j.unfinishedUpstream++
			if t.graph.dependents[up] == nil {
				t.graph.dependents[up] = map[*Job]bool{}
			}
			t.graph.dependents[up][j] = true
		}
	}
	if upstreamCancelled {
		t.cancelDownstream(j)
		return
	}
	if j.unfinishedUpstream == 0 {
		t.graph.releasable[j] = true
	}
	j.inheritStale = true
	t.graph.stale[j] = true
}

// unlink takes a job that is ready or over out of the lists of what it needed.
func (t *Table) unlink(j *Job) {
	if !j.linked {
		return
	}
	for _, up := range j.linkedUpstream {
		if list := t.graph.dependents[up]; list[j] {
			delete(list, j)
			if len(list) == 0 {
				delete(t.graph.dependents, up)
			}
			if u := t.byID[up]; u != nil {
				u.inheritStale = true
				t.graph.stale[u] = true
			}
		}
	}
	j.linked, j.linkedUpstream, j.unfinishedUpstream = false, nil, 0
	delete(t.graph.releasable, j)
}

// unmarkUpstreamCancelled drops a job from those that still have to be marked: it has its mark,
// or its record is gone.
func (t *Table) unmarkUpstreamCancelled(j *Job) {
	j.upstreamCancelled = false
	delete(t.graph.upstreamCancelled, j)
}

// propagateFinal hands a final mark on to the jobs that wait for its job.
func (t *Table) propagateFinal(id string, phase Phase) {
	list := t.graph.dependents[id]
	delete(t.graph.dependents, id)
	if phase == Cancelled {
		t.cancelDownstream(inOrder(list)...)
		return
	}
	for j := range list {
		if j.unfinishedUpstream--; j.unfinishedUpstream == 0 {
			t.graph.releasable[j] = true
		}
	}
}

// cancelDownstream judges jobs, and once each all that need them, by a cancelled ancestor.
func (t *Table) cancelDownstream(stack ...*Job) {
	begin := len(t.graph.queue)
	for len(stack) > 0 {
		x := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		if x.upstreamCancelled || x.Ready || x.Final != Queued {
			continue
		}
		x.upstreamCancelled = true
		t.graph.upstreamCancelled[x] = true
		t.graph.queue = append(t.graph.queue, x)
		t.unlink(x)
		for d := range t.graph.dependents[x.ID] {
			stack = append(stack, d)
		}
		delete(t.graph.dependents, x.ID)
	}
	slices.SortFunc(t.graph.queue[begin:], older)
}

// Releasable returns the held jobs that wait for nothing any more, the most important
// first, in the order of their records.
func (t *Table) Releasable() []*Job {
	t.inherit()
	list := inOrder(t.graph.releasable)
	slices.SortStableFunc(list, func(a, b *Job) int { return cmp.Compare(b.EffectivePriority, a.EffectivePriority) })
	return list
}

func inOrder(set map[*Job]bool) []*Job {
	if len(set) == 0 {
		return nil
	}
	list := make([]*Job, 0, len(set))
	for j := range set {
		list = append(list, j)
	}
	slices.SortFunc(list, older)
	return list
}

func older(a, b *Job) int { return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.ID, b.ID)) }

// byAge pops the youngest held job first, jobs that are ready last. A job names
// only jobs that were accepted before it and a held job's record is rewritten
// by its ready mark alone, so whatever a job inherits is settled before it.
type byAge []*Job

func (h byAge) Len() int { return len(h) }
func (h byAge) Less(a, b int) bool {
	if x, y := h[a].age(), h[b].age(); x != y {
		return x > y
	}
	return h[a].ID > h[b].ID
}
func (h byAge) Swap(a, b int) { h[a], h[b] = h[b], h[a] }
func (h *byAge) Push(x any)   { *h = append(*h, x.(*Job)) }
func (h *byAge) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

func (j *Job) age() uint64 {
	if j.Ready {
		return 0
	}
	return j.Version
}

// inherit derives the effective priorities and deadlines that follow from what
// has changed, each job's once.
func (t *Table) inherit() {
	stale := t.graph.stale
	if len(stale) == 0 {
		return
	}
	h := make(byAge, 0, len(stale))
	for j := range stale {
		h = append(h, j)
	}
	heap.Init(&h)
	push := func(j *Job) {
		if !stale[j] {
			stale[j] = true
			heap.Push(&h, j)
		}
	}
	for len(h) > 0 {
		j := heap.Pop(&h).(*Job)
		delete(stale, j)
		if t.byID[j.ID] != j {
			continue
		}
		if j.inheritStale {
			j.inheritStale = false
			j.EffectivePriority, j.EffectiveDeadline = j.Priority, j.deadlineAt
			for d := range t.graph.dependents[j.ID] {
				j.inheritFrom(d)
			}
		}
		if j.EffectivePriority == j.propagatedPriority && j.EffectiveDeadline == j.propagatedDeadline {
			continue
		}
		lower := j.EffectivePriority < j.propagatedPriority || j.EffectiveDeadline > j.propagatedDeadline
		j.propagatedPriority, j.propagatedDeadline = j.EffectivePriority, j.EffectiveDeadline
		for _, up := range j.linkedUpstream {
			u := t.byID[up]
			if u == nil || u.Final != Queued {
				continue
			}
			if lower {
				u.inheritStale = true
				push(u)
			} else if u.inheritFrom(j) {
				push(u)
			}
		}
	}
}

// inheritFrom raises a job's effective values by those of one that needs it.
func (j *Job) inheritFrom(d *Job) bool {
	priority, deadline := max(j.EffectivePriority, d.EffectivePriority), j.EffectiveDeadline
	if d.EffectiveDeadline != NoDeadline {
		deadline = min(deadline, d.EffectiveDeadline-int64(d.EstimatedRuntime*1e9))
	}
	changed := priority != j.EffectivePriority || deadline != j.EffectiveDeadline
	j.EffectivePriority, j.EffectiveDeadline, j.Chained = priority, deadline, true
	return changed
}

const (
	maxRetryWait     = int64(30 * time.Second)
	maxReadyMarks    = 32 // ready marks at a time: placements wait behind them
	maxCancelMarks   = 8  // marks of jobs with a cancelled upstream job at a time: what users ask for goes first
	maxDeletingParts = 4
	orphanTimeout    = int64(time.Minute) // a list without its job is given up after this
	// RivalTimeout is how long a list that another attempt began keeps others from
	// beginning anew.
	RivalTimeout = 6 * time.Second
)

// backOff puts off the next write about a job. One that the state service calls
// malformed stays so: it is tried ever less often.
func (j *Job) backOff(r store.Result) {
	j.retryAt = int64(r.Now) + retryAfter(r, &j.rejectedWrites)
}

// retryAfter is how long to wait after a write; refused counts those in a row
// that were called malformed.
func retryAfter(r store.Result, refused *int) int64 {
	if !r.Invalid {
		*refused = 0
		return retryWait
	}
	*refused = min(*refused+1, 10)
	return min(maxRetryWait, int64(time.Second)<<*refused)
}

// MarkReady logs that held jobs of ours may start: all that they need is done.
func (t *Table) MarkReady(now time.Duration, s Submitter, ours func(*Job) bool) {
	if len(t.graph.releasable) == 0 || t.graph.readying >= maxReadyMarks {
		return
	}
	for _, j := range t.Releasable() {
		if t.graph.readying >= maxReadyMarks {
			return
		}
		if !j.marking && int64(now) >= j.retryAt && ours(j) {
			t.markReady(j, now, s)
		}
	}
}

func (t *Table) markReady(j *Job, now time.Duration, s Submitter) {
	ready := *j
	ready.Ready, ready.UpstreamParts, ready.SubmissionVersion, ready.ReadyAt = true, 0, 0, t.UnixMS(now)
	j.mark(&t.graph.readying, now, s, &store.Intent{Priority: store.Place,
		Writes: []store.Write{{Key: JobKeyOf(j.ID), Data: Encode(t.Names, &ready)}}})
}

// mark submits the writes of a mark on condition of the job's record and of no
// final mark; count is of such marks under way.
func (j *Job) mark(count *int, now time.Duration, s Submitter, in *store.Intent) {
	j.marking = true
	*count++
	in.Conditions = []store.Condition{{Key: JobKeyOf(j.ID), Version: j.Version}, {Key: FinalKeyOf(j.ID)}}
	in.Done = func(r store.Result) {
		j.marking = false
		*count--
		j.backOff(r)
	}
	s.Submit(in, now+writeTimeout)
}

// MarkUpstreamCancelled logs, a few at a time, that jobs of ours are cancelled with one
// that they need. What users are told does not wait for it.
func (t *Table) MarkUpstreamCancelled(now time.Duration, s Submitter, ours func(*Job) bool) {
	g := &t.graph
	if len(g.queue) == 0 || g.marking >= maxCancelMarks {
		return
	}
	g.queue = slices.DeleteFunc(g.queue, func(j *Job) bool { return !g.upstreamCancelled[j] })
	for _, j := range g.queue {
		if g.marking >= maxCancelMarks {
			return
		}
		if !j.marking && int64(now) >= j.retryAt && ours(j) {
			t.markUpstreamCancelled(j, now, s)
		}
	}
}

// markUpstreamCancelled writes the mark and drops the record.
func (t *Table) markUpstreamCancelled(j *Job, now time.Duration, s Submitter) {
	j.mark(&t.graph.marking, now, s, &store.Intent{Priority: store.Progress,
		Writes: []store.Write{{Key: FinalKeyOf(j.ID), Data: EncodeFinal(Cancelled, j)}, {Key: JobKeyOf(j.ID)}}})
}

// PartKey is the kind of the keys that hold a long list of upstream jobs:
// u/<id>/<n>. Part 0's version stands for the attempt to submit the job: the
// other parts and the job's record are written on condition of it.
const PartKey = "u"

// PartKeyOf names a part of a job's list.
func PartKeyOf(id string, n int) string { return PartKey + "/" + id + "/" + strconv.Itoa(n) }

type part struct {
	version uint64
	ids     []string
}

// parts are what is stored of a job's list.
type parts struct {
	held map[int]part
	seen int64 // steady time at which this part 0 (or any, if it has none) showed
}

const idPrefix = "req-"

// EncodeParts returns the stored form of a list of upstream jobs, in values
// of at most limit bytes.
func EncodeParts(ids []string, limit int) [][]byte {
	var list [][]byte
	text := []byte{'"'}
	for _, id := range ids {
		id = strings.TrimPrefix(id, idPrefix)
		if len(text) > 1 && len(text)+len(id)+2 > limit {
			list = append(list, append(text, '"'))
			text = []byte{'"'}
		}
		if len(text) > 1 {
			text = append(text, ' ')
		}
		text = append(text, id...)
	}
	return append(list, append(text, '"'))
}

func decodePart(data []byte) (ids []string, ok bool) {
	var text string
	if json.Unmarshal(data, &text) != nil {
		return nil, false
	}
	for _, id := range strings.Fields(text) {
		ids = append(ids, idPrefix+id)
	}
	return ids, true
}

func (t *Table) onPart(id string, n int, data []byte, version uint64) {
	p := t.graph.parts[id]
	if data == nil {
		if p != nil {
			delete(p.held, n)
			if len(p.held) == 0 {
				delete(t.graph.parts, id)
			}
		}
		return
	}
	ids, ok := decodePart(data)
	if !ok {
		ids = nil // never written by us; it is there to be dropped
	}
	if p == nil {
		p = &parts{held: map[int]part{}, seen: t.Now}
		t.graph.parts[id] = p
	}
	if n == 0 {
		p.seen = t.Now
	}
	p.held[n] = part{version, ids}
	if j := t.byID[id]; j != nil {
		t.assemble(j)
	}
}

// SubmissionAttempt returns the version of the attempt to submit a job that part 0 of its
// list stands for, and for how long it has shown; 0: there is none.
func (t *Table) SubmissionAttempt(id string, now time.Duration) (version uint64, shown time.Duration) {
	p := t.graph.parts[id]
	if p == nil {
		return 0, 0
	}
	return p.held[0].version, now - time.Duration(p.seen)
}

// DeleteStaleParts drops the lists that nobody needs: of jobs that are ready or over,
// and what attempts to submit left behind. Part 0 goes first, so that nothing
// is added to an attempt that is being dropped.
func (t *Table) DeleteStaleParts(now time.Duration, term store.Condition, s Submitter) {
	if len(t.graph.parts) == 0 || t.graph.deleting > 0 {
		return
	}
	ids := make([]string, 0, len(t.graph.parts))
	for id := range t.graph.parts {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		p, j := t.graph.parts[id], t.byID[id]
		_, over := t.Finals[id]
		accepted := j != nil && j.Version != 0
		if !over && ((accepted && !j.Ready) || (!accepted && int64(now)-p.seen < orphanTimeout)) {
			continue
		}
		first, zero := p.held[0]
		list := make([]int, 0, len(p.held))
		for n := range p.held {
			if zero == (n == 0) {
				list = append(list, n)
			}
		}
		slices.Sort(list)
		for _, n := range list {
			if t.graph.deleting >= maxDeletingParts {
				return
			}
			conds := []store.Condition{term}
			if n == 0 {
				conds = append(conds, store.Condition{Key: PartKeyOf(id, 0), Version: first.version})
			} else {
				conds = append(conds, store.Condition{Key: PartKeyOf(id, 0)}, store.Condition{Key: PartKeyOf(id, n), Version: p.held[n].version})
			}
			if !accepted {
				conds = append(conds, store.Condition{Key: JobKeyOf(id)})
			}
			t.graph.deleting++
			s.Submit(&store.Intent{Priority: store.Progress, Conditions: conds, Writes: []store.Write{{Key: PartKeyOf(id, n)}},
				Done: func(store.Result) { t.graph.deleting-- }}, now+writeTimeout)
		}
	}
}
