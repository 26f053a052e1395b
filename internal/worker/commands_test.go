package worker_test

import (
	"slices"
	"testing"

	"lugward/internal/event"
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

// withOldView is the leadership of a leader that may not start tasks, as its view is too old.
type withOldView struct{ workertest.Leader }

// MayStartTasks returns false at any time.
func (withOldView) MayStartTasks(event.Time) bool { return false }

// TestNoStartsWithOldView guards against start commands of a leader with an old view, and checks
// that it knows that the heartbeat waits for one. Everything else in the response is unchanged.
func TestNoStartsWithOldView(t *testing.T) {
	c := newCluster(0)
	job := c.submit("req-1", pipeline.Array, 2)
	c.start(job, 0, "i-1")
	heartbeat := workertest.Heartbeat("i-1", c.now)
	heartbeat.Tasks = []worker.TaskStatus{workertest.TaskStatus("req-9/0", 1, "running", "")}
	if err := c.HandleHeartbeat(heartbeat, c.now, leader); err != nil {
		t.Fatal(err)
	}
	if !c.AwaitsStart(heartbeat) {
		t.Error("AwaitsStart = false for a persisted assignment that the heartbeat does not list, want true")
	}
	if got := verbs(c.Commands(heartbeat, c.now, withOldView{})); !slices.Equal(got, []string{"stop"}) {
		t.Errorf("Commands with an old view returned %v, want only the stop of the unknown task", got)
	}
	if got := verbs(c.Commands(heartbeat, c.now, leader)); !slices.Equal(got, []string{"stop", "start"}) {
		t.Errorf("Commands with a fresh view returned %v, want stop and start", got)
	}
	heartbeat.Tasks = []worker.TaskStatus{workertest.TaskStatus("req-1/0", 1, "running", "")}
	if c.AwaitsStart(heartbeat) {
		t.Error("AwaitsStart = true for a heartbeat that lists the only assignment, want false")
	}
	heartbeat.Tasks = nil
	c.jobs.HandleChange(record.KindTerminal, "req-1", pipeline.EncodeTerminal(pipeline.Cancelled, job), 3)
	if c.AwaitsStart(heartbeat) {
		t.Error("AwaitsStart = true for an assignment of a cancelled job, want false")
	}
}

// verbs returns the verbs of commands.
func verbs(commands []worker.Command) (list []string) {
	for _, command := range commands {
		list = append(list, command.Verb)
	}
	return list
}
