package worker_test

import (
	"testing"

	"lugward/internal/pipeline"
	"lugward/internal/record"
	"lugward/internal/worker"
	"lugward/internal/worker/workertest"
)

// A task of a cancelled job that continues on a machine that hung must be terminated
// even if a write of its assignment is pending, including the write that clears the
// assignment because the task was recorded as terminated.
func TestTaskOfCancelledJobIsTerminated(t *testing.T) {
	for _, test := range []struct {
		name    string
		pending pipeline.PendingWrite
	}{
		{"no write is pending", pipeline.NoPendingWrite},
		{"the write of its termination is pending", pipeline.PendingClear},
		{"the write of its completion is pending", pipeline.PendingDone},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newCluster(0)
			job := c.submit("req-1", pipeline.Array, 1)
			c.jobs.HandleChange(record.KindRun, "req-1/0", []byte(`{"t":3,"a":[[0,3,"i-1"]]}`), 2)
			switch test.pending {
			case pipeline.PendingClear:
				c.jobs.RecordTermination(job.Assignment(0))
			case pipeline.PendingDone:
				c.jobs.RecordCompletion(job, 0)
			}
			c.jobs.HandleChange(record.KindTerminal, "req-1", pipeline.EncodeTerminal(pipeline.Cancelled, job), 3)
			heartbeat := workertest.Heartbeat("i-1", c.now)
			heartbeat.Tasks = []worker.TaskStatus{workertest.TaskStatus("req-1/0", 3, "running", "")}
			if err := c.HandleHeartbeat(heartbeat, c.now, leader); err != nil {
				t.Fatal(err)
			}
			got := c.Commands(heartbeat, c.now, leader)
			if len(got) != 1 || got[0].Verb != "stop" || got[0].Task != "req-1/0" || *got[0].GracePeriod != 0 {
				t.Errorf("Commands returned %+v, want a single stop of req-1/0 with grace period 0", got)
			}
		})
	}
}
