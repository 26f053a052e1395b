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
	dependents map[string]map[*Job]bool // by upstream ID, the held jobs that wait for the upstream job
	releasable map[*Job]bool            // held jobs whose upstream jobs are all done
	stale      map[*Job]bool            // jobs whose effective values must be recomputed or propagated

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
	linkedUpstream     []string // sorted IDs of the upstream jobs, while linked
	unfinishedUpstream int      // number of upstream jobs without a terminal record
	upstreamCancelled  bool     // a direct or indirect upstream job is cancelled

	deadlineAt         event.Time // deadline of the job itself
	inheritStale       bool       // the effective values must be recomputed
	propagatedPriority Priority   // priority that its upstream jobs have inherited from the job
	propagatedDeadline event.Time // deadline that they have inherited
}

func newGraph() graph {
	return graph{
		dependents:        map[string]map[*Job]bool{},
		releasable:        map[*Job]bool{},
		stale:             map[*Job]bool{},
		upstreamCancelled: map[*Job]bool{},
	}
}

// updateGraph updates the graph from the current record of a job.
func (t *Table) updateGraph(job *Job) {
	job.deadlineAt = t.ownDeadline(job)
	job.Chained = job.Chained || len(job.Upstream) > 0 || job.UpstreamPages > 0
	if job.linked || len(t.graph.dependents[job.ID]) > 0 {
		t.markInheritanceStale(job)
	} else {
		job.EffectivePriority = job.Priority
		job.EffectiveDeadline = job.deadlineAt
	}
	if job.Ready || job.TerminalPhase != Queued {
		t.unlink(job)
		return
	}
	t.linkIfComplete(job)
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
	list, complete := t.pages.list(job)
	if !complete {
		return
	}
	slices.Sort(list)
	t.link(job, slices.Compact(list))
}

// link adds a held job to the dependents of its unfinished upstream jobs.
func (t *Table) link(job *Job, list []string) {
	job.linked = true
	job.linkedUpstream = list
	job.unfinishedUpstream = 0
	// No upstream job inherits from this job yet, even if the job was linked before.
	job.propagatedPriority = Idle
	job.propagatedDeadline = NoDeadline
	upstreamCancelled := false
	for _, id := range list {
		upstream := t.byID[id]
		terminal, _ := t.Terminal.Get(id)
		switch phase := terminal.Phase; {
		case phase == Done:
		case phase == Cancelled || (upstream != nil && upstream.upstreamCancelled):
			upstreamCancelled = true
		default:
			job.unfinishedUpstream++
			t.addDependent(id, job)
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

func (t *Table) addDependent(id string, job *Job) {
	if t.graph.dependents[id] == nil {
		t.graph.dependents[id] = map[*Job]bool{}
	}
	t.graph.dependents[id][job] = true
}

// unlink removes a job from the dependents of its upstream jobs.
func (t *Table) unlink(job *Job) {
	if !job.linked {
		return
	}
	for _, id := range job.linkedUpstream {
		t.removeDependent(id, job)
	}
	job.linked = false
	job.linkedUpstream = nil
	job.unfinishedUpstream = 0
	delete(t.graph.releasable, job)
}

func (t *Table) removeDependent(id string, job *Job) {
	dependents := t.graph.dependents[id]
	if !dependents[job] {
		return
	}
	delete(dependents, job)
	if len(dependents) == 0 {
		delete(t.graph.dependents, id)
	}
	if upstream := t.byID[id]; upstream != nil {
		t.markInheritanceStale(upstream)
	}
}

// propagateTerminal applies the terminal record of a job to its dependent jobs.
func (t *Table) propagateTerminal(id string, phase Phase) {
	dependents := t.graph.dependents[id]
	delete(t.graph.dependents, id)
	if phase == Cancelled {
		t.cancelDownstream(inCreationOrder(dependents)...)
		return
	}
	for job := range dependents {
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
