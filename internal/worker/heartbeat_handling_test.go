package worker_test

import (
	"errors"
	"testing"
	"time"

	"lugward/internal/pipeline"
	"lugward/internal/worker"
	"lugward/internal/worker/workertest"
)

// TestHeartbeatsAreHandledInOrder checks for a series of heartbeats which ones are accepted,
// for which reason the others are refused, and whether the machine is schedulable after
// each of them.
func TestHeartbeatsAreHandledInOrder(t *testing.T) {
	const timeout = 13 * time.Second
	c := newCluster(timeout)
	for _, step := range []struct {
		name                  string
		at                    time.Duration // arrival time, as a number of seconds
		incarnation, sequence uint64
		token                 uint64
		refused               error
		schedulable           bool
	}{
		{"first of the term, may be a copy: not schedulable", 1, 1, 7, 4, nil, false},
		{"response has arrived", 2, 1, 8, 5, nil, true},
		{"copy", 3, 1, 8, 5, worker.ErrStale, true},
		{"copy from before the term", 4, 1, 6, 4, worker.ErrStale, true},
		{"next sequence", 9, 1, 9, 5, nil, true},
		{"delayed: the incarnation expired 32 s after the last response", 50, 1, 10, 5, worker.ErrIncarnationExpired, false},
		{"another heartbeat of the expired incarnation", 51, 1, 30, 5, worker.ErrIncarnationExpired, false},
		{"next incarnation of the worker", 52, 2, 31, 5, nil, true},
	} {
		t.Run(step.name, func(t *testing.T) {
			now := step.at * time.Second
			heartbeat := workertest.Heartbeat("i-1", now)
			heartbeat.Sequence = step.sequence
			heartbeat.Incarnation = step.incarnation
			heartbeat.FencingToken = step.token
			err := c.HandleHeartbeat(heartbeat, now, leader)
			if !errors.Is(err, step.refused) {
				t.Errorf("HandleHeartbeat returned error %v, want %v", err, step.refused)
			}
			checkRefused(t, err, heartbeat)
			if err == nil {
				c.Commands(heartbeat, now, leader)
			}
			if schedulable := c.Add("i-1", now).Schedulable(now, timeout); schedulable != step.schedulable {
				t.Errorf("Schedulable() = %v, want %v", schedulable, step.schedulable)
			}
		})
	}
}

// checkRefused checks that an error, if any, is a RefusedError for the given heartbeat.
func checkRefused(t *testing.T, err error, heartbeat *worker.Heartbeat) {
	t.Helper()
	if err == nil {
		return
	}
	var refused *worker.RefusedError
	if !errors.As(err, &refused) {
		t.Fatalf("error is a %T (%v), want a RefusedError", err, err)
	}
	if refused.Machine != heartbeat.Machine || refused.Incarnation != heartbeat.Incarnation || refused.Sequence != heartbeat.Sequence {
		t.Errorf("error names another heartbeat: %v", err)
	}
}

// Handling a heartbeat with the same content as the last one must not allocate memory,
// because it is the most frequent operation of a controller.
func TestHandleHeartbeatAllocatesNothing(t *testing.T) {
	c := newCluster(0)
	job := c.submit("req-1", pipeline.Array, 1)
	c.run(t, job, "i-1")
	heartbeat := workertest.Heartbeat("i-1", c.now)
	heartbeat.Sequence = c.sequence
	heartbeat.Tasks = []worker.TaskStatus{workertest.TaskStatus("req-1/0", job.Assignment(0).Attempt, "running", "")}
	allocations := testing.AllocsPerRun(100, func() {
		heartbeat.Sequence++
		if err := c.HandleHeartbeat(heartbeat, c.now, leader); err != nil {
			t.Fatal(err)
		}
	})
	if allocations != 0 {
		t.Errorf("HandleHeartbeat made %v allocations, want 0", allocations)
	}
}

// TestExitInAnEarlierTermProvesNothing guards against tasks that execute on two machines: a late
// copy of a heartbeat of an earlier term showed a task as exited whose attempt a later leader had
// started again on the same machine. A completion is final in any term.
func TestExitInAnEarlierTermProvesNothing(t *testing.T) {
	for _, test := range []struct {
		cause              string
		token              uint64
		terminated, exited bool
	}{
		{"halted", workertest.FencingToken - 1, false, false},
		{"error", workertest.FencingToken - 1, false, false},
		{"halted", workertest.FencingToken, true, true},
		{"done", workertest.FencingToken - 1, false, true},
	} {
		c := newCluster(0)
		job := c.submit("req-1", pipeline.Array, 2)
		c.start(job, 0, "i-1")
		assignment := job.Assignment(0)
		heartbeat := workertest.Heartbeat("i-1", c.now)
		heartbeat.Sequence++
		heartbeat.FencingToken = test.token
		heartbeat.Tasks = []worker.TaskStatus{workertest.TaskStatus("req-1/0", assignment.Attempt, "exited", test.cause)}
		if err := c.HandleHeartbeat(heartbeat, c.now, leader); err != nil {
			t.Fatal(err)
		}
		if terminated := assignment.Pending() == pipeline.PendingClear; terminated != test.terminated {
			t.Errorf("%s with token %d: terminated = %t, want %t", test.cause, test.token, terminated, test.terminated)
		}
		if exited := assignment.Phase() == pipeline.TaskExited; exited != test.exited {
			t.Errorf("%s with token %d: exited = %t, want %t", test.cause, test.token, exited, test.exited)
		}
		for _, command := range c.Commands(heartbeat, c.now, leader) {
			t.Errorf("%s with token %d: got command %s, want none", test.cause, test.token, command.Verb)
		}
	}
}
