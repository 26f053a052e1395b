package worker_test

import (
	"encoding/json"
	"fmt"
	"math"
	"testing"

	"lugward/internal/event"
	"lugward/internal/pipeline"
	"lugward/internal/record"
	"lugward/internal/worker"
	"lugward/internal/worker/workertest"
)

// maxMessageBytes is the limit of the protocol on the body of a request and on a line of a
// response.
const maxMessageBytes = 64 << 10

// TestHeartbeatOfFullMachineFits checks that the longest statuses of as many tasks as a machine
// gets fit in one heartbeat.
func TestHeartbeatOfFullMachineFits(t *testing.T) {
	type longestStatus struct {
		Task             string `json:"shard"`
		Attempt          uint64 `json:"try"`
		Phase            string `json:"phase"`
		Cause            string `json:"cause"`
		CheckpointStored bool   `json:"stored"`
	}
	heartbeat := workertest.Heartbeat("i-0000000000", math.MaxInt64)
	heartbeat.Incarnation, heartbeat.FencingToken = math.MaxUint64, math.MaxUint64
	message := struct {
		*worker.Heartbeat
		Tasks []longestStatus `json:"shards"`
	}{Heartbeat: heartbeat}
	for i := range worker.MaxTasksPerMachine {
		message.Tasks = append(message.Tasks, longestStatus{
			Task: fmt.Sprintf("req-9999999999999999999/%d", 99_999-i), Attempt: math.MaxUint64, Phase: "exited", Cause: "incomplete", CheckpointStored: true,
		})
	}
	data, err := json.Marshal(message)
	if err != nil || len(data) > maxMessageBytes {
		t.Errorf("heartbeat of %d tasks has %d bytes, %v; want at most %d", worker.MaxTasksPerMachine, len(data), err, maxMessageBytes)
	}
}

// encodedResponse returns the size of the commands of a response, with the fields around them.
func encodedResponse(t *testing.T, commands []worker.Command) int {
	t.Helper()
	data, err := json.Marshal(map[string]any{"fence": uint64(math.MaxUint64), "orders": commands})
	if err != nil {
		t.Fatal(err)
	}
	return len(data)
}

// TestResponsesFitInMessage checks that no response exceeds the limit of the protocol, however
// many tasks an earlier leader has assigned to a machine, and that all tasks are started by
// later responses and terminated after a cancellation.
func TestResponsesFitInMessage(t *testing.T) {
	const tasks = 5_000
	c := newCluster(0)
	job := c.startAll(pipeline.Array, tasks)
	started := map[string]bool{}
	var listed []worker.TaskStatus
	for range 10 {
		heartbeat := c.largeHeartbeat(nil, "", "")
		heartbeat.Tasks = listed
		_ = c.HandleHeartbeat(heartbeat, c.now, leader)
		commands := c.Commands(heartbeat, c.now, leader)
		if size := encodedResponse(t, commands); size > maxMessageBytes {
			t.Fatalf("response with %d commands has %d bytes, want at most %d", len(commands), size, maxMessageBytes)
		}
		for _, command := range commands {
			if command.Verb == "start" && !started[command.Task] {
				started[command.Task] = true
				listed = append(listed, workertest.TaskStatus(command.Task, command.Attempt, "running", ""))
			}
		}
	}
	if len(started) != tasks {
		t.Fatalf("%d tasks were started, want %d", len(started), tasks)
	}
	c.jobs.HandleChange(record.KindTerminal, job.ID, pipeline.EncodeTerminal(pipeline.Cancelled, job), 1_000_000)
	var out event.Effects
	c.Tick(c.now, leader, &out)
	for _, call := range out.Calls {
		if len(call.Body) > maxMessageBytes {
			t.Errorf("direct command has %d bytes, want at most %d", len(call.Body), maxMessageBytes)
		}
	}
	if len(out.Calls) != 1 {
		t.Errorf("%d direct commands were sent, want 1", len(out.Calls))
	}
	terminated := map[string]bool{}
	for range 10 {
		heartbeat := c.largeHeartbeat(nil, "", "")
		for _, status := range listed {
			if !terminated[status.Task] {
				heartbeat.Tasks = append(heartbeat.Tasks, status)
			}
		}
		_ = c.HandleHeartbeat(heartbeat, c.now, leader)
		commands := c.Commands(heartbeat, c.now, leader)
		if size := encodedResponse(t, commands); size > maxMessageBytes {
			t.Fatalf("response with %d commands has %d bytes, want at most %d", len(commands), size, maxMessageBytes)
		}
		for _, command := range commands {
			terminated[command.Task] = true
		}
	}
	if len(terminated) != tasks {
		t.Errorf("%d tasks were terminated, want %d", len(terminated), tasks)
	}
}
