package pipeline

import (
	"slices"
	"testing"
	"time"

	"lugward/internal/event"
)

// checkDerived compares effective values with the plain definition.
func checkDerived(t *testing.T, f *fixture) {
	t.Helper()
	f.inherit()
	var derive func(job *Job) (Priority, event.Time)
	derive = func(job *Job) (Priority, event.Time) {
		priority, deadline := job.Priority, job.deadlineAt
		for _, d := range f.byID {
			if d.Ready || d.TerminalPhase != Queued || d.upstreamCancelled || !slices.Contains(d.linkedUpstream, job.ID) {
				continue
			}
			dr, dd := derive(d)
			priority = max(priority, dr)
			if dd != NoDeadline {
				deadline = min(deadline, dd-event.Time(d.EstimatedRuntime*1e9))
			}
		}
		return priority, deadline
	}
	for _, job := range f.byID {
		if job.TerminalPhase != Queued || job.upstreamCancelled {
			continue
		}
		if priority, deadline := derive(job); priority != job.EffectivePriority || deadline != job.EffectiveDeadline {
			t.Errorf("%s has %v and %v, want %v and %v", job.ID, job.EffectivePriority, job.EffectiveDeadline, priority, deadline)
		}
	}
}

// The last job of a pipeline comes late and raises what still waits or runs;
// when it is cancelled they fall back.
func TestInherit(t *testing.T) {
	f := newFixture()
	a := f.addJob(1, func(job *Job) { job.Priority = Idle })
	b := f.addJob(2, func(job *Job) { job.Priority = Idle }, 1)
	c := f.addJob(3, nil, 1)
	if f.inherit(); a.EffectivePriority != Normal || a.EffectiveDeadline != NoDeadline || b.EffectivePriority != Idle {
		t.Errorf("%v %v %v", a.EffectivePriority, a.EffectiveDeadline, b.EffectivePriority)
	}
	last := f.addJob(4, func(job *Job) { job.Priority, job.Deadline, job.SubmittedAt = High, 100, 1000_000 }, 2, 3)
	f.inherit()
	// Submitted a second after monotonic time 0, due 100 s later.
	deadline := 101 * time.Second
	step := 10 * time.Second
	if a.EffectivePriority != High || b.EffectivePriority != High || c.EffectivePriority != High || last.EffectiveDeadline != deadline || b.EffectiveDeadline != deadline-step || a.EffectiveDeadline != deadline-2*step {
		t.Errorf("%v %v %v; %d %d %d", a.EffectivePriority, b.EffectivePriority, c.EffectivePriority, last.EffectiveDeadline, b.EffectiveDeadline, a.EffectiveDeadline)
	}
	if a.Priority != Idle || a.Deadline != 0 || !a.Chained {
		t.Errorf("what the user gave has changed: %v, %v", a.Priority, a.Deadline)
	}
	f.storeTerminal(4, Cancelled)
	if f.inherit(); a.EffectivePriority != Normal || b.EffectivePriority != Idle || a.EffectiveDeadline != NoDeadline || c.EffectiveDeadline != NoDeadline {
		t.Errorf("after the cancellation %v %v %v %v", a.EffectivePriority, b.EffectivePriority, a.EffectiveDeadline, c.EffectiveDeadline)
	}
	checkDerived(t, f)
}

// A chain of thousands and a ladder of diamonds, in which paths are without
// number, are walked once.
func TestDeep(t *testing.T) {
	f := newFixture()
	const n = 4000
	f.addJob(1, nil)
	for i := 2; i <= n; i++ {
		f.addJob(i, nil, i-1, max(1, i-2))
	}
	f.inherit()
	f.addJob(n+1, func(job *Job) { job.Priority, job.Deadline, job.SubmittedAt = Production, 1e6, 1000_000 }, n)
	f.inherit()
	if root := f.Job(id(1)); root.EffectivePriority != Production || root.EffectiveDeadline != event.Time((1e6+1-10*n)*1e9) {
		t.Errorf("the root has %v and %v", root.EffectivePriority, root.EffectiveDeadline)
	}
	f.storeTerminal(1, Cancelled)
	if len(f.graph.upstreamCancelled) != n || len(f.graph.dependents) != 0 || f.Job(id(n+1)).Phase() != Cancelled {
		t.Errorf("%d upstream cancelled, %d lists", len(f.graph.upstreamCancelled), len(f.graph.dependents))
	}
}

// Waiting counts from readiness and the deadline from submission, also after
// another controller has taken over.
func TestTimesSurvive(t *testing.T) {
	f := newFixture()
	f.SetNow(50 * time.Second)
	f.SetClock(50*time.Second, time.Unix(5000, 0)) // monotonic time 0 is 4950 s
	job := f.addJob(1, func(job *Job) { job.SubmittedAt, job.ReadyAt, job.Deadline = 4900_000, 4960_000, 100 })
	if job.ReadySince != 10*time.Second || job.EffectiveDeadline != 50*time.Second {
		t.Errorf("ready since %v, due at %v", job.ReadySince, job.EffectiveDeadline)
	}
	job = f.addJob(2, func(job *Job) { job.SubmittedAt, job.Deadline = 4900_000, 100 })
	if job.ReadySince != -50*time.Second || job.ReadyAt != 4900_000 {
		t.Errorf("ready since %v, at %d", job.ReadySince, job.ReadyAt)
	}
	// A clock that is ahead puts nothing into the future; an old record has no times.
	for _, at := range []int64{9000_000, 0} {
		if job = f.addJob(3+int(at), func(job *Job) { job.SubmittedAt, job.Deadline = at, 100 }); job.ReadySince != f.now || job.EffectiveDeadline != f.now+100*time.Second {
			t.Errorf("at %d: ready since %v, due at %v", at, job.ReadySince, job.EffectiveDeadline)
		}
	}
}
