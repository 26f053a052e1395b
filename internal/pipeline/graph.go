package pipeline

import (
	"cmp"
	"slices"

	"lugward/internal/event"
)

// graph is what follows from the edges between jobs. A job is held until its
// readiness is stored. Only held jobs have edges here: once a job is ready, all its
// upstream jobs are done.
type graph struct {
	dependents map[string]map[*Job]bool // by upstream ID: the held jobs that wait for it
	releasable map[*Job]bool            // held jobs whose upstream jobs are all done
	stale      map[*Job]bool            // effective values are to be derived or passed on

	// upstreamCancelled are the jobs below a cancelled one whose own terminal record
	// is not stored; cancelQueue has them in the order in which they get it.
	upstreamCancelled map[*Job]bool
	cancelQueue       []*Job

	readinessWritesInFlight    int
	cancellationWritesInFlight int
}

// graphLinks is a job's place in the graph. A job is linked while it is held and
// its whole list of upstream jobs is known.
type graphLinks struct {
	linked             bool
	linkedUpstream     []string // the upstream IDs under which it is listed, while linked
	unfinishedUpstream int      // of these, those without a terminal record
	upstreamCancelled  bool     // a job that it needs is cancelled

	deadlineAt         event.Time // its own deadline
	inheritStale       bool       // its effective values are to be derived anew
	propagatedPriority Priority   // what its upstream jobs have inherited from it
	propagatedDeadline event.Time
}

func newGraph() graph {
	return graph{
		dependents:        map[string]map[*Job]bool{},
		releasable:        map[*Job]bool{},
		stale:             map[*Job]bool{},
		upstreamCancelled: map[*Job]bool{},
	}
}

// updateGraph takes a job's record, as it is now, into the graph.
func (t *Table) updateGraph(job *Job) {
	job.deadlineAt = t.ownDeadline(job)
	job.Chained = job.Chained || len(job.Upstream) > 0 || job.UpstreamPages > 0
	if job.linked || len(t.graph.dependents[job.ID]) > 0 {
		t.markStale(job)
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

// ownDeadline is the deadline that a job's user gave. It counts from the submission, or
// where that is not known from when the job became ready or is first seen.
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

// markStale has a job's effective values derived anew.
func (t *Table) markStale(job *Job) {
	job.inheritStale = true
	t.graph.stale[job] = true
}

// linkIfComplete links a held job once its whole list of upstream jobs is there:
// until then it is neither releasable nor cancelled by an upstream job.
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

// link adds a held job to the dependents of the unfinished jobs that it needs.
func (t *Table) link(job *Job, list []string) {
	job.linked = true
	job.linkedUpstream = list
	job.unfinishedUpstream = 0
	// After an unlink as well, no upstream job has inherited from it yet.
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
	t.markStale(job)
}

func (t *Table) addDependent(id string, job *Job) {
	if t.graph.dependents[id] == nil {
		t.graph.dependents[id] = map[*Job]bool{}
	}
	t.graph.dependents[id][job] = true
}

// unlink removes a job that is ready or over from the dependents of what it needed.
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
		t.markStale(upstream)
	}
}

// propagateTerminal applies a terminal record to the jobs that wait for its job.
func (t *Table) propagateTerminal(id string, phase Phase) {
	dependents := t.graph.dependents[id]
	delete(t.graph.dependents, id)
	if phase == Cancelled {
		t.cancelDownstream(inOrder(dependents)...)
		return
	}
	for job := range dependents {
		job.unfinishedUpstream--
		if job.unfinishedUpstream == 0 {
			t.graph.releasable[job] = true
		}
	}
}

// inOrder returns a set of held jobs in the order in which they were accepted.
func inOrder(set map[*Job]bool) []*Job {
	if len(set) == 0 {
		return nil
	}
	list := make([]*Job, 0, len(set))
	for job := range set {
		list = append(list, job)
	}
	slices.SortFunc(list, byAcceptance)
	return list
}

// byAcceptance compares held jobs by the order in which they were accepted.
func byAcceptance(a, b *Job) int {
	return cmp.Or(cmp.Compare(a.ModRevision, b.ModRevision), cmp.Compare(a.ID, b.ID))
}
