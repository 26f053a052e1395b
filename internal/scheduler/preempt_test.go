package scheduler

import (
	"testing"

	"lugward/internal/config"
	"lugward/internal/pipeline"
)

// For its guarantee a team stops what another runs beyond its own, once that is
// stored: neither a job within its own guarantee nor what was placed a moment
// ago. Two jobs that stopped each other before either was stored left capacity for
// both idle for minutes.
func TestStoppedForGuarantee(t *testing.T) {
	s := newSite()
	mine, other := s.jobs.Names.Teams.Index("t"), s.jobs.Names.Teams.Index("u")
	s.cfg.Teams = map[int]config.Team{mine: {CPUs: 8}, other: {CPUs: 4}}
	asks := s.job("req-1", nil)
	borrower := func(j *pipeline.Job) { j.Team, j.CPUs = other, 4 }
	within, beyond := s.job("req-2", borrower), s.job("req-3", borrower)
	fresh := s.jobs.Assign(beyond, 0, 0, 1, s.now)
	s.jobs.HandleChange(pipeline.RunKey, "req-2/0", []byte(`{"t":1,"a":[[0,1,"i-1"]]}`), 9)
	s.updateQuotas(s.jobs.ReadyJobs())
	if !asks.WithinQuota || !within.WithinQuota || beyond.WithinQuota {
		t.Fatalf("within the guarantee: %v %v %v", asks.WithinQuota, within.WithinQuota, beyond.WithinQuota)
	}
	if s.mayPreempt(asks, within.Assignment(0)) {
		t.Error("a job within its own team's guarantee is stopped")
	}
	if s.mayPreempt(asks, fresh) {
		t.Error("a task is stopped before it is stored")
	}
	s.jobs.HandleChange(pipeline.RunKey, "req-3/0", []byte(`{"t":1,"a":[[0,1,"i-1"]]}`), 10)
	if e := beyond.Assignment(0); !e.Durable || !s.mayPreempt(asks, e) {
		t.Error("what a team borrows does not give way")
	}
	asks.EffectivePriority = pipeline.High
	if !s.mayPreempt(asks, within.Assignment(0)) {
		t.Error("work of lower rank does not give way")
	}
}

// All jobs of a team together are promised what its limit leaves, not each of
// them; a gang that the limit does not admit whole is promised nothing.
func TestCommittedWithinLimit(t *testing.T) {
	for _, c := range []struct {
		shape pipeline.Shape
		n     int
		limit float64
		want  int
	}{{pipeline.Array, 4, 4, 4}, {pipeline.Array, 4, 6, 6}, {pipeline.Array, 4, 0, 8}, {pipeline.Gang, 6, 4, 0}} {
		s := newSite()
		other := s.jobs.Names.Teams.Index("u")
		s.cfg.Teams = map[int]config.Team{s.jobs.Names.Teams.Index("t"): {CPUsMax: c.limit}}
		s.job("req-1", func(j *pipeline.Job) { j.Team = other })
		s.jobs.HandleChange(pipeline.RunKey, "req-1/0", []byte(`{"t":1,"a":[[0,1,"i-1"]]}`), 9)
		for _, id := range []string{"req-2", "req-3"} {
			s.job(id, func(j *pipeline.Job) { j.Shape, j.TaskCount, j.CPUs = c.shape, c.n, 1 })
		}
		s.Round(s.now, nil)
		if got := s.ReservationCount(); got != c.want {
			t.Errorf("%d tasks, limit %v: %d reserved, not %d", c.n, c.limit, got, c.want)
		}
	}
}
