package scheduler

import (
	"testing"
	"time"

	"lugward/internal/pipeline"
)

// The free capacity shows what was placed a moment ago, as the autoscaler's plan that
// follows a round in the same step needs it. It is not computed again for a machine on
// which nothing has changed.
func TestCapacitiesFollowAssignments(t *testing.T) {
	s := newSite(t)
	s.workers.Reset() // without the machine of the site
	s.now = time.Second
	s.heartbeat("i-1")
	s.heartbeat("i-2")
	job := s.addJob("req-1", func(j *pipeline.Job) { j.TaskCount, j.CPUs = 2, 3 })
	check := func(when string, first, second float64, recomputed int) {
		t.Helper()
		capacities := s.machineCapacities(s.now)
		if len(capacities) != 2 || capacities[0].FreeCPUs != first || capacities[1].FreeCPUs != second {
			t.Fatalf("%s: %+v; want %v and %v CPUs", when, capacities, first, second)
		}
		if got := s.CapacitiesRecomputed(); got != recomputed {
			t.Errorf("%s: %d computed, not %d", when, got, recomputed)
		}
	}
	check("empty machines", 8, 8, 2)
	second := s.machineCapacities(s.now)[1].Machine
	task := s.jobs.Assign(job, 0, second.Index, 1, s.now)
	check("with a task on the second", 8, 5, 3)
	s.jobs.RecordTermination(task)
	check("without it again", 8, 8, 4)
}
