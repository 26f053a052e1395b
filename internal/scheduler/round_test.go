package scheduler

import (
	"fmt"
	"testing"
)

// The work of a round depends on the changes since the last one, not on the number of
// machines. After one task has exited, only the capacity of its machine is recomputed and
// used. The jobs that do not fit visit the same few machines in a cluster eight times as
// large.
func TestRoundFollowsChanges(t *testing.T) {
	type work struct{ recomputed, visited, placed int }
	measure := func(machines int) work {
		t.Helper()
		s := newFullCluster(t, machines, 50, 1)
		s.runRound()
		s.setRunRecord("req-100000", `{"t":1,"d":"AQ","a":[[1,1,"i-00000"]]}`, 90_000_000)
		before := s.counters
		s.runRound()
		placed := 0
		for _, job := range s.jobs.ReadyJobs() {
			for task := range job.Assignments() {
				if !task.Persisted() {
					placed++
				}
			}
		}
		return work{
			recomputed: s.counters.capacitiesRecomputed - before.capacitiesRecomputed,
			visited:    s.counters.machinesVisited - before.machinesVisited,
			placed:     placed,
		}
	}
	small, large := measure(500), measure(4000)
	if small.recomputed != 1 || small.placed != 1 || large.recomputed != 1 || large.placed != 1 {
		t.Errorf("work after one task has exited = %+v with 500 machines, %+v with 4000, want recomputed 1 and placed 1", small, large)
	}
	if large.visited > 2*small.visited {
		t.Errorf("machines visited = %d with 500 machines, %d with 4000, want at most twice as many", small.visited, large.visited)
	}
	t.Logf("work with 500 machines: %+v, with 4000: %+v", small, large)
}

func BenchmarkRound(b *testing.B) {
	for _, size := range []struct{ machines, jobs, tasks int }{{4000, 0, 0}, {500, 1000, 1}, {4000, 1000, 1}, {4000, 1000, 30}} {
		b.Run(fmt.Sprintf("machines=%d/jobs=%d/tasks=%d", size.machines, size.jobs, size.tasks), func(b *testing.B) {
			s := newFullCluster(b, size.machines, size.jobs, size.tasks)
			s.runRound()
			for b.Loop() {
				s.runRound()
			}
		})
	}
}
