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
	// failedOnce is a retry record of a job that is at fault.
	failedOnce = `{"n":1}`
	// firstTaskElsewhere is a run record whose first task runs on an unknown machine.
	firstTaskElsewhere = `{"t":1,"a":[[0,1,"i-9"]]}`
	// firstTaskOnMachine is a run record whose first task runs on the site's machine.
	firstTaskOnMachine = `{"t":1,"a":[[0,1,"i-1"]]}`
	// firstTaskDone is a run record whose first task is done.
	firstTaskDone = `{"t":1,"d":"AQ"}`
)

// site is a scheduler with one machine of eight CPUs.
type site struct {
	*Scheduler
	revision uint64 // of the last job record
	now      time.Duration
}

func newSite(tb testing.TB) *site {
	tb.Helper()
	names := &pipeline.Names{}
	names.Classes.Index("c")
	names.Teams.Index("t")
	names.Images.Index("b")
	jobs := pipeline.NewTable(pipeline.Config{Names: names, LayoutValueBytes: 4096, TxnOps: 12})
	workers := worker.New(worker.Config{
		Names:  names,
		Jobs:   jobs,
		Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
	s := &site{
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

// fullSite returns a site whose machines run two tasks of four CPUs each, with jobs
// that wait, each of so many tasks.
func fullSite(tb testing.TB, machines, waitingJobs, tasks int) *site {
	tb.Helper()
	s := newSite(tb)
	s.workers.Reset() // without the machine of the site
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
	for i := range waitingJobs {
		s.addJob(fmt.Sprintf("req-%d", 200_000+i), func(j *pipeline.Job) {
			j.CPUs, j.TaskCount = 3+float64(i%20)/20, tasks
		})
	}
	return s
}

// heartbeat handles a heartbeat of a machine of the first type that runs no tasks. A
// machine that is new is added. A second heartbeat at the same time is refused and
// changes nothing.
func (s *site) heartbeat(machine string) {
	_ = s.workers.HandleHeartbeat(workertest.Heartbeat(machine, s.now), s.now, workertest.Leader{})
}

// setTime sets the time, at which the site's machine has just sent a heartbeat.
func (s *site) setTime(now time.Duration) {
	s.now = now
	s.heartbeat("i-1")
}

// addJob adds a ready job of one task of eight CPUs, changed by modify.
func (s *site) addJob(id string, modify func(*pipeline.Job)) *pipeline.Job {
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

// setRunRecord stores the only run record of a job.
func (s *site) setRunRecord(id, stored string, revision uint64) {
	s.jobs.HandleChange(record.KindRun, id+"/0", []byte(stored), revision)
}

// setRetryRecord stores the retry record of a job.
func (s *site) setRetryRecord(id, stored string, revision uint64) {
	s.jobs.HandleChange(record.KindRetry, id, []byte(stored), revision)
}

// newRound returns a round of the site without a budget.
func (s *site) newRound() *round { return s.Scheduler.newRound(s.now, nil) }

// runRound runs a round without a budget.
func (s *site) runRound() { s.Round(s.now, nil) }

// jobOrder returns the IDs of the ready jobs in their order.
func (s *site) jobOrder() string {
	jobs := s.jobs.ReadyJobs()
	sortJobs(jobs, s.now)
	ids := make([]string, 0, len(jobs))
	for _, job := range jobs {
		ids = append(ids, job.ID)
	}
	return strings.Join(ids, " ")
}

// heldBy modifies a job so that it waits for another.
func heldBy(upstream string, priority pipeline.Priority, deadline float64) func(*pipeline.Job) {
	return func(j *pipeline.Job) {
		j.Ready, j.Upstream, j.Priority, j.Deadline = false, []string{upstream}, priority, deadline
	}
}
