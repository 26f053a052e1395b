package worker_test

import (
	"fmt"
	"testing"
	"time"

	"lugward/internal/pipeline"
	"lugward/internal/record"
	"lugward/internal/worker"
	"lugward/internal/worker/workertest"
)

// tasksPerRunRecord is the number of tasks that share a run record in the table of a cluster.
const tasksPerRunRecord = 4096 / 32

// startAll submits a job and persists assignments of all its tasks to one machine, which has
// confirmed the fencing token.
func (c *cluster) startAll(shape pipeline.Shape, tasks int) *pipeline.Job {
	job := c.submit("req-1", shape, tasks)
	_ = c.HandleHeartbeat(c.largeHeartbeat(nil, "", ""), c.now, leader)
	for first := 0; first < tasks; first += tasksPerRunRecord {
		run := record.Run{MaxAttempt: 1}
		for task := first; task < min(tasks, first+tasksPerRunRecord); task++ {
			run.Active = append(run.Active, record.Assignment{Task: task, Attempt: 1, Machine: "i-1"})
		}
		c.jobs.HandleChange(record.KindRun, fmt.Sprintf("req-1/%d", first/tasksPerRunRecord), run.Encode(), uint64(10+first))
	}
	return job
}

// largeHeartbeat returns the next heartbeat of the machine, which lists all tasks of a job.
func (c *cluster) largeHeartbeat(job *pipeline.Job, phase, cause string) *worker.Heartbeat {
	c.now += time.Second
	heartbeat := workertest.Heartbeat("i-1", c.now)
	if job == nil {
		return heartbeat
	}
	for task := range job.TaskCount {
		heartbeat.Tasks = append(heartbeat.Tasks, workertest.TaskStatus(fmt.Sprintf("req-1/%d", task), 1, phase, cause))
	}
	return heartbeat
}

// handle handles a heartbeat and its response.
func (c *cluster) handle(heartbeat *worker.Heartbeat) {
	_ = c.HandleHeartbeat(heartbeat, c.now, leader)
	_ = c.Commands(heartbeat, c.now, leader)
}

// BenchmarkLargeJobHeartbeats measures heartbeats of a machine with all tasks of a job, per
// task: of a worker that has started none of them yet, and of one on which the tasks of a gang
// have completed or failed. It also measures the end of a machine with a gang.
func BenchmarkLargeJobHeartbeats(b *testing.B) {
	for _, step := range []struct {
		name  string
		shape pipeline.Shape
		run   func(c *cluster, job *pipeline.Job) func()
	}{
		{"starts", pipeline.Array, func(c *cluster, _ *pipeline.Job) func() {
			c.handle(c.largeHeartbeat(nil, "", ""))
			heartbeat := c.largeHeartbeat(nil, "", "")
			return func() { c.handle(heartbeat) }
		}},
		{"running", pipeline.Array, func(c *cluster, job *pipeline.Job) func() {
			c.handle(c.largeHeartbeat(nil, "", ""))
			heartbeat := c.largeHeartbeat(job, "running", "")
			return func() { c.handle(heartbeat) }
		}},
		{"gang completes", pipeline.Gang, func(c *cluster, job *pipeline.Job) func() {
			heartbeat := c.largeHeartbeat(job, "exited", "done")
			return func() { c.handle(heartbeat) }
		}},
		{"gang fails", pipeline.Gang, func(c *cluster, job *pipeline.Job) func() {
			heartbeat := c.largeHeartbeat(job, "exited", "peers")
			return func() { c.handle(heartbeat) }
		}},
		{"machine with a gang ends", pipeline.Gang, func(c *cluster, _ *pipeline.Job) func() {
			return func() { c.RecordTermination(c.Lookup("i-1")) }
		}},
	} {
		for _, tasks := range []int{1_000, 10_000, 100_000} {
			b.Run(fmt.Sprintf("%s/tasks=%d", step.name, tasks), func(b *testing.B) {
				for range b.N {
					b.StopTimer()
					c := newCluster(time.Minute)
					run := step.run(c, c.startAll(step.shape, tasks))
					b.StartTimer()
					run()
				}
				b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(tasks), "ns/task")
			})
		}
	}
}
