package pipeline

import (
	"cmp"
	"slices"

	"lugward/internal/event"
)

// graph holds the edges between jobs and the state derived from them. A job is held until
// its readiness is persisted. Only held jobs have edges in the graph: once a job is ready,
// all of its upstream jobs are done.
type graph struct {
	edges
	releasable map[*Job]bool // held jobs whose upstream jobs are all done
	stale      map[*Job]bool // jobs whose effective values must be recomputed or propagated

	// upstreamCancelled holds the jobs downstream of a cancelled job whose own terminal
	// record is not persisted. cancelQueue holds them in the order in which their
	// terminal records are written.
	upstreamCancelled map[*Job]bool
	cancelQueue       []*Job

	readinessWritesInFlight    int
	cancellationWritesInFlight int
}

// graphLinks holds the edges of a job in the graph. A job is linked while it is held and
// its whole list of upstream jobs is known.
type graphLinks struct {
	linked             bool
	link               linkIndex     // identifies the job in lists of dependents, while linked
	upstream           []vertexIndex // upstream jobs of a held job; while it is not linked, those that its record lists
	unfinishedUpstream int           // number of upstream jobs without a terminal record
	upstreamCancelled  bool          // a direct or indirect upstream job is cancelled

	deadlineAt         event.Time // deadline of the job itself
	inheritStale       bool       // the effective values must be recomputed
	propagatedPriority Priority   // priority that its upstream jobs have inherited from the job
	propagatedDeadline event.Time // deadline that they have inherited
}

func newGraph() graph {
	return graph{
		edges:             newEdges(),
		releasable:        map[*Job]bool{},
		stale:             map[*Job]bool{},
		upstreamCancelled: map[*Job]bool{},
	}
}

// updateGraph updates the graph from the current record of a job.
func (t *Table) updateGraph(job *Job) {
	job.deadlineAt = t.ownDeadline(job)
	if job.linked || t.graph.hasDependents(job.ID) {
		t.markInheritanceStale(job)
	} else {
		job.EffectivePriority = job.Priority
		job.EffectiveDeadline = job.deadlineAt
	}
	if job.Ready || job.TerminalPhase != Queued {
		t.forgetUpstream(job)
		return
	}
	t.linkIfComplete(job)
}

// takeUpstream replaces the IDs that a decoded job record lists by their vertices, which take
// less memory. The list of a job that is linked does not change any more.
func (t *Table) takeUpstream(job *Job) {
	job.Chained = job.Chained || len(job.Upstream) > 0 || job.UpstreamPages > 0
	if !job.linked {
		t.graph.release(job.upstream)
		job.upstream = nil
		if !job.Ready && job.TerminalPhase == Queued {
			job.upstream = t.graph.acquire(job.Upstream)
		}
	}
	job.Upstream = nil
}

// forgetUpstream removes a job that is no longer held from the graph, with its list of
// upstream jobs.
func (t *Table) forgetUpstream(job *Job) {
	t.unlink(job)
	t.graph.release(job.upstream)
	job.upstream = nil
	t.pages.forgetLists(job.ID, &t.graph.edges)
}

// UpstreamIDs returns the IDs of the upstream jobs of a held job. If its record does not list
// them, the result is empty until all pages are known.
func (t *Table) UpstreamIDs(job *Job) []string {
	ids := make([]string, len(job.upstream))
	for i, vertex := range job.upstream {
		ids[i] = t.graph.id(vertex)
	}
	return ids
}

// ownDeadline returns the deadline that the user set for a job. It is relative to the time
// of submission. If that time is unknown, it is relative to the time when the job became
// ready, or else to the current time, when the job is first seen.
func (t *Table) ownDeadline(job *Job) event.Time {
	if job.Deadline <= 0 {
		return NoDeadline
	}
	from := job.ReadySince
	switch {
	case job.SubmittedAt != 0 && t.clockOffset != 0:
		from = t.monotonicTime(job.SubmittedAt)
	case from == 0:
		from = max(t.now, 1)
	}
	return from + secondsToDuration(job.Deadline)
}

// markInheritanceStale marks the effective values of a job to be recomputed.
func (t *Table) markInheritanceStale(job *Job) {
	job.inheritStale = true
	t.graph.stale[job] = true
}

// linkIfComplete links a held job once its whole list of upstream jobs is known. Until
// then the job is neither releasable nor cancelled by an upstream job.
func (t *Table) linkIfComplete(job *Job) {
	if job.linked || job.upstreamCancelled || job.Ready || job.ModRevision == 0 || job.TerminalPhase != Queued {
		return
	}
	if job.UpstreamPages > 0 {
		if !t.pages.complete(job) {
			return
		}
		job.upstream = t.pages.takeLists(job)
	}
	t.link(job)
}

// link adds a held job to the dependents of its unfinished upstream jobs.
func (t *Table) link(job *Job) {
	job.linked = true
	job.link = t.graph.newLink(job)
	job.unfinishedUpstream = 0
	// No upstream job inherits from this job yet, even if the job was linked before.
	job.propagatedPriority = Idle
	job.propagatedDeadline = NoDeadline
	upstreamCancelled := false
	for _, vertex := range job.upstream {
		id := t.graph.id(vertex)
		upstream := t.byID[id]
		terminal, _ := t.Terminal.Get(id)
		switch phase := terminal.Phase; {
		case phase == Done:
		case phase == Cancelled || (upstream != nil && upstream.upstreamCancelled):
			upstreamCancelled = true
		default:
			job.unfinishedUpstream++
			t.graph.addDependent(vertex, job.link)
		}
	}
	if upstreamCancelled {
		t.cancelDownstream(job)
		return
	}
	if job.unfinishedUpstream == 0 {
		t.graph.releasable[job] = true
	}
	t.markInheritanceStale(job)
}

// unlink removes a job from the dependents of its upstream jobs, which may inherit lower values
// then.
func (t *Table) unlink(job *Job) {
	if !job.linked {
		return
	}
	for _, vertex := range job.upstream {
		if upstream := t.byID[t.graph.id(vertex)]; upstream != nil && upstream.TerminalPhase == Queued {
			t.markInheritanceStale(upstream)
		}
	}
	t.graph.endLink(job.link, job.upstream)
	job.linked = false
	job.unfinishedUpstream = 0
	delete(t.graph.releasable, job)
}

// propagateTerminal applies the terminal record of a job to its dependent jobs.
func (t *Table) propagateTerminal(id string, phase Phase) {
	dependents := t.graph.takeDependents(id)
	if phase == Cancelled {
		slices.SortFunc(dependents, byCreateRevision)
		t.cancelDownstream(dependents...)
		return
	}
	for _, job := range dependents {
		job.unfinishedUpstream--
		if job.unfinishedUpstream == 0 {
			t.graph.releasable[job] = true
		}
	}
}

// inCreationOrder returns a set of held jobs in the order in which their records were created.
func inCreationOrder(set map[*Job]bool) []*Job {
	if len(set) == 0 {
		return nil
	}
	list := make([]*Job, 0, len(set))
	for job := range set {
		list = append(list, job)
	}
	slices.SortFunc(list, byCreateRevision)
	return list
}

// byCreateRevision compares held jobs by the create revision of their job records, which
// is the ModRevision as long as a job is held.
func byCreateRevision(a, b *Job) int {
	return cmp.Or(cmp.Compare(a.ModRevision, b.ModRevision), cmp.Compare(a.ID, b.ID))
}
