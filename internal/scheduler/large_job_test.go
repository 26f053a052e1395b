package scheduler

import (
	"fmt"
	"testing"

	"lugward/internal/pipeline"
	"lugward/internal/worker"
)

// exhausted is a budget that is used up at once.
func exhausted() bool { return true }

// newLargeCluster returns a cluster whose machines have room for a number of small tasks.
func newLargeCluster(tb testing.TB, tasks int) *cluster {
	tb.Helper()
	s := newCluster(tb)
	for i := 1; i*worker.MaxTasksPerMachine < tasks; i++ {
		s.heartbeat(fmt.Sprintf("i-%d", i+1))
	}
	return s
}

// fillLargeCluster lets the tasks of a job fill the machines of a large cluster.
func fillLargeCluster(j *pipeline.Job) { j.CPUs, j.Memory = 8.0/worker.MaxTasksPerMachine, 0 }

// addLargeJob adds a job of many small tasks that all fit on the machines of the cluster.
func (s *cluster) addLargeJob(id string, tasks int, modify func(*pipeline.Job)) *pipeline.Job {
	return s.addJob(id, func(j *pipeline.Job) {
		j.TaskCount, j.CPUs, j.Memory = tasks, 0.001, 0.001
		if modify != nil {
			modify(j)
		}
	})
}

// TestRoundIsBoundedWithinJob guards against the fault of review case 4: a round placed all
// tasks of a job in one step, whatever its budget. It now stops within the job, and the next
// round continues with that job before others.
func TestRoundIsBoundedWithinJob(t *testing.T) {
	const tasks, later = 3000, "req-2"
	for _, shape := range []pipeline.Shape{pipeline.Array, pipeline.Gang} {
		t.Run(fmt.Sprint("shape ", shape), func(t *testing.T) {
			s := newLargeCluster(t, tasks+1)
			job := s.addLargeJob("req-1", tasks, func(j *pipeline.Job) { j.Shape = shape })
			other := s.addLargeJob(later, 1, nil)
			for round := 1; job.ActiveCount() < tasks; round++ {
				s.jobs.ClearRoundRequest()
				before := job.ActiveCount()
				s.Round(s.now, exhausted)
				if placed := job.ActiveCount() - before; placed != min(maxTasksPerStep, tasks-before) {
					t.Fatalf("round %d placed %d tasks, want maxTasksPerStep or those that were left", round, placed)
				}
				if job.ActiveCount() < tasks && (other.ActiveCount() > 0 || !s.jobs.RoundRequested()) {
					t.Fatalf("round %d: a later job has %d tasks, another round is requested: %t; want 0 and true", round, other.ActiveCount(), s.jobs.RoundRequested())
				}
			}
			attempt := job.Assignment(0).Attempt
			for assignment := range job.Assignments() {
				if shape == pipeline.Gang && assignment.Attempt != attempt {
					t.Fatalf("task %d of the gang has attempt %d, want %d", assignment.Task, assignment.Attempt, attempt)
				}
			}
			s.Round(s.now, exhausted)
			if other.ActiveCount() != 1 {
				t.Error("the later job was not placed in the round after")
			}
		})
	}
}

// TestImportantJobDuringLargeJob checks that a job of higher priority that arrives while a large
// job is placed in many rounds is placed in the next round.
func TestImportantJobDuringLargeJob(t *testing.T) {
	s := newLargeCluster(t, 3000)
	large := s.addLargeJob("req-1", 2500, nil)
	s.Round(s.now, exhausted)
	important := s.addLargeJob("req-2", 1, func(j *pipeline.Job) { j.Priority = pipeline.High })
	s.Round(s.now, exhausted)
	if important.ActiveCount() != 1 {
		t.Error("the job of higher priority was not placed in the next round")
	}
	for range 2 * 2500 / maxTasksPerStep {
		s.Round(s.now, exhausted)
	}
	if large.ActiveCount() != 2500 {
		t.Errorf("%d tasks of the large job are placed, want 2500", large.ActiveCount())
	}
}

// preemptLargeJob lets a job of high priority preempt a job of low priority with as many
// tasks, which fill the machines. It returns the number of tasks that were examined.
func preemptLargeJob(t *testing.T, tasks int, budget Budget) (s *cluster, low *pipeline.Job, examined int) {
	t.Helper()
	s = newLargeCluster(t, tasks)
	low = s.addLargeJob("req-1", tasks, func(j *pipeline.Job) { fillLargeCluster(j); j.Priority = pipeline.Idle })
	s.runRound()
	if low.ActiveCount() != tasks {
		t.Fatalf("%d of %d tasks were placed", low.ActiveCount(), tasks)
	}
	s.addLargeJob("req-2", tasks, func(j *pipeline.Job) { fillLargeCluster(j); j.Priority = pipeline.High })
	before := s.counters.victimsExamined
	s.Round(s.now, budget)
	return s, low, s.counters.victimsExamined - before
}

// TestPreemptionIsLinear checks that a job that preempts all tasks of a machine examines each
// of them a few times, not once for each of its own tasks.
func TestPreemptionIsLinear(t *testing.T) {
	const tasks = 2000
	_, low, examined := preemptLargeJob(t, tasks, nil)
	if low.ActiveCount() != 0 {
		t.Errorf("%d tasks of the job of low priority remain, want 0, as none is persisted", low.ActiveCount())
	}
	if limit := 4 * tasks; examined > limit {
		t.Errorf("%d tasks were examined for %d victims, want at most %d", examined, tasks, limit)
	}
}

