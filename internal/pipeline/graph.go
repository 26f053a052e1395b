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

// NoDue is the deadline of a job that has none.
const NoDue = math.MaxInt64

// graph is what follows from the edges between jobs. Only held jobs have
// edges here: once a job is ready all that it needs is over.
type graph struct {
	needs map[string]map[*Job]bool // by upstream id: the held jobs that wait for it
	free  map[*Job]bool            // held jobs that wait for nothing any more
	// doomed are the jobs below a cancelled one whose own mark is not stored.
	doomed   map[*Job]bool
	readying int               // ready marks under way
	queue    []*Job            // of these, in the order in which they get it
	marking  int               // marks of doomed jobs under way
	stale    map[*Job]bool     // effective values are to be derived or handed on
	parts    map[string]*parts // by job
	cutting  int               // drops of parts under way
}

func newGraph() graph {
	return graph{needs: map[string]map[*Job]bool{}, free: map[*Job]bool{}, doomed: map[*Job]bool{}, stale: map[*Job]bool{}, parts: map[string]*parts{}}
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
	if j.dueAt = NoDue; j.Due > 0 {
		from := j.FirstSeen
		switch {
		case j.Submitted != 0 && t.wall != 0:
			from = t.steady(j.Submitted)
		case from == 0:
			from = max(t.Now, 1)
		}
		j.dueAt = from + int64(j.Due*1e9)
	}
	j.Chained = j.Chained || len(j.Up) > 0 || j.Parts > 0
	if j.linked || len(t.graph.needs[j.ID]) > 0 {
		j.full = true
		t.graph.stale[j] = true
	} else {
		j.EffRank, j.EffDue = j.Rank, j.dueAt
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
	if j.linked || j.doomed || j.Ready || j.Stamp == 0 || j.Final != Queued {
		return
	}
	list := j.Up
	if j.Parts > 0 {
		p := t.graph.parts[j.ID]
		if p == nil {
			return
		}
		list = nil
		for n := range j.Parts {
			part, ok := p.held[n]
			if !ok || (n == 0 && part.stamp != j.Attempt) || part.stamp < j.Attempt {
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
	j.linked, j.waits, j.missing = true, list, 0
	j.toldRank, j.toldDue = Idle, NoDue // whatever it was before, nobody has inherited it
	doomed := false
	for _, up := range list {
		u := t.byID[up]
		switch phase := t.Finals[up].Phase; {
		case phase == Done:
		case phase == Cancelled || (u != nil && u.doomed):
			doomed = true
		default:
			j.missing++
			if t.graph.needs[up] == nil {
				t.graph.needs[up] = map[*Job]bool{}
			}
			t.graph.needs[up][j] = true
		}
	}
	if doomed {
		t.doom(j)
		return
	}
	if j.missing == 0 {
		t.graph.free[j] = true
	}
	j.full = true
	t.graph.stale[j] = true
}

// unlink takes a job that is ready or over out of the lists of what it needed.
func (t *Table) unlink(j *Job) {
	if !j.linked {
		return
	}
	for _, up := range j.waits {
		if list := t.graph.needs[up]; list[j] {
			delete(list, j)
			if len(list) == 0 {
				delete(t.graph.needs, up)
			}
			if u := t.byID[up]; u != nil {
				u.full = true
				t.graph.stale[u] = true
			}
		}
	}
	j.linked, j.waits, j.missing = false, nil, 0
	delete(t.graph.free, j)
}

// spare drops a job from those that still have to be marked: it has its mark,
// or its record is gone.
func (t *Table) spare(j *Job) {
	j.doomed = false
	delete(t.graph.doomed, j)
}

// settleMark hands a final mark on to the jobs that wait for its job.
func (t *Table) settleMark(id string, phase Phase) {
	list := t.graph.needs[id]
	delete(t.graph.needs, id)
	if phase == Cancelled {
		t.doom(inOrder(list)...)
		return
	}
	for j := range list {
		if j.missing--; j.missing == 0 {
			t.graph.free[j] = true
		}
	}
}

// doom judges jobs, and once each all that need them, by a cancelled ancestor.
func (t *Table) doom(stack ...*Job) {
	begin := len(t.graph.queue)
	for len(stack) > 0 {
		x := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		if x.doomed || x.Ready || x.Final != Queued {
			continue
		}
		x.doomed = true
		t.graph.doomed[x] = true
		t.graph.queue = append(t.graph.queue, x)
		t.unlink(x)
		for d := range t.graph.needs[x.ID] {
			stack = append(stack, d)
		}
		delete(t.graph.needs, x.ID)
	}
	slices.SortFunc(t.graph.queue[begin:], older)
}

// Held returns the held jobs that wait for nothing any more, the most important
// first, in the order of their records.
func (t *Table) Held() []*Job {
	t.inherit()
	list := inOrder(t.graph.free)
	slices.SortStableFunc(list, func(a, b *Job) int { return cmp.Compare(b.EffRank, a.EffRank) })
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

func older(a, b *Job) int { return cmp.Or(cmp.Compare(a.Stamp, b.Stamp), cmp.Compare(a.ID, b.ID)) }

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
	return j.Stamp
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
		if j.full {
			j.full = false
			j.EffRank, j.EffDue = j.Rank, j.dueAt
			for d := range t.graph.needs[j.ID] {
				j.heir(d)
			}
		}
		if j.EffRank == j.toldRank && j.EffDue == j.toldDue {
			continue
		}
		lower := j.EffRank < j.toldRank || j.EffDue > j.toldDue
		j.toldRank, j.toldDue = j.EffRank, j.EffDue
		for _, up := range j.waits {
			u := t.byID[up]
			if u == nil || u.Final != Queued {
				continue
			}
			if lower {
				u.full = true
				push(u)
			} else if u.heir(j) {
				push(u)
			}
		}
	}
}

// heir raises a job's effective values by those of one that needs it.
func (j *Job) heir(d *Job) bool {
	rank, due := max(j.EffRank, d.EffRank), j.EffDue
	if d.EffDue != NoDue {
		due = min(due, d.EffDue-int64(d.Expect*1e9))
	}
	changed := rank != j.EffRank || due != j.EffDue
	j.EffRank, j.EffDue, j.Chained = rank, due, true
	return changed
}

const (
	mostRetryWait = int64(30 * time.Second)
	mostReadying  = 32 // ready marks at a time: placements wait behind them
	mostMarking   = 8  // marks of doomed jobs at a time: what users ask for goes first
	mostCutting   = 4
	leftoverFor   = int64(time.Minute) // a list without its job is given up after this
	// RivalFor is how long a list that another attempt began keeps others from
	// beginning anew.
	RivalFor = 6 * time.Second
)

// backOff puts off the next write about a job. One that the state service calls
// malformed stays so: it is tried ever less often.
func (j *Job) backOff(r store.Result) {
	j.retryAt = int64(r.Now) + retryAfter(r, &j.refused)
}

// retryAfter is how long to wait after a write; refused counts those in a row
// that were called malformed.
func retryAfter(r store.Result, refused *int) int64 {
	if !r.Invalid {
		*refused = 0
		return retryWait
	}
	*refused = min(*refused+1, 10)
	return min(mostRetryWait, int64(time.Second)<<*refused)
}

// MarkReady logs that held jobs of ours may start: all that they need is done.
func (t *Table) MarkReady(now time.Duration, s Submitter, ours func(*Job) bool) {
	if len(t.graph.free) == 0 || t.graph.readying >= mostReadying {
		return
	}
	for _, j := range t.Held() {
		if t.graph.readying >= mostReadying {
			return
		}
		if !j.marking && int64(now) >= j.retryAt && ours(j) {
			t.markReady(j, now, s)
		}
	}
}

func (t *Table) markReady(j *Job, now time.Duration, s Submitter) {
	ready := *j
	ready.Ready, ready.Parts, ready.Attempt, ready.ReadyAt = true, 0, 0, t.UnixMS(now)
	j.mark(&t.graph.readying, now, s, &store.Intent{Priority: store.Place,
		Writes: []store.Write{{Key: JobKeyOf(j.ID), Data: Encode(t.Names, &ready)}}})
}

// mark submits the writes of a mark on condition of the job's record and of no
// final mark; count is of such marks under way.
func (j *Job) mark(count *int, now time.Duration, s Submitter, in *store.Intent) {
	j.marking = true
	*count++
	in.Conds = []store.Cond{{Key: JobKeyOf(j.ID), Stamp: j.Stamp}, {Key: FinalKeyOf(j.ID)}}
	in.Done = func(r store.Result) {
		j.marking = false
		*count--
		j.backOff(r)
	}
	s.Submit(in, now+writeFor)
}

// MarkDoomed logs, a few at a time, that jobs of ours are cancelled with one
// that they need. What users are told does not wait for it.
func (t *Table) MarkDoomed(now time.Duration, s Submitter, ours func(*Job) bool) {
	g := &t.graph
	if len(g.queue) == 0 || g.marking >= mostMarking {
		return
	}
	g.queue = slices.DeleteFunc(g.queue, func(j *Job) bool { return !g.doomed[j] })
	for _, j := range g.queue {
		if g.marking >= mostMarking {
			return
		}
		if !j.marking && int64(now) >= j.retryAt && ours(j) {
			t.markDoomed(j, now, s)
		}
	}
}

// markDoomed writes the mark and drops the record.
func (t *Table) markDoomed(j *Job, now time.Duration, s Submitter) {
	j.mark(&t.graph.marking, now, s, &store.Intent{Priority: store.Progress,
		Writes: []store.Write{{Key: FinalKeyOf(j.ID), Data: EncodeFinal(Cancelled, j)}, {Key: JobKeyOf(j.ID)}}})
}

// PartKey is the kind of the keys that hold a long list of upstream jobs:
// u/<id>/<n>. Part 0's stamp stands for the attempt to submit the job: the
// other parts and the job's record are written on condition of it.
const PartKey = "u"

// PartKeyOf names a part of a job's list.
func PartKeyOf(id string, n int) string { return PartKey + "/" + id + "/" + strconv.Itoa(n) }

type part struct {
	stamp uint64
	ids   []string
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

func (t *Table) onPart(id string, n int, data []byte, stamp uint64) {
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
	p.held[n] = part{stamp, ids}
	if j := t.byID[id]; j != nil {
		t.assemble(j)
	}
}

// Attempt returns the stamp of the attempt to submit a job that part 0 of its
// list stands for, and for how long it has shown; 0: there is none.
func (t *Table) Attempt(id string, now time.Duration) (stamp uint64, shown time.Duration) {
	p := t.graph.parts[id]
	if p == nil {
		return 0, 0
	}
	return p.held[0].stamp, now - time.Duration(p.seen)
}

// CutParts drops the lists that nobody needs: of jobs that are ready or over,
// and what attempts to submit left behind. Part 0 goes first, so that nothing
// is added to an attempt that is being dropped.
func (t *Table) CutParts(now time.Duration, term store.Cond, s Submitter) {
	if len(t.graph.parts) == 0 || t.graph.cutting > 0 {
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
		accepted := j != nil && j.Stamp != 0
		if !over && ((accepted && !j.Ready) || (!accepted && int64(now)-p.seen < leftoverFor)) {
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
			if t.graph.cutting >= mostCutting {
				return
			}
			conds := []store.Cond{term}
			if n == 0 {
				conds = append(conds, store.Cond{Key: PartKeyOf(id, 0), Stamp: first.stamp})
			} else {
				conds = append(conds, store.Cond{Key: PartKeyOf(id, 0)}, store.Cond{Key: PartKeyOf(id, n), Stamp: p.held[n].stamp})
			}
			if !accepted {
				conds = append(conds, store.Cond{Key: JobKeyOf(id)})
			}
			t.graph.cutting++
			s.Submit(&store.Intent{Priority: store.Progress, Conds: conds, Writes: []store.Write{{Key: PartKeyOf(id, n)}},
				Done: func(store.Result) { t.graph.cutting-- }}, now+writeFor)
		}
	}
}
