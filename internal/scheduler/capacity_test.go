package scheduler

import (
	"testing"
	"time"

	"lugward/internal/pipeline"
)

// The free capacity reflects assignments at once, since the autoscaler's plan follows the
// scheduling round in the same step. It is not recomputed for machines without changes.
func TestCapacitiesFollowAssignments(t *testing.T) {
	s := newCluster(t)
	s.workers.Reset() // removes the fixture's machine
	s.now = time.Second
	s.heartbeat("i-1")
	s.heartbeat("i-2")
	job := s.addJob("req-1", func(j *pipeline.Job) { j.TaskCount, j.CPUs = 2, 3 })
	check := func(when string, first, second float64, recomputed int) {
		t.Helper()
		capacities := s.machineCapacities(s.now)
		if len(capacities) != 2 || capacities[0].FreeCPUs != first || capacities[1].FreeCPUs != second {
			t.Fatalf("%s: machineCapacities = %+v, want two machines with %v and %v free CPUs in that order", when, capacities, first, second)
		}
		if got := s.CapacitiesRecomputed(); got != recomputed {
			t.Errorf("%s: CapacitiesRecomputed = %d, want %d", when, got, recomputed)
		}
	}
	check("empty machines", 8, 8, 2)
	second := s.machineCapacities(s.now)[1].Machine
	task := s.jobs.Assign(job, 0, second.Index, 1, s.now)
	check("with a task on the second machine", 8, 5, 3)
	s.jobs.RecordTermination(task)
	check("after the task has terminated", 8, 8, 4)
}
