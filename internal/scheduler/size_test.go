package scheduler

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lugward/internal/pipeline"
)

// fullSite is a site whose machines of eight CPUs run two tasks of four each, with
// jobs that wait, each of so many tasks.
func fullSite(machines, jobs, tasks int) *site {
	s := newSite()
	s.workers.Reset() // without the machine of the site
	for i := range machines {
		name := fmt.Sprintf("i-%05d", i)
		heartbeat(s.workers, name, s.now)
		id := fmt.Sprintf("req-%d", 100_000+i)
		s.job(id, func(j *pipeline.Job) {
			j.CPUs, j.TaskCount, j.EstimatedRuntime = 4, 2, 100
		})
		record := fmt.Sprintf(`{"t":1,"a":[[0,1,%q],[1,1,%q]]}`, name, name)
		s.jobs.HandleChange(pipeline.RunKey, id+"/0", []byte(record), uint64(10_000_000+i))
		s.jobs.Job(id).Assignments(func(e *pipeline.Assignment) {
			e.Phase = pipeline.TaskRunning
			e.StartedAt = s.now - time.Duration(i%90)*time.Second
		})
	}
	for i := range jobs {
		s.job(fmt.Sprintf("req-%d", 200_000+i), func(j *pipeline.Job) {
			j.CPUs, j.TaskCount = 3+float64(i%20)/20, tasks
		})
	}
	return s
}

// The work of a round for the jobs that wait follows what has changed, not the number
// of machines: a task ends, its place is counted anew and taken, and the jobs that
// find none look at the same few machines on a site eight times as large.
func TestRoundFollowsChanges(t *testing.T) {
	type work struct{ recounted, visited, placed int }
	measure := func(machines int) work {
		s := fullSite(machines, 50, 1)
		s.Round(s.now, nil)
		id := fmt.Sprintf("req-%d", 100_000)
		s.jobs.HandleChange(pipeline.RunKey, id+"/0", []byte(`{"t":1,"d":"AQ","a":[[1,1,"i-00000"]]}`), 90_000_000)
		before := work{s.CapacitiesRecomputed(), s.counters.machinesVisited, 0}
		s.Round(s.now, nil)
		placed := 0
		for _, job := range s.jobs.ReadyJobs() {
			job.Assignments(func(e *pipeline.Assignment) {
				if !e.Durable {
					placed++
				}
			})
		}
		return work{s.CapacitiesRecomputed() - before.recounted, s.counters.machinesVisited - before.visited, placed}
	}
	small, large := measure(500), measure(4000)
	if small.recounted != 1 || small.placed != 1 || large.recounted != 1 || large.placed != 1 {
		t.Errorf("after one end: %+v on 500 machines, %+v on 4000", small, large)
	}
	if large.visited > 2*small.visited {
		t.Errorf("machines looked at: %d on 500 machines, %d on 4000", small.visited, large.visited)
	}
	t.Logf("500 machines: %+v, 4000: %+v", small, large)
}

// For a single task the machines in the order in which they come free give what a
// look at all of them gives.
func TestSoonestOne(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := fullSite(rapid.IntRange(1, 30).Draw(rt, "machines"), 0, 0)
		job := s.job("req-1", func(j *pipeline.Job) {
			j.CPUs = float64(rapid.IntRange(1, 8).Draw(rt, "CPUs"))
			j.SpreadZones = rapid.Bool().Draw(rt, "scatter")
			j.TaskCount = rapid.IntRange(1, 3).Draw(rt, "tasks")
		})
		capacities := s.Capacities(s.now)
		for _, capacity := range capacities {
			if rapid.Bool().Draw(rt, "free") {
				capacity.FreeCPUs += float64(rapid.IntRange(0, 4).Draw(rt, "CPUs free"))
			}
		}
		s.startRound(nil, capacities)
		s.round.roomy = capacitiesWithRoom([]*pipeline.Job{job}, capacities)
		price := func(capacity *Capacity, _ taken) (float64, []*pipeline.Assignment, bool) {
			after := s.fitsAfter(job, capacity, s.now)
			return after, nil, !math.IsInf(after, 1)
		}
		for range 3 {
			want := s.choose(job, capacities, anyZone, 1, price, s.now)
			got := s.earliestSingle(job, capacities, anyZone, s.now)
			if len(got) != len(want) || (len(got) > 0 && (got[0].capacity != want[0].capacity || got[0].cost != want[0].cost)) {
				rt.Fatalf("%+v, not %+v", got, want)
			}
			if len(got) > 0 {
				s.reserveTask(job, got[0].capacity, s.now)
			}
		}
	})
}

func BenchmarkRound(b *testing.B) {
	for _, c := range []struct{ machines, jobs, tasks int }{{4000, 0, 0}, {500, 1000, 1}, {4000, 1000, 1}, {4000, 1000, 30}} {
		b.Run(fmt.Sprintf("machines=%d/jobs=%d/tasks=%d", c.machines, c.jobs, c.tasks), func(b *testing.B) {
			s := fullSite(c.machines, c.jobs, c.tasks)
			s.Round(s.now, nil)
			for b.Loop() {
				s.Round(s.now, nil)
			}
		})
	}
}
