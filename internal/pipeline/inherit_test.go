package pipeline

import (
	"slices"
	"testing"
	"time"

	"lugward/internal/event"
)

// checkDerived compares effective values with the plain definition.
func checkDerived(t *testing.T, r *fixture) {
	t.Helper()
	r.inherit()
	var derive func(j *Job) (Priority, event.Time)
	derive = func(j *Job) (Priority, event.Time) {
		priority, deadline := j.Priority, j.deadlineAt
		for _, d := range r.byID {
			if d.Ready || d.TerminalPhase != Queued || d.upstreamCancelled || !slices.Contains(d.linkedUpstream, j.ID) {
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
	for _, j := range r.byID {
		if j.TerminalPhase != Queued || j.upstreamCancelled {
			continue
		}
		if priority, deadline := derive(j); priority != j.EffectivePriority || deadline != j.EffectiveDeadline {
			t.Errorf("%s has %v and %v, want %v and %v", j.ID, j.EffectivePriority, j.EffectiveDeadline, priority, deadline)
		}
	}
}

// The last job of a pipeline comes late and raises what still waits or runs;
// when it is cancelled they fall back.
func TestInherit(t *testing.T) {
	r := newFixture()
	a := r.job(1, func(j *Job) { j.Priority = Idle })
	b := r.job(2, func(j *Job) { j.Priority = Idle }, 1)
	c := r.job(3, nil, 1)
	if r.inherit(); a.EffectivePriority != Normal || a.EffectiveDeadline != NoDeadline || b.EffectivePriority != Idle {
		t.Errorf("%v %v %v", a.EffectivePriority, a.EffectiveDeadline, b.EffectivePriority)
	}
	last := r.job(4, func(j *Job) { j.Priority, j.Deadline, j.SubmittedAt = High, 100, 1000_000 }, 2, 3)
	r.inherit()
	// Submitted a second after monotonic time 0, due 100 s later.
	deadline := 101 * time.Second
	step := 10 * time.Second
	if a.EffectivePriority != High || b.EffectivePriority != High || c.EffectivePriority != High || last.EffectiveDeadline != deadline || b.EffectiveDeadline != deadline-step || a.EffectiveDeadline != deadline-2*step {
		t.Errorf("%v %v %v; %d %d %d", a.EffectivePriority, b.EffectivePriority, c.EffectivePriority, last.EffectiveDeadline, b.EffectiveDeadline, a.EffectiveDeadline)
	}
	if a.Priority != Idle || a.Deadline != 0 || !a.Chained {
		t.Errorf("what the user gave has changed: %v, %v", a.Priority, a.Deadline)
	}
	r.final(4, Cancelled)
	if r.inherit(); a.EffectivePriority != Normal || b.EffectivePriority != Idle || a.EffectiveDeadline != NoDeadline || c.EffectiveDeadline != NoDeadline {
		t.Errorf("after the cancellation %v %v %v %v", a.EffectivePriority, b.EffectivePriority, a.EffectiveDeadline, c.EffectiveDeadline)
	}
	checkDerived(t, r)
}

// A chain of thousands and a ladder of diamonds, in which paths are without
// number, are walked once.
func TestDeep(t *testing.T) {
	r := newFixture()
	const n = 4000
	r.job(1, nil)
	for i := 2; i <= n; i++ {
		r.job(i, nil, i-1, max(1, i-2))
	}
	r.inherit()
	r.job(n+1, func(j *Job) { j.Priority, j.Deadline, j.SubmittedAt = Production, 1e6, 1000_000 }, n)
	r.inherit()
	if root := r.Job(id(1)); root.EffectivePriority != Production || root.EffectiveDeadline != event.Time((1e6+1-10*n)*1e9) {
		t.Errorf("the root has %v and %v", root.EffectivePriority, root.EffectiveDeadline)
	}
	r.final(1, Cancelled)
	if len(r.graph.upstreamCancelled) != n || len(r.graph.dependents) != 0 || r.Job(id(n+1)).Phase() != Cancelled {
		t.Errorf("%d upstream cancelled, %d lists", len(r.graph.upstreamCancelled), len(r.graph.dependents))
	}
}

// Waiting counts from readiness and the deadline from submission, also after
// another controller has taken over.
func TestTimesSurvive(t *testing.T) {
	r := newFixture()
	r.SetNow(50 * time.Second)
	r.SetClock(50*time.Second, time.Unix(5000, 0)) // monotonic time 0 is 4950 s
	j := r.job(1, func(j *Job) { j.SubmittedAt, j.ReadyAt, j.Deadline = 4900_000, 4960_000, 100 })
	if j.ReadySince != 10*time.Second || j.EffectiveDeadline != 50*time.Second {
		t.Errorf("ready since %v, due at %v", j.ReadySince, j.EffectiveDeadline)
	}
	j = r.job(2, func(j *Job) { j.SubmittedAt, j.Deadline = 4900_000, 100 })
	if j.ReadySince != -50*time.Second || j.ReadyAt != 4900_000 {
		t.Errorf("ready since %v, at %d", j.ReadySince, j.ReadyAt)
	}
	// A clock that is ahead puts nothing into the future; an old record has no times.
	for _, at := range []int64{9000_000, 0} {
		if j = r.job(3+int(at), func(j *Job) { j.SubmittedAt, j.Deadline = at, 100 }); j.ReadySince != r.now || j.EffectiveDeadline != r.now+100*time.Second {
			t.Errorf("at %d: ready since %v, due at %v", at, j.ReadySince, j.EffectiveDeadline)
		}
	}
}
