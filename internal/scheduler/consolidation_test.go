package scheduler

import (
	"fmt"
	"testing"
	"time"

	"lugward/internal/pipeline"
)

// Consolidation reserves capacity for tasks that are evicted but not placed again yet.
// Each machine has eight CPUs and one task of four, so the first pass drains half of the
// machines. The next pass, two seconds later, must drain none, since the evicted tasks
// have not terminated. Passes that counted the same free capacity again drained 77
// machines in four seconds, and 232 tasks did not fit anywhere.
func TestConsolidateReservesForEvicted(t *testing.T) {
	const machines = 6
	s := newCluster(t)
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
		t.Fatalf("first pass drained %d of %d machines, want half of them", len(first), machines)
	}
	second := s.Consolidate(s.now, RoundResult{Capacities: s.machineCapacities(s.now)}, nil)
	if len(second) != 0 {
		t.Errorf("second pass drained %d machines before the evicted tasks are placed again, want 0", len(second))
	}
	blockedJob := s.addJob("req-9", func(j *pipeline.Job) { j.CPUs = 1 })
	s.jobs.Reset() // discards the evictions
	recordRunning()
	for _, machine := range first {
		// A drained machine never gets tasks again, so a new machine replaces it.
		s.workers.Remove(machine)
		s.heartbeat(machine.Name)
	}
	blocked := RoundResult{Blocked: []*pipeline.Job{blockedJob}, Capacities: s.machineCapacities(s.now)}
	if third := s.Consolidate(s.now, blocked, nil); len(third) != 0 {
		t.Errorf("third pass drained %d machines of a type on which a blocked job could run, want 0", len(third))
	}
}
