package pipeline

import (
	"testing"
	"time"

	"lugward/internal/event"
)

// waitsFor reports whether a job is linked and its list names an upstream job.
func (f *fixture) waitsFor(job *Job, upstream string) bool {
	if !job.linked {
		return false
	}
	for _, vertex := range job.upstream {
		if f.graph.id(vertex) == upstream {
			return true
		}
	}
	return false
}

// checkDerived compares the effective values with a recursive computation over all jobs.
func checkDerived(t *testing.T, f *fixture) {
	t.Helper()
	f.updateEffectiveValues()
	var derive func(job *Job) (Priority, event.Time)
	derive = func(job *Job) (Priority, event.Time) {
		priority, deadline := job.Priority, job.deadlineAt
		for _, dependent := range f.byID {
			if dependent.Ready || dependent.TerminalPhase != Queued || dependent.upstreamCancelled || !f.waitsFor(dependent, job.ID) {
				continue
			}
			dependentPriority, dependentDeadline := derive(dependent)
			priority = max(priority, dependentPriority)
			if dependentDeadline != NoDeadline {
				deadline = min(deadline, dependentDeadline-event.Time(dependent.EstimatedRuntime*1e9))
			}
		}
		return priority, deadline
	}
	for _, job := range f.byID {
		if job.TerminalPhase != Queued || job.upstreamCancelled {
			continue
		}
		if priority, deadline := derive(job); priority != job.EffectivePriority || deadline != job.EffectiveDeadline {
			t.Errorf("%s: effective priority %v and deadline %v, want %v and %v", job.ID, job.EffectivePriority, job.EffectiveDeadline, priority, deadline)
		}
	}
}

// A job that is submitted last raises the effective values of its upstream jobs that are
// queued or running. When it is cancelled, these return to their former values.
func TestInherit(t *testing.T) {
	f := newFixture()
	a := f.addJob(1, func(job *Job) { job.Priority = Idle })
	b := f.addJob(2, func(job *Job) { job.Priority = Idle }, 1)
	c := f.addJob(3, nil, 1)
	if f.updateEffectiveValues(); a.EffectivePriority != Normal || a.EffectiveDeadline != NoDeadline || b.EffectivePriority != Idle {
		t.Errorf("effective priority %v and deadline %v of job 1, priority %v of job 2; want Normal, NoDeadline and Idle", a.EffectivePriority, a.EffectiveDeadline, b.EffectivePriority)
	}
	last := f.addJob(4, func(job *Job) { job.Priority, job.Deadline, job.SubmittedAt = High, 100, 1000_000 }, 2, 3)
	f.updateEffectiveValues()
	// Job 4 is submitted one second after monotonic time 0 with a deadline 100 s later.
	deadline := 101 * time.Second
	step := 10 * time.Second
	if a.EffectivePriority != High || b.EffectivePriority != High || c.EffectivePriority != High || last.EffectiveDeadline != deadline || b.EffectiveDeadline != deadline-step || a.EffectiveDeadline != deadline-2*step {
		t.Errorf("effective priorities %v, %v and %v of jobs 1 to 3, want High; deadlines %d, %d and %d of jobs 4, 2 and 1, want 101, 91 and 81 s", a.EffectivePriority, b.EffectivePriority, c.EffectivePriority, last.EffectiveDeadline, b.EffectiveDeadline, a.EffectiveDeadline)
	}
	if a.Priority != Idle || a.Deadline != 0 || !a.Chained {
		t.Errorf("priority %v and deadline %v as given by the user, want Idle and 0 on a chained job", a.Priority, a.Deadline)
	}
	f.storeTerminal(4, Cancelled)
	if f.updateEffectiveValues(); a.EffectivePriority != Normal || b.EffectivePriority != Idle || a.EffectiveDeadline != NoDeadline || c.EffectiveDeadline != NoDeadline {
		t.Errorf("after the cancellation: effective priorities %v and %v of jobs 1 and 2, want Normal and Idle; deadlines %v and %v of jobs 1 and 3, want NoDeadline", a.EffectivePriority, b.EffectivePriority, a.EffectiveDeadline, c.EffectiveDeadline)
	}
	checkDerived(t, f)
}

// Each job is visited once in a graph of 4000 jobs in which each depends on the previous two.
// The number of paths in such a graph grows exponentially with its depth, so the computation
// must not visit every path.
func TestDeep(t *testing.T) {
	f := newFixture()
	const n = 4000
	f.addJob(1, nil)
	for i := 2; i <= n; i++ {
		f.addJob(i, nil, i-1, max(1, i-2))
	}
	f.updateEffectiveValues()
	f.addJob(n+1, func(job *Job) { job.Priority, job.Deadline, job.SubmittedAt = Production, 1e6, 1000_000 }, n)
	f.updateEffectiveValues()
	if root := f.Job(id(1)); root.EffectivePriority != Production || root.EffectiveDeadline != event.Time((1e6+1-10*n)*1e9) {
		t.Errorf("effective priority %v and deadline %v of the first job, want Production and the last deadline less all estimated runtimes", root.EffectivePriority, root.EffectiveDeadline)
	}
	f.storeTerminal(1, Cancelled)
	if len(f.graph.upstreamCancelled) != n || f.graph.entries != 0 || f.Job(id(n+1)).Phase() != Cancelled {
		t.Errorf("%d jobs have a cancelled upstream job and there are %d dependents, want 4000 and 0, with the last job cancelled", len(f.graph.upstreamCancelled), f.graph.entries)
	}
}

// Waiting time is measured from readiness and the deadline from submission. This also holds
// after another controller has become the leader: both times are read from the job record.
func TestTimesSurvive(t *testing.T) {
	f := newFixture()
	f.SetNow(50 * time.Second)
	f.SetClock(50*time.Second, time.Unix(5000, 0)) // monotonic time 0 is 4950 s
	job := f.addJob(1, func(job *Job) { job.SubmittedAt, job.ReadyAt, job.Deadline = 4900_000, 4960_000, 100 })
	if job.ReadySince != 10*time.Second || job.EffectiveDeadline != 50*time.Second {
		t.Errorf("ready since %v with deadline %v, want 10s and 50s", job.ReadySince, job.EffectiveDeadline)
	}
	job = f.addJob(2, func(job *Job) { job.SubmittedAt, job.Deadline = 4900_000, 100 })
	if job.ReadySince != -50*time.Second || job.ReadyAt != 4900_000 {
		t.Errorf("ready since %v, ready at %d, want -50s and 4900000", job.ReadySince, job.ReadyAt)
	}
	// Times from a clock that is ahead are limited to the current time. Old records have no
	// times.
	for _, at := range []int64{9000_000, 0} {
		if job = f.addJob(3+int(at), func(job *Job) { job.SubmittedAt, job.Deadline = at, 100 }); job.ReadySince != f.now || job.EffectiveDeadline != f.now+100*time.Second {
			t.Errorf("submitted at %d: ready since %v with deadline %v, want the current time and 100 s later", at, job.ReadySince, job.EffectiveDeadline)
		}
	}
}
