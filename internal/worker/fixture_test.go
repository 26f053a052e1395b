package worker_test

import (
	"io"
	"log/slog"
	"strconv"
	"testing"
	"time"

	"lugward/internal/event"
	"lugward/internal/pipeline"
	"lugward/internal/record"
	"lugward/internal/worker"
	"lugward/internal/worker/workertest"
)

var _ worker.Leadership = workertest.Leader{}

// leader is the leadership that all tests use.
var leader = workertest.Leader{}

// cluster is a registry with a table of jobs. Its methods simulate tasks that run and fail.
type cluster struct {
	*worker.Registry
	names    *pipeline.Names
	jobs     *pipeline.Table
	now      event.Time
	sequence uint64
}

func newCluster(heartbeatTimeout time.Duration) *cluster {
	names := &pipeline.Names{}
	jobs := pipeline.NewTable(pipeline.Config{Names: names, LayoutValueBytes: 4096, TxnOps: 12})
	registry := worker.New(worker.Config{
		Names:            names,
		Jobs:             jobs,
		HeartbeatTimeout: heartbeatTimeout,
		Logger:           slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
	return &cluster{Registry: registry, names: names, jobs: jobs, now: time.Second}
}

// submit adds a job that is ready to the table of jobs.
func (c *cluster) submit(id string, shape pipeline.Shape, tasks int) *pipeline.Job {
	job := &pipeline.Job{ID: id, Ready: true, Spec: pipeline.Spec{Shape: shape, TaskCount: tasks, Zone: pipeline.AnyZone}}
	job.Class = c.names.Classes.Index("c")
	job.Team = c.names.Teams.Index("t")
	job.Image = c.names.Images.Index("b")
	c.jobs.HandleChange(record.KindJob, id, pipeline.EncodeJob(c.names, job), 1)
	return c.jobs.Job(id)
}

// start assigns a task to a machine and persists the assignment.
func (c *cluster) start(job *pipeline.Job, task int, machine string) {
	index := c.Add(machine, c.now).Index
	c.jobs.Assign(job, task, index, job.MaxAttempt()+1, c.now)
	run := record.Run{MaxAttempt: job.MaxAttempt()}
	for assignment := range job.Assignments() {
		run.Active = append(run.Active, record.Assignment{
			Task:    assignment.Task,
			Attempt: assignment.Attempt,
			Machine: c.names.Machines.Name(assignment.Machine),
		})
	}
	c.jobs.HandleChange(record.KindRun, job.ID+"/0", run.Encode(), 2)
}

// heartbeat handles a heartbeat of a machine that lists one task.
func (c *cluster) heartbeat(t *testing.T, machine string, job *pipeline.Job, task int, phase, cause string) {
	t.Helper()
	c.sequence++
	status := workertest.TaskStatus(job.ID+"/"+strconv.Itoa(task), 0, phase, cause)
	if assignment := job.Assignment(task); assignment != nil {
		status.Attempt = assignment.Attempt
	}
	heartbeat := workertest.Heartbeat(machine, c.now)
	heartbeat.Sequence = c.sequence
	heartbeat.Tasks = []worker.TaskStatus{status}
	if err := c.HandleHeartbeat(heartbeat, c.now, leader); err != nil {
		t.Fatal(err)
	}
}

// run starts the first task of a job on a machine and reports it as running.
func (c *cluster) run(t *testing.T, job *pipeline.Job, machine string) {
	t.Helper()
	c.start(job, 0, machine)
	c.heartbeat(t, machine, job, 0, "running", "")
}

// fail starts a task on a machine and reports that it has failed.
func (c *cluster) fail(t *testing.T, job *pipeline.Job, task int, machine string) {
	t.Helper()
	c.start(job, task, machine)
	c.heartbeat(t, machine, job, task, "exited", "error")
}

// advance advances the clock and ticks the registry.
func (c *cluster) advance(duration time.Duration) {
	c.now += duration
	c.jobs.SetNow(c.now)
	c.Tick(c.now, leader, &event.Effects{})
}