// TestPreemptionIsBoundedWithinJob checks that preemption for a large job stops when the
// budget is exhausted, and that further rounds evict the rest and no more.
func TestPreemptionIsBoundedWithinJob(t *testing.T) {
	const tasks = 2000
	s, low, _ := preemptLargeJob(t, tasks, exhausted)
	if evicted := tasks - low.ActiveCount(); evicted != maxTasksPerStep {
		t.Errorf("the first round evicted %d tasks, want maxTasksPerStep", evicted)
	}
	for range 2*tasks/maxTasksPerStep + 2 {
		s.Round(s.now, exhausted)
	}
	high := s.jobs.Job("req-2")
	if high.ActiveCount() != tasks || low.ActiveCount() != 0 {
		t.Errorf("%d tasks of high and %d of low priority are placed, want %d and 0", high.ActiveCount(), low.ActiveCount(), tasks)
	}
}

// BenchmarkLargeJobRound measures rounds that place all tasks of a large job, or let it preempt
// another one, per task.
func BenchmarkLargeJobRound(b *testing.B) {
	gang := func(j *pipeline.Job) { fillLargeCluster(j); j.Shape = pipeline.Gang }
	for _, c := range []struct {
		name    string
		preempt bool
		modify  func(*pipeline.Job)
	}{
		{"placement", false, fillLargeCluster},
		{"preemption", true, fillLargeCluster},
		{"placement of a gang", false, gang},
		{"placement of a gang in one zone", false, func(j *pipeline.Job) { gang(j); j.SameZone = true }},
		{"preemption by a gang", true, gang},
	} {
		for _, tasks := range []int{1_000, 10_000, 100_000} {
			b.Run(fmt.Sprintf("%s/tasks=%d", c.name, tasks), func(b *testing.B) {
				for range b.N {
					b.StopTimer()
					s := newLargeCluster(b, tasks)
					var low *pipeline.Job
					if c.preempt {
						low = s.addLargeJob("req-1", tasks, func(j *pipeline.Job) { fillLargeCluster(j); j.Priority = pipeline.Idle })
						s.runRound()
					}
					job := s.addLargeJob("req-2", tasks, func(j *pipeline.Job) { c.modify(j); j.Priority = pipeline.High })
					b.StartTimer()
					s.runRound()
					if c.preempt && low.ActiveCount() > 0 {
						b.Fatalf("%d of %d tasks remain", low.ActiveCount(), tasks)
					}
					if !c.preempt && job.ActiveCount() != tasks {
						b.Fatalf("%d of %d tasks were placed", job.ActiveCount(), tasks)
					}
				}
				b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(tasks), "ns/task")
			})
		}
	}
}

// TestAssignmentsLeaveMemory checks that a round assigns no more tasks than the memory for
// assignments allows, and does not preempt others for the rest. Unimportant jobs leave a part of
// it to more important ones.
func TestAssignmentsLeaveMemory(t *testing.T) {
	s := newClusterWith(t, pipeline.Config{MemoryBytes: 100 * pipeline.EstimatedAssignmentBytes})
	allowed, allowedIdle := s.jobs.AssignmentsLeft(pipeline.Production), s.jobs.AssignmentsLeft(pipeline.Idle)
	if allowed < 15 || allowed > 30 || allowedIdle < allowed/2 || allowedIdle > allowed-2 {
		t.Fatalf("%d assignments are allowed, %d of idle jobs, want 15 to 30 of the 100 that would fill the memory, and less for idle jobs", allowed, allowedIdle)
	}
	low := s.addLargeJob("req-1", allowed, func(j *pipeline.Job) { j.Priority = pipeline.Idle })
	s.runRound()
	if low.ActiveCount() != allowedIdle {
		t.Errorf("%d tasks of an idle job are placed, want %d", low.ActiveCount(), allowedIdle)
	}
	high := s.addLargeJob("req-2", allowed, func(j *pipeline.Job) { j.Priority = pipeline.Production })
	for range 3 {
		s.runRound()
	}
	if left := s.AssignmentsLeft(high); low.ActiveCount() != allowedIdle || high.ActiveCount() != allowed-allowedIdle || left != 0 {
		t.Errorf("%d and %d tasks are placed, %d are left; want %d, %d and 0", low.ActiveCount(), high.ActiveCount(), left, allowedIdle, allowed-allowedIdle)
	}
}

// TestMachineTakesTasksOfOneHeartbeat checks that a machine gets no more tasks than its worker
// can list in a heartbeat, and that the next one takes the others.
func TestMachineTakesTasksOfOneHeartbeat(t *testing.T) {
	s := newLargeCluster(t, 2*worker.MaxTasksPerMachine)
	s.addLargeJob("req-1", worker.MaxTasksPerMachine+1, nil)
	s.runRound()
	first, second := s.jobs.AssignmentCount(0), s.jobs.AssignmentCount(1)
	if max(first, second) != worker.MaxTasksPerMachine || min(first, second) != 1 {
		t.Errorf("the machines got %d and %d tasks, want MaxTasksPerMachine and 1", first, second)
	}
}
