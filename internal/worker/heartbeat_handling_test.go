package worker_test

import (
	"errors"
	"testing"
	"time"

	"lugward/internal/pipeline"
	"lugward/internal/worker"
	"lugward/internal/worker/workertest"
)

// TestHeartbeatsAreTakenInOrder: which heartbeats are taken, in the order in which they
// arrive, for what reason others are refused, and whether the machine can be used then.
func TestHeartbeatsAreTakenInOrder(t *testing.T) {
	const timeout = 13 * time.Second
	c := newCluster(timeout)
	for _, step := range []struct {
		name                  string
		at                    time.Duration // in seconds
		incarnation, sequence uint64
		token                 uint64
		refused               error
		usable                bool
	}{
		{"the first of a term may be a copy: nothing is placed there", 1, 1, 7, 4, nil, false},
		{"our response arrived", 2, 1, 8, 5, nil, true},
		{"a copy", 3, 1, 8, 5, worker.ErrStale, true},
		{"a copy from before our term", 4, 1, 6, 4, worker.ErrStale, true},
		{"the next", 9, 1, 9, 5, nil, true},
		{"delayed: that incarnation ended 32 s after our last response", 50, 1, 10, 5, worker.ErrIncarnationExpired, false},
		{"however many there are of it", 51, 1, 30, 5, worker.ErrIncarnationExpired, false},
		{"the machine itself, in its next incarnation", 52, 2, 31, 5, nil, true},
	} {
		t.Run(step.name, func(t *testing.T) {
			now := step.at * time.Second
			heartbeat := workertest.Heartbeat("i-1", now)
			heartbeat.Sequence = step.sequence
			heartbeat.Incarnation = step.incarnation
			heartbeat.FencingToken = step.token
			err := c.HandleHeartbeat(heartbeat, now, leader)
			if !errors.Is(err, step.refused) {
				t.Errorf("refused with %v, not %v", err, step.refused)
			}
			checkRefused(t, err, heartbeat)
			if err == nil {
				c.Commands(heartbeat, now, leader)
			}
			if usable := c.Add("i-1", now).Schedulable(now, timeout); usable != step.usable {
				t.Errorf("usable %v", usable)
			}
		})
	}
}

// checkRefused checks that an error names the heartbeat that was refused.
func checkRefused(t *testing.T, err error, heartbeat *worker.Heartbeat) {
	t.Helper()
	if err == nil {
		return
	}
	var refused *worker.RefusedError
	if !errors.As(err, &refused) {
		t.Fatalf("%v is no RefusedError", err)
	}
	if refused.Machine != heartbeat.Machine || refused.Incarnation != heartbeat.Incarnation || refused.Sequence != heartbeat.Sequence {
		t.Errorf("the error is of another heartbeat: %v", err)
	}
}

// Handling a heartbeat that says what the last one said allocates nothing: it is what
// the program does most often.
func TestHandleHeartbeatAllocatesNothing(t *testing.T) {
	c := newCluster(0)
	job := c.submit("req-1", pipeline.Array, 1)
	c.run(t, job, "i-1")
	heartbeat := workertest.Heartbeat("i-1", c.now)
	heartbeat.Sequence = c.sequence
	heartbeat.Tasks = []worker.TaskStatus{{Task: "req-1/0", Attempt: job.Assignment(0).Attempt, Phase: "running"}}
	allocations := testing.AllocsPerRun(100, func() {
		heartbeat.Sequence++
		if err := c.HandleHeartbeat(heartbeat, c.now, leader); err != nil {
			t.Fatal(err)
		}
	})
	if allocations != 0 {
		t.Errorf("%v allocations", allocations)
	}
}
