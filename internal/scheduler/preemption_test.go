package scheduler

import (
	"testing"

	"lugward/internal/config"
	"lugward/internal/pipeline"
)

// A job with a downstream job of high priority preempts tasks of lower priority.
func TestPreemptsByInheritedPriority(t *testing.T) {
	s := newCluster(t)
	normal := s.addJob("req-1", nil)
	s.runRound()
	if normal.ActiveCount() != 1 {
		t.Fatal("normal job is not assigned")
	}
	s.addJob("req-2", func(j *pipeline.Job) { j.Priority = pipeline.Idle })
	s.runRound()
	if task := normal.Assignment(0); task == nil || task.Evicting() {
		t.Fatal("normal job was preempted for an idle-priority job")
	}
	s.addJob("req-3", withUpstream("req-2", pipeline.High, 0))
	s.runRound()
	// An assignment that is not persisted yet is removed at once.
	if task := normal.Assignment(0); task != nil && !task.Evicting() {
		t.Error("normal job was not preempted for an upstream job of a high-priority job")
	}
}

// A job is not preempted for a job whose priority is between its own and that of its
// downstream job.
func TestInheritedPriorityProtects(t *testing.T) {
	s := newCluster(t)
	idle := s.addJob("req-2", func(j *pipeline.Job) { j.Priority = pipeline.Idle })
	s.addJob("req-3", withUpstream("req-2", pipeline.High, 0))
	s.runRound()
	s.addJob("req-1", nil)
	s.runRound()
	if task := idle.Assignment(0); task == nil || task.Evicting() {
		t.Error("upstream job of a high-priority job was preempted for a normal job")
	}
}

// For its quota, a team preempts tasks that another team runs beyond its own quota, once
// their assignments are persisted. It preempts neither jobs within their quota nor
// assignments that are not persisted. Two jobs that preempted each other before either
// assignment was persisted left capacity for both idle for minutes.
func TestPreemptsForQuota(t *testing.T) {
	s := newCluster(t)
	team, otherTeam := s.jobs.Names.Teams.Index("t"), s.jobs.Names.Teams.Index("u")
	s.cfg.Teams = map[pipeline.TeamIndex]config.Team{team: {CPUs: 8}, otherTeam: {CPUs: 4}}
	claimant := s.addJob("req-1", nil)
	setOtherTeam := func(j *pipeline.Job) { j.Team, j.CPUs = otherTeam, 4 }
	within := s.addJob("req-2", setOtherTeam)
	beyond := s.addJob("req-3", setOtherTeam)
	unpersisted := s.jobs.Assign(beyond, 0, 0, 1, s.now)
	s.setRunRecord("req-2", firstTaskOnMachine, 9)
	r := s.newRound()
	r.updateQuotaStatus(s.jobs.ReadyJobs())
	if !claimant.WithinQuota() || !within.WithinQuota() || beyond.WithinQuota() {
		t.Fatalf("WithinQuota of claimant, within, beyond = %v, %v, %v, want true, true, false", claimant.WithinQuota(), within.WithinQuota(), beyond.WithinQuota())
	}
	if r.mayPreempt(claimant, within.Assignment(0)) {
		t.Error("mayPreempt = true for a job within its own team's quota")
	}
	if r.mayPreempt(claimant, unpersisted) {
		t.Error("mayPreempt = true for an assignment that is not persisted")
	}
	s.setRunRecord("req-3", firstTaskOnMachine, 10)
	if task := beyond.Assignment(0); !task.Persisted() || !r.mayPreempt(claimant, task) {
		t.Error("assignment beyond its team's quota is not persisted or not preemptible, want both")
	}
	claimant.EffectivePriority = pipeline.High
	if !r.mayPreempt(claimant, within.Assignment(0)) {
		t.Error("mayPreempt = false for a task of lower priority")
	}
}
