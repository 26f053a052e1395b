package scheduler

import (
	"fmt"
	"testing"
	"time"

	"lugward/internal/pipeline"
)

// Machines of eight CPUs with one task of four each: two tasks fit on one machine. A
// pass drains as many machines as the others can take the tasks of, and the next one,
// two seconds later, none: what the first has evicted has not terminated yet, and its
// capacity is reserved. Passes that counted that capacity once more drained 77 machines
// in four seconds, and 232 tasks fitted nowhere.
func TestConsolidateReservesForEvicted(t *testing.T) {
	const machines = 6
	s := newSite(t)
	recordRunning := func() {
		for job := range s.jobs.AllJobs() {
			for task := range job.Assignments() {
				task.RecordPhase(pipeline.TaskRunning, s.now-time.Minute)
			}
		}
	}
	for i := range machines {
		name := fmt.Sprintf("i-%d", i+1)
		s.heartbeat(name)
		id := fmt.Sprintf("req-%d", i+1)
		s.addJob(id, func(j *pipeline.Job) {
			j.CPUs, j.EstimatedRuntime, j.CheckpointInterval = 4, 600, 5
		})
		s.setRunRecord(id, fmt.Sprintf(`{"t":1,"a":[[0,1,%q]]}`, name), 100)
	}
	recordRunning()
	first := s.Consolidate(s.now, RoundResult{Capacities: s.machineCapacities(s.now)}, nil)
	if len(first) != machines/2 {
		t.Fatalf("%d of %d machines drained, not half of them", len(first), machines)
	}
	second := s.Consolidate(s.now, RoundResult{Capacities: s.machineCapacities(s.now)}, nil)
	if len(second) != 0 {
		t.Errorf("%d more machines drained while the tasks of the first ones are not placed yet", len(second))
	}
	waiting := s.addJob("req-9", func(j *pipeline.Job) { j.CPUs = 1 })
	s.jobs.Reset() // nothing is evicted any more
	recordRunning()
	for _, machine := range first {
		// As a machine that is drained never takes tasks again, another takes its place.
		s.workers.Remove(machine)
		s.heartbeat(machine.Name)
	}
	blocked := RoundResult{Blocked: []*pipeline.Job{waiting}, Capacities: s.machineCapacities(s.now)}
	if third := s.Consolidate(s.now, blocked, nil); len(third) != 0 {
		t.Errorf("%d machines drained of a type on which a job waits", len(third))
	}
}
