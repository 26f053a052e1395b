package pipeline

import (
	"cmp"
	"slices"
)

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
