package worker_test

import (
	"testing"

	"lugward/internal/pipeline"
	"lugward/internal/record"
	"lugward/internal/worker"
	"lugward/internal/worker/workertest"
)

// A cancelled job's task that goes on, on a machine that hung, is told to terminate
// whatever write is pending, even if it was taken to have terminated.
func TestTaskOfCancelledJobIsTerminated(t *testing.T) {
	for _, test := range []struct {
		name    string
		pending pipeline.PendingWrite
	}{
		{"no write is pending", pipeline.NoPendingWrite},
		{"its termination is being stored", pipeline.PendingClear},
		{"its completion is being stored", pipeline.PendingDone},
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
			heartbeat.Tasks = []worker.TaskStatus{{Task: "req-1/0", Attempt: 3, Phase: "running"}}
			if err := c.HandleHeartbeat(heartbeat, c.now, leader); err != nil {
				t.Fatal(err)
			}
			got := c.Commands(heartbeat, c.now, leader)
			if len(got) != 1 || got[0].Verb != "stop" || got[0].Task != "req-1/0" || *got[0].GracePeriod != 0 {
				t.Errorf("commands %+v", got)
			}
		})
	}
}
