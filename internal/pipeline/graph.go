package pipeline

import (
	"cmp"
	"slices"

	"lugward/internal/event"
)

// graph is what follows from the edges between jobs. A job is held until its ready
// mark is stored. Only held jobs have edges here: once a job is ready, all its
// upstream jobs are done.
type graph struct {
	dependents map[string]map[*Job]bool  // by upstream ID: the held jobs that wait for it
	releasable map[*Job]bool             // held jobs whose upstream jobs are all done
	stale      map[*Job]bool             // effective values are to be derived or passed on
	pages      map[string]*upstreamPages // stored lists of upstream jobs, by job ID

	// upstreamCancelled are the jobs below a cancelled one whose own mark is not
	// stored; cancelQueue has them in the order in which they get it.
	upstreamCancelled map[*Job]bool
	cancelQueue       []*Job

	readinessWritesInFlight    int
	cancellationWritesInFlight int
	pageDeletionsInFlight      int
}

func newGraph() graph {
	return graph{
		dependents:        map[string]map[*Job]bool{},
		releasable:        map[*Job]bool{},
		stale:             map[*Job]bool{},
		pages:             map[string]*upstreamPages{},
		upstreamCancelled: map[*Job]bool{},
	}
}

// updateGraph takes a job's record, as it is now, into the graph.
func (t *Table) updateGraph(j *Job) {
	j.deadlineAt = t.ownDeadline(j)
	j.Chained = j.Chained || len(j.Upstream) > 0 || j.UpstreamPages > 0
	if j.linked || len(t.graph.dependents[j.ID]) > 0 {
		t.markStale(j)
	} else {
		j.EffectivePriority = j.Priority
		j.EffectiveDeadline = j.deadlineAt
	}
	if j.Ready || j.TerminalPhase != Queued {
		t.unlink(j)
		return
	}
	t.linkIfComplete(j)
}

// ownDeadline is the deadline that a job's user gave. It
// counts from the submission, or where that is not known from when the job became
// ready or is first seen.
func (t *Table) ownDeadline(j *Job) event.Time {
	if j.Deadline <= 0 {
		return NoDeadline
	}
	from := j.ReadySince
	switch {
	case j.SubmittedAt != 0 && t.clockOffset != 0:
		from = t.monotonicTime(j.SubmittedAt)
	case from == 0:
		from = max(t.now, 1)
	}
	return from + secondsToDuration(j.Deadline)
}

// markStale has a job's effective values derived anew.
func (t *Table) markStale(j *Job) {
	j.inheritStale = true
	t.graph.stale[j] = true
}

// linkIfComplete links a held job once its whole list of upstream jobs is there:
// until then it is neither releasable nor cancelled by an upstream job.
func (t *Table) linkIfComplete(j *Job) {
	if j.linked || j.upstreamCancelled || j.Ready || j.ModRevision == 0 || j.TerminalPhase != Queued {
		return
	}
	list, complete := t.upstreamList(j)
	if !complete {
		return
	}
	slices.Sort(list)
	t.link(j, slices.Compact(list))
}

// link adds a held job to the dependents of the unfinished jobs that it needs.
func (t *Table) link(j *Job, list []string) {
	j.linked = true
	j.linkedUpstream = list
	j.unfinishedUpstream = 0
	// After an unlink as well, no upstream job has inherited from it yet.
	j.propagatedPriority = Idle
	j.propagatedDeadline = NoDeadline
	upstreamCancelled := false
	for _, id := range list {
		upstream := t.byID[id]
		final, _ := t.Terminal.Get(id)
		switch phase := final.Phase; {
		case phase == Done:
		case phase == Cancelled || (upstream != nil && upstream.upstreamCancelled):
			upstreamCancelled = true
		default:
			j.unfinishedUpstream++
			t.addDependent(id, j)
		}
	}
	if upstreamCancelled {
		t.cancelDownstream(j)
		return
	}
	if j.unfinishedUpstream == 0 {
		t.graph.releasable[j] = true
	}
	t.markStale(j)
}

func (t *Table) addDependent(id string, j *Job) {
	if t.graph.dependents[id] == nil {
		t.graph.dependents[id] = map[*Job]bool{}
	}
	t.graph.dependents[id][j] = true
}

// unlink removes a job that is ready or over from the dependents of what it needed.
func (t *Table) unlink(j *Job) {
	if !j.linked {
		return
	}
	for _, id := range j.linkedUpstream {
		t.removeDependent(id, j)
	}
	j.linked = false
	j.linkedUpstream = nil
	j.unfinishedUpstream = 0
	delete(t.graph.releasable, j)
}

func (t *Table) removeDependent(id string, j *Job) {
	dependents := t.graph.dependents[id]
	if !dependents[j] {
		return
	}
	delete(dependents, j)
	if len(dependents) == 0 {
		delete(t.graph.dependents, id)
	}
	if upstream := t.byID[id]; upstream != nil {
		t.markStale(upstream)
	}
}

// unmarkUpstreamCancelled removes a job from those that still have to be marked:
// it has its mark, or its record is deleted.
func (t *Table) unmarkUpstreamCancelled(j *Job) {
	j.upstreamCancelled = false
	delete(t.graph.upstreamCancelled, j)
}

// propagateFinal applies a final mark to the jobs that wait for its job.
func (t *Table) propagateFinal(id string, phase Phase) {
	dependents := t.graph.dependents[id]
	delete(t.graph.dependents, id)
	if phase == Cancelled {
		t.cancelDownstream(inOrder(dependents)...)
		return
	}
	for j := range dependents {
		j.unfinishedUpstream--
		if j.unfinishedUpstream == 0 {
			t.graph.releasable[j] = true
		}
	}
}

// cancelDownstream notes that jobs, and all that need them, are below a cancelled
// one. Each is visited once, however many paths lead to it.
func (t *Table) cancelDownstream(stack ...*Job) {
	begin := len(t.graph.cancelQueue)
	for len(stack) > 0 {
		j := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		if j.upstreamCancelled || j.Ready || j.TerminalPhase != Queued {
			continue
		}
		j.upstreamCancelled = true
		t.graph.upstreamCancelled[j] = true
		t.graph.cancelQueue = append(t.graph.cancelQueue, j)
		t.unlink(j)
		for dependent := range t.graph.dependents[j.ID] {
			stack = append(stack, dependent)
		}
		delete(t.graph.dependents, j.ID)
	}
	slices.SortFunc(t.graph.cancelQueue[begin:], byAcceptance)
}

// Releasable returns the held jobs whose upstream jobs are all done, in the order
// of effective priority, the highest first, and then of acceptance.
func (t *Table) Releasable() []*Job {
	t.inherit()
	list := inOrder(t.graph.releasable)
	slices.SortStableFunc(list, func(a, b *Job) int { return cmp.Compare(b.EffectivePriority, a.EffectivePriority) })
	return list
}

// inOrder returns a set of held jobs in the order in which they were accepted.
func inOrder(set map[*Job]bool) []*Job {
	if len(set) == 0 {
		return nil
	}
	list := make([]*Job, 0, len(set))
	for j := range set {
		list = append(list, j)
	}
	slices.SortFunc(list, byAcceptance)
	return list
}

// byAcceptance compares held jobs by the order in which they were accepted.
func byAcceptance(a, b *Job) int {
	return cmp.Or(cmp.Compare(a.ModRevision, b.ModRevision), cmp.Compare(a.ID, b.ID))
}
