package scheduler

import (
	"testing"

	"lugward/internal/config"
	"lugward/internal/pipeline"
)

// A job preempts less important work for a more important job downstream of it.
func TestPreemptsByInheritedPriority(t *testing.T) {
	s := newSite(t)
	normal := s.addJob("req-1", nil)
	s.runRound()
	if normal.ActiveCount() != 1 {
		t.Fatal("the machine is not used")
	}
	s.addJob("req-2", func(j *pipeline.Job) { j.Priority = pipeline.Idle })
	s.runRound()
	if task := normal.Assignment(0); task == nil || task.Evicting() {
		t.Fatal("preempted for less important work")
	}
	s.addJob("req-3", heldBy("req-2", pipeline.High, 0))
	s.runRound()
	// A placement that is not stored yet is withdrawn at once.
	if task := normal.Assignment(0); task != nil && !task.Evicting() {
		t.Error("not preempted for what an important job needs")
	}
}

// A job is not preempted for a priority between its own and that of a job downstream
// of it.
func TestInheritedPriorityProtects(t *testing.T) {
	s := newSite(t)
	idle := s.addJob("req-2", func(j *pipeline.Job) { j.Priority = pipeline.Idle })
	s.addJob("req-3", heldBy("req-2", pipeline.High, 0))
	s.runRound()
	s.addJob("req-1", nil)
	s.runRound()
	if task := idle.Assignment(0); task == nil || task.Evicting() {
		t.Error("what an important job needs is preempted for a less important one")
	}
}

// For its quota a team preempts what another runs beyond its own, once that is stored:
// neither a job within its own quota nor what was placed a moment ago. Two jobs that
// preempted each other before either was stored left capacity for both idle for
// minutes.
func TestPreemptsForQuota(t *testing.T) {
	s := newSite(t)
	team, otherTeam := s.jobs.Names.Teams.Index("t"), s.jobs.Names.Teams.Index("u")
	s.cfg.Teams = map[pipeline.TeamIndex]config.Team{team: {CPUs: 8}, otherTeam: {CPUs: 4}}
	claimant := s.addJob("req-1", nil)
	ofOtherTeam := func(j *pipeline.Job) { j.Team, j.CPUs = otherTeam, 4 }
	within := s.addJob("req-2", ofOtherTeam)
	beyond := s.addJob("req-3", ofOtherTeam)
	fresh := s.jobs.Assign(beyond, 0, 0, 1, s.now)
	s.setRunRecord("req-2", firstTaskOnMachine, 9)
	r := s.newRound()
	r.updateQuotas(s.jobs.ReadyJobs())
	if !claimant.WithinQuota() || !within.WithinQuota() || beyond.WithinQuota() {
		t.Fatalf("within the quota: %v %v %v", claimant.WithinQuota(), within.WithinQuota(), beyond.WithinQuota())
	}
	if r.mayPreempt(claimant, within.Assignment(0)) {
		t.Error("a job within its own team's quota is preempted")
	}
	if r.mayPreempt(claimant, fresh) {
		t.Error("a task is preempted before it is stored")
	}
	s.setRunRecord("req-3", firstTaskOnMachine, 10)
	if task := beyond.Assignment(0); !task.Durable() || !r.mayPreempt(claimant, task) {
		t.Error("what a team uses beyond its quota is not preempted")
	}
	claimant.EffectivePriority = pipeline.High
	if !r.mayPreempt(claimant, within.Assignment(0)) {
		t.Error("work of lower priority is not preempted")
	}
}
