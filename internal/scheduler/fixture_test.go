package scheduler

import (
	"fmt"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"lugward/internal/pipeline"
	"lugward/internal/record"
	"lugward/internal/worker"
	"lugward/internal/worker/workertest"
)

const (
	// failedOnce is the retry record of a job at fault with one failed attempt.
	failedOnce = `{"n":1}`
	// firstTaskOnUnknownMachine is a run record that assigns the first task to an unknown
	// machine.
	firstTaskOnUnknownMachine = `{"t":1,"a":[[0,1,"i-9"]]}`
	// firstTaskOnMachine is a run record that assigns the first task to the fixture's
	// machine.
	firstTaskOnMachine = `{"t":1,"a":[[0,1,"i-1"]]}`
	// firstTaskDone is a run record in which the first task is done.
	firstTaskDone = `{"t":1,"d":"AQ"}`
)

// cluster is a scheduler with one machine, i-1, of eight CPUs.
type cluster struct {
	*Scheduler
	revision uint64 // revision of the last job record
	now      time.Duration
}

func newCluster(tb testing.TB) *cluster {
	tb.Helper()
	return newClusterWith(tb, pipeline.Config{})
}

// newClusterWith is like newCluster with a configuration of the table of jobs, of which it sets
// the names and the limits of the state service.
func newClusterWith(tb testing.TB, config pipeline.Config) *cluster {
	tb.Helper()
	names := &pipeline.Names{}
	names.Classes.Index("c")
	names.Teams.Index("t")
	names.Images.Index("b")
	config.Names, config.LayoutValueBytes, config.TxnOps = names, 4096, 12
	jobs := pipeline.NewTable(config)
	workers := worker.New(worker.Config{
		Names:  names,
		Jobs:   jobs,
		Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
	s := &cluster{
		Scheduler: New(Config{
			Jobs:             jobs,
			Workers:          workers,
			MachineTypes:     &MachineTypes{{CPUs: 8, Memory: 32}},
			HeartbeatTimeout: time.Minute,
		}),
		now: 100 * time.Second,
	}
	jobs.SetNow(s.now)
	s.heartbeat("i-1")
	return s
}

// newFullCluster returns a cluster with the given number of machines, each of which runs
// two tasks of four CPUs. It adds queuedJobs jobs, each with the given number of tasks.
func newFullCluster(tb testing.TB, machines, queuedJobs, tasks int) *cluster {
	tb.Helper()
	s := newCluster(tb)
	s.workers.Reset() // removes the fixture's machine
	for i := range machines {
		name := fmt.Sprintf("i-%05d", i)
		s.heartbeat(name)
		id := fmt.Sprintf("req-%d", 100_000+i)
		s.addJob(id, func(j *pipeline.Job) {
			j.CPUs, j.TaskCount, j.EstimatedRuntime = 4, 2, 100
		})
		record := fmt.Sprintf(`{"t":1,"a":[[0,1,%q],[1,1,%q]]}`, name, name)
		s.setRunRecord(id, record, uint64(10_000_000+i))
		for task := range s.jobs.Job(id).Assignments() {
			task.RecordPhase(pipeline.TaskRunning, s.now-time.Duration(i%90)*time.Second)
		}
	}
	for i := range queuedJobs {
		s.addJob(fmt.Sprintf("req-%d", 200_000+i), func(j *pipeline.Job) {
			j.CPUs, j.TaskCount = 3+float64(i%20)/20, tasks
		})
	}
	return s
}

// heartbeat handles a heartbeat from a machine of the first type that runs no tasks. It
// adds the machine if it is new. A second heartbeat at the same time is refused and
// changes nothing.
func (s *cluster) heartbeat(machine string) {
	_ = s.workers.HandleHeartbeat(workertest.Heartbeat(machine, s.now), s.now, workertest.Leader{})
}

// advanceTo moves the clock to now and handles a heartbeat of the fixture's machine, so
// that the machine remains schedulable.
func (s *cluster) advanceTo(now time.Duration) {
	s.now = now
	s.heartbeat("i-1")
}

// addJob adds a ready job with one task of eight CPUs. modify, if not nil, changes the
// job before it is added.
func (s *cluster) addJob(id string, modify func(*pipeline.Job)) *pipeline.Job {
	job := &pipeline.Job{
		ID:    id,
		Ready: true,
		Spec: pipeline.Spec{
			TaskCount:        1,
			CPUs:             8,
			Memory:           1,
			Zone:             pipeline.AnyZone,
			Priority:         pipeline.Normal,
			EstimatedRuntime: 10,
		},
	}
	if modify != nil {
		modify(job)
	}
	s.revision++
	s.jobs.HandleChange(record.KindJob, id, pipeline.EncodeJob(s.jobs.Names, job), s.revision)
	return s.jobs.Job(id)
}

// setRunRecord handles a change of the only run record of a job.
func (s *cluster) setRunRecord(id, data string, revision uint64) {
	s.jobs.HandleChange(record.KindRun, id+"/0", []byte(data), revision)
}

// setRetryRecord handles a change of the retry record of a job.
func (s *cluster) setRetryRecord(id, data string, revision uint64) {
	s.jobs.HandleChange(record.KindRetry, id, []byte(data), revision)
}

// newRound returns a round with an unlimited budget.
func (s *cluster) newRound() *round { return s.Scheduler.newRound(s.now, nil) }

// runRound runs a round with an unlimited budget.
func (s *cluster) runRound() { s.Round(s.now, nil) }

// jobOrder returns the IDs of the ready jobs in scheduling order, separated by spaces.
func (s *cluster) jobOrder() string {
	jobs := s.jobs.ReadyJobs()
	sortJobs(jobs, s.now)
	ids := make([]string, 0, len(jobs))
	for _, job := range jobs {
		ids = append(ids, job.ID)
	}
	return strings.Join(ids, " ")
}

// withUpstream returns a function that modifies a job so that it is held until an upstream
// job is done.
func withUpstream(upstream string, priority pipeline.Priority, deadline float64) func(*pipeline.Job) {
	return func(j *pipeline.Job) {
		j.Ready, j.Upstream, j.Priority, j.Deadline = false, []string{upstream}, priority, deadline
	}
}
