package scheduler

import (
	"fmt"
	"testing"
	"time"

	"lugward/internal/pipeline"
)

// Machines of eight CPUs with one task of four each: two tasks fit on one machine.
// A pass drains as many machines as the others can take the tasks of, and the next
// one, two seconds later, none: what the first has stopped has not terminated yet,
// and its capacity is spoken for. Passes that counted that capacity once more
// drained 77 machines in four seconds, and 232 tasks fitted nowhere.
func TestPackCountsWhatMoves(t *testing.T) {
	const machines = 6
	s := newSite()
	s.jobs.SetNow(s.now)
	for i := range machines {
		name := fmt.Sprintf("i-%d", i+1)
		heartbeat(s.workers, name, s.now)
		id := fmt.Sprintf("req-%d", i+1)
		job := s.job(id, func(j *pipeline.Job) {
			j.CPUs, j.EstimatedRuntime, j.CheckpointInterval = 4, 600, 5
		})
		record := fmt.Sprintf(`{"t":1,"a":[[0,1,%q]]}`, name)
		s.jobs.HandleChange(pipeline.RunKey, id+"/0", []byte(record), 100)
		entry := job.Assignment(0)
		entry.Phase = pipeline.TaskRunning
		entry.StartedAt = s.now - time.Minute
	}
	first := s.Consolidate(s.now, RoundResult{Capacities: s.Capacities(s.now)}, nil)
	if len(first) != machines/2 {
		t.Fatalf("%d of %d machines drained, not half of them", len(first), machines)
	}
	if second := s.Consolidate(s.now, RoundResult{Capacities: s.Capacities(s.now)}, nil); len(second) != 0 {
		t.Errorf("%d more machines drained while the tasks of the first ones have no place yet", len(second))
	}
	waiting := s.job("req-9", func(j *pipeline.Job) { j.CPUs = 1 })
	for _, machine := range first {
		for _, entry := range s.jobs.OnMachine(machine.Index) {
			entry.Evicting = false
		}
		// As a machine that is drained never takes tasks again, another takes its place.
		s.workers.Remove(machine)
		heartbeat(s.workers, machine.Name, s.now)
	}
	if third := s.Consolidate(s.now, RoundResult{Blocked: []*pipeline.Job{waiting}, Capacities: s.Capacities(s.now)}, nil); len(third) != 0 {
		t.Errorf("%d machines drained of a type on which a job waits", len(third))
	}
}
